// Reads the platform's list of machines, carries orders for machines out, and stores and shows the state of waves.

package org.gypsumturn.node

import org.gypsumturn.batch.lease.ClockReadings
import org.gypsumturn.batch.machines.MachineOrder
import org.gypsumturn.batch.machines.MachineOrderPlanner
import org.gypsumturn.batch.machines.MachineTimes
import org.gypsumturn.batch.machines.SizingPolicy
import org.gypsumturn.batch.machines.WaveReport
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.FleetUpdateFeed
import org.gypsumturn.batch.port.MachineAnswer
import org.gypsumturn.batch.port.MachineControl
import org.gypsumturn.batch.port.MachinePage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.DecisionLog
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/** Keeps the machines for the holder with [epoch]; its state belongs to the control duty's thread. */
public class MachineDuty(
    scheduler: BatchScheduler,
    private val epoch: Epoch,
    private val fence: ProgressFence,
    private val times: MachineTimes,
    private val store: RowStore,
    private val news: FleetUpdateFeed,
    private val machines: MachineControl,
    decisions: DecisionLog,
    private val post: Post,
) {
    private val keeper = MachineOrderPlanner(times, POLICY, NodeClock.steadyMillis(), scheduler, decisions)
    private val earlier = HashMap<Long, WaveReport>()
    private val shown = HashMap<Long, Boolean>()

    /** Machines under orders as stored, and when they were last ordered. */
    private val ordered = LinkedHashMap<MachineId, Long>()

    /** Orders whose machines are stored as being under orders. */
    private val recorded = ArrayDeque<MachineOrder>()
    private var recording = false
    private var listing = false
    private var listedMillis = Long.MIN_VALUE / 2
    private var decidedMillis = Long.MIN_VALUE / 2
    private var reporting = false
    private val listOutage = OutageLog("machine list lost", "machine list regained")
    private var closed = false

    /** Passes over answers that are still under way. */
    public fun close() {
        closed = true
    }

    /** What earlier holders have stored of waves. */
    public fun wavesStored(rows: List<StoredRow>) {
        rows.forEach { row ->
            val number = row.address.key.toLongOrNull()
            val value = row.value
            if (number != null && value != null) earlier[number] = WaveRows.decode(number, value)
            if (row.address == OrderedMachineRow.ADDRESS && value != null) inherit(OrderedMachineRow.decode(value))
        }
    }

    private fun inherit(machines: Set<MachineId>) {
        keeper.markOrderedByPredecessors(machines)
        val nowMillis = NodeClock.steadyMillis()
        machines.forEach { ordered[it] = nowMillis }
    }

    /** A wave was asked for; [fresh] tells that no earlier holder can have begun it. */
    public fun waveRequested(wave: UpkeepWave, fresh: Boolean) {
        val report = earlier[wave.number]
        if (report?.completed == true) {
            show(report)
        } else {
            keeper.addWave(NodeClock.steadyMillis(), wave, report?.done.orEmpty(), fresh && report == null)
        }
    }

    /** Does what is due. */
    public fun work(now: ClockReadings, configuration: FleetConfiguration) {
        val nowMillis = now.steadyMillis
        if (!listing && nowMillis - listedMillis >= keeper.listIntervalMillis()) list(nowMillis)
        while (recorded.isNotEmpty()) carry(recorded.removeFirst())
        if (!recording && nowMillis - decidedMillis >= DECIDE_MILLIS) {
            decidedMillis = nowMillis
            record(nowMillis, keeper.decideOrders(nowMillis, configuration))
        }
        if (!reporting) keeper.takeReports().forEach(::storeReport)
    }

    private fun list(nowMillis: Long) {
        listing = true
        listedMillis = nowMillis
        readPage(null, ArrayList())
    }

    private fun readPage(page: String?, into: MutableList<MachineRecord>) {
        machines.listMachines(page, LIST_TIMEOUT_MILLIS) { verdict -> post { if (!closed) pageRead(verdict, into) } }
    }

    private fun pageRead(verdict: Verdict<MachinePage>, into: MutableList<MachineRecord>) {
        val page = (verdict as? Verdict.Ran)?.value
        listOutage.note(verdict)
        if (page == null) {
            listing = false
            return
        }
        into += page.machines
        if (page.nextPage != null) {
            readPage(page.nextPage, into)
        } else {
            listing = false
            keeper.applyMachineList(NodeClock.steadyMillis(), into)
        }
    }

    /** Stores that the machines of [orders] are under orders, where that is not stored yet, before they are sent. */
    private fun record(nowMillis: Long, orders: List<MachineOrder>) {
        if (orders.isEmpty()) return
        val before = LinkedHashMap(ordered)
        val known = orders.all { it.machine in ordered }
        ordered.values.removeIf { nowMillis - it > times.handoverMillis }
        orders.forEach { ordered[it.machine] = nowMillis }
        if (known) {
            orders.forEach(::carry)
            return
        }
        recording = true
        val write = RowWrite(OrderedMachineRow.ADDRESS, OrderedMachineRow.encode(ordered.keys))
        store.transact(RowTransaction(listOf(fence.condition()), listOf(write)), WRITE_TIMEOUT_MILLIS) { verdict ->
            post { if (!closed) recorded(orders, before, verdict) }
        }
    }

    private fun recorded(
        orders: List<MachineOrder>,
        before: Map<MachineId, Long>,
        verdict: Verdict<TransactionOutcome>,
    ) {
        recording = false
        if ((verdict as? Verdict.Ran)?.value is TransactionOutcome.Committed) {
            recorded += orders
            return
        }
        val failure = verdict.failureOrNull() ?: Failure(FailureKind.INVALID, "another holder has taken over")
        logEvent("machine orders not stored", "orders" to orders.size, "why" to failure.message)
        ordered.clear()
        ordered += before
        orders.forEach { keeper.onOrderAnswer(NodeClock.steadyMillis(), it, Verdict.NotRun(failure)) }
    }

    private fun carry(order: MachineOrder) {
        val done = { verdict: Verdict<MachineAnswer> ->
            post { if (!closed) keeper.onOrderAnswer(NodeClock.steadyMillis(), order, verdict) }
        }
        when (order) {
            is MachineOrder.Upkeep -> machines.startUpkeep(order.machine, order.wave, epoch, ORDER_TIMEOUT_MILLIS, done)
            is MachineOrder.Move -> machines.moveMachine(order.machine, order.pool, epoch, ORDER_TIMEOUT_MILLIS, done)
        }
    }

    /** Stores what is done of a wave before it is shown. */
    private fun storeReport(report: WaveReport) {
        reporting = true
        val write = RowWrite(WaveRows.address(report.number), WaveRows.encode(report))
        store.transact(RowTransaction(listOf(fence.condition()), listOf(write)), WRITE_TIMEOUT_MILLIS) { verdict ->
            post {
                reporting = false
                when ((verdict as? Verdict.Ran)?.value) {
                    is TransactionOutcome.Committed -> show(report)

                    // Another holder has taken over and goes on from what is stored.
                    is TransactionOutcome.Conflict -> Unit

                    null -> keeper.requeueReport(report)
                }
            }
        }
    }

    private fun show(report: WaveReport) {
        if (closed || shown[report.number] == report.completed) return
        shown[report.number] = report.completed
        news.publishWave(report.number, report.completed, WRITE_TIMEOUT_MILLIS) { verdict ->
            post {
                verdict.failureOrNull()?.let { failure ->
                    logEvent("wave not shown", "wave" to report.number, "why" to failure.message)
                    shown -= report.number
                    keeper.requeueReport(report)
                }
            }
        }
    }

    private companion object {
        /** Work that waits is to be done in about the time that quick jobs have beside their own run time. */
        val POLICY = SizingPolicy(backlogClearMillis = 1_200.0, returnIdleMillis = 4_000)

        /** Time between two decisions. */
        const val DECIDE_MILLIS = 100L

        /** Longest wait for a page of the list, and for an order. */
        const val LIST_TIMEOUT_MILLIS = 800L
        const val ORDER_TIMEOUT_MILLIS = 800L

        /** Longest wait for a write. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L
    }
}
