// Carries out the decisions of the machine order planner for the lease holder. It reads the platform's list of
// machines, sends the orders for machines, and stores and publishes the progress of waves.

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
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull
import kotlin.math.abs

/**
 * Sends the orders for machines during the term of the lease with [epoch]. Its state belongs to the control thread.
 *
 * @param fence its condition is part of each write
 * @param post runs an action on the control thread
 */
public class MachineOrderDispatcher(
    scheduler: BatchScheduler,
    private val epoch: Epoch,
    private val fence: ProgressFence,
    private val times: MachineTimes,
    private val store: RowStore,
    private val updates: FleetUpdateFeed,
    private val machines: MachineControl,
    decisionLog: DecisionLog,
    private val post: Post,
) {
    private val planner = MachineOrderPlanner(times, POLICY, NodeClock.steadyMillis(), scheduler, decisionLog)
    private val reportsOfPredecessors = HashMap<Long, WaveReport>()
    private val publishedCompletion = HashMap<Long, Boolean>()

    /** The machines stored in [OrderedMachineRow], and when the last order for each of them was decided. */
    private val lastOrderMillis = LinkedHashMap<MachineId, Long>()

    /** The executors that these orders were to end, with their machines; stored like the machines. */
    private val orderedExecutors = LinkedHashMap<InstanceId, MachineId>()

    /** Orders that may be sent, since their machines are stored in [OrderedMachineRow]. */
    private val ordersToSend = ArrayDeque<MachineOrder>()
    private var recordPending = false
    private var listPending = false
    private var lastListMillis = Long.MIN_VALUE / 2
    private var lastDecisionMillis = Long.MIN_VALUE / 2
    private var reportPending = false
    private val listOutage = OutageLog("machine list lost", "machine list regained")
    private var closed = false

    /** Difference of the two clocks at the last work. It changes when the process was suspended or a clock was set. */
    private var clockOffsetMillis: Long? = null

    /** Ends the term. Answers that arrive later are ignored. */
    public fun close() {
        closed = true
    }

    /** Applies the [rows] in which earlier lease holders have stored the progress of waves and the ordered machines. */
    public fun applyStoredWaves(rows: List<StoredRow>) {
        rows.forEach { row ->
            val number = row.address.key.toLongOrNull()
            val value = row.value
            if (number != null && value != null) reportsOfPredecessors[number] = WaveRows.decode(number, value)
        }
        val values = rows.associate { it.address to it.value }
        val machines = values[OrderedMachineRow.ADDRESS]?.let(OrderedMachineRow::decode).orEmpty()
        val executors = values[OrderedMachineRow.EXECUTORS_ADDRESS]?.let(OrderedMachineRow::decodeExecutors).orEmpty()
        planner.markOrderedByPredecessors(machines, executors)
        val nowMillis = NodeClock.steadyMillis()
        machines.forEach { lastOrderMillis[it] = nowMillis }
        orderedExecutors += executors
    }

    /**
     * Adds a wave that the operator has requested. [firstHolder] tells that no earlier lease holder can have given
     * orders for it.
     */
    public fun addWave(wave: UpkeepWave, firstHolder: Boolean) {
        val report = reportsOfPredecessors[wave.number]
        if (report?.completed == true) {
            publishReport(report)
        } else {
            planner.addWave(NodeClock.steadyMillis(), wave, report?.done.orEmpty(), firstHolder && report == null)
        }
    }

    /** Does all work that is due at [now] with [configuration] in force. */
    public fun runDueWork(now: ClockReadings, configuration: FleetConfiguration) {
        val nowMillis = now.steadyMillis
        noticeSuspension(now)
        if (!listPending && nowMillis - lastListMillis >= planner.listIntervalMillis()) readMachineList(nowMillis)
        while (ordersToSend.isNotEmpty()) {
            val order = ordersToSend.removeFirst()
            if (planner.confirmOrder(nowMillis, order)) sendOrder(order)
        }
        if (!recordPending && nowMillis - lastDecisionMillis >= DECISION_INTERVAL_MILLIS) {
            lastDecisionMillis = nowMillis
            recordAndSend(nowMillis, planner.decideOrders(nowMillis, configuration))
        }
        if (!reportPending) planner.takeReports().forEach(::storeReport)
    }

    private fun noticeSuspension(now: ClockReadings) {
        val offsetMillis = now.wallMillis - now.steadyMillis
        val jumpMillis = offsetMillis - (clockOffsetMillis ?: offsetMillis)
        clockOffsetMillis = offsetMillis
        if (abs(jumpMillis) < SUSPENSION_MILLIS) return
        logEvent("clocks moved apart", "by_ms" to jumpMillis)
        planner.distrustReports(now.steadyMillis)
    }

    private fun readMachineList(nowMillis: Long) {
        listPending = true
        lastListMillis = nowMillis
        readPage(nowMillis, null, ArrayList())
    }

    private fun readPage(requestMillis: Long, page: String?, records: MutableList<MachineRecord>) {
        machines.listMachines(page, LIST_TIMEOUT_MILLIS) { verdict ->
            post { if (!closed) onPageRead(requestMillis, verdict, records) }
        }
    }

    private fun onPageRead(requestMillis: Long, verdict: Verdict<MachinePage>, records: MutableList<MachineRecord>) {
        val page = (verdict as? Verdict.Ran)?.value
        listOutage.recordResult(verdict)
        if (page == null) {
            listPending = false
            return
        }
        records += page.machines
        if (page.nextPage != null) {
            readPage(requestMillis, page.nextPage, records)
        } else {
            listPending = false
            planner.applyMachineList(NodeClock.steadyMillis(), requestMillis, records)
        }
    }

    /** Stores the machines of [orders] as ordered, unless they are stored already, and sends the orders after that. */
    private fun recordAndSend(nowMillis: Long, orders: List<MachineOrder>) {
        if (orders.isEmpty()) return
        val previousOrderMillis = LinkedHashMap(lastOrderMillis)
        val areRecorded = orders.all { order ->
            order.machine in lastOrderMillis && order.executor.let { it == null || it in orderedExecutors }
        }
        lastOrderMillis.values.removeIf { nowMillis - it > times.handoverMillis }
        orders.forEach { order ->
            lastOrderMillis[order.machine] = nowMillis
            order.executor?.let { orderedExecutors[it] = order.machine }
        }
        orderedExecutors.values.retainAll(lastOrderMillis.keys)
        if (areRecorded) {
            orders.forEach(::sendOrder)
            return
        }
        recordPending = true
        val writes = listOf(
            RowWrite(OrderedMachineRow.ADDRESS, OrderedMachineRow.encode(lastOrderMillis.keys)),
            RowWrite(OrderedMachineRow.EXECUTORS_ADDRESS, OrderedMachineRow.encodeExecutors(orderedExecutors)),
        )
        store.transact(RowTransaction(listOf(fence.condition()), writes), WRITE_TIMEOUT_MILLIS) { verdict ->
            post { if (!closed) onRecorded(orders, previousOrderMillis, verdict) }
        }
    }

    private fun onRecorded(
        orders: List<MachineOrder>,
        previousOrderMillis: Map<MachineId, Long>,
        verdict: Verdict<TransactionOutcome>,
    ) {
        recordPending = false
        if ((verdict as? Verdict.Ran)?.value is TransactionOutcome.Committed) {
            ordersToSend += orders
            return
        }
        val failure = verdict.failureOrNull() ?: Failure(FailureKind.INVALID, "another lease holder has taken over")
        logEvent("machine orders not stored", "orders" to orders.size, "why" to failure.message)
        lastOrderMillis.clear()
        lastOrderMillis += previousOrderMillis
        orders.forEach { planner.onOrderAnswer(NodeClock.steadyMillis(), it, Verdict.NotRun(failure)) }
    }

    private fun sendOrder(order: MachineOrder) {
        val onAnswer = { verdict: Verdict<MachineAnswer> ->
            post { if (!closed) planner.onOrderAnswer(NodeClock.steadyMillis(), order, verdict) }
        }
        when (order) {
            is MachineOrder.Upkeep ->
                machines.startUpkeep(order.machine, order.wave, epoch, ORDER_TIMEOUT_MILLIS, onAnswer)

            is MachineOrder.Move ->
                machines.moveMachine(order.machine, order.pool, epoch, ORDER_TIMEOUT_MILLIS, onAnswer)
        }
    }

    /** Stores the progress of a wave, and publishes it after that. */
    private fun storeReport(report: WaveReport) {
        reportPending = true
        val write = RowWrite(WaveRows.address(report.number), WaveRows.encode(report))
        store.transact(RowTransaction(listOf(fence.condition()), listOf(write)), WRITE_TIMEOUT_MILLIS) { verdict ->
            post {
                reportPending = false
                when ((verdict as? Verdict.Ran)?.value) {
                    is TransactionOutcome.Committed -> publishReport(report)

                    // Another lease holder has taken over, and continues the wave from the stored progress.
                    is TransactionOutcome.Conflict -> Unit

                    null -> planner.requeueReport(report)
                }
            }
        }
    }

    private fun publishReport(report: WaveReport) {
        if (closed || publishedCompletion[report.number] == report.completed) return
        publishedCompletion[report.number] = report.completed
        updates.publishWave(report.number, report.completed, WRITE_TIMEOUT_MILLIS) { verdict ->
            post {
                verdict.failureOrNull()?.let { failure ->
                    logEvent("wave not shown", "wave" to report.number, "why" to failure.message)
                    publishedCompletion -= report.number
                    planner.requeueReport(report)
                }
            }
        }
    }

    private companion object {
        /** The backlog should be cleared in about the time that quick jobs may take in addition to their run time. */
        val POLICY = SizingPolicy(backlogClearMillis = 1_200.0, returnIdleMillis = 4_000)

        /** Change of the difference of the clocks from which on the process may have been suspended. */
        const val SUSPENSION_MILLIS = 300L

        /** Time between two decisions on orders. */
        const val DECISION_INTERVAL_MILLIS = 100L

        /** Timeout of reading a page of the list. */
        const val LIST_TIMEOUT_MILLIS = 800L

        /** Timeout of an order. */
        const val ORDER_TIMEOUT_MILLIS = 800L

        /** Timeout of a write. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L
    }
}
