// Moves machines between pools and takes them down for upkeep, for the holder of the control lease. It decides from
// the platform's list of machines and the scheduler's state, and keeps an order under way until the list shows its
// end.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.MachineAnswer
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.DecisionLog
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict

/** State of a wave to be stored and shown. */
public data class WaveReport(public val number: Long, public val done: Set<MachineId>, public val completed: Boolean)

/** Keeps the machines of one term of the lease, which began at [begunMillis]. */
public class MachineKeeper(
    private val times: MachineTimes,
    private val policy: SizingPolicy,
    private val begunMillis: Long,
    private val scheduler: BatchScheduler,
    private val log: DecisionLog,
) {
    private val book = MachineBook(times)
    private val waves = LinkedHashMap<Long, WaveState>()
    private val idleSince = HashMap<InstanceId, Long>()
    private val reports = LinkedHashMap<Long, WaveReport>()
    private val worked = HashSet<PoolId>()

    /** Machines that earlier holders may have ordered about a moment ago. */
    private var inherited: Set<MachineId> = emptySet()

    /** Takes in which [machines] earlier holders may have ordered about until a moment ago. */
    public fun inherit(machines: Set<MachineId>) {
        inherited = machines
    }

    /** Whether an earlier holder's last order for [machine] is old enough. */
    private fun mayOrder(nowMillis: Long, machine: MachineId): Boolean =
        machine !in inherited || nowMillis - begunMillis >= times.handoverMillis

    /**
     * A wave was asked for; [done] are the machines that earlier holders have taken down for it, as far as they could
     * tell, and [fresh] says that there was no earlier holder.
     */
    public fun waveRequested(nowMillis: Long, wave: UpkeepWave, done: Set<MachineId>, fresh: Boolean) {
        if (wave.number in waves) return
        val state = WaveState(wave, nowMillis, done, fresh)
        waves[wave.number] = state
        log("wave begun", arrayOf("wave" to wave.number, "machines" to wave.machines.size, "cap" to wave.cap))
        report(state)
    }

    /** The platform's list of machines, whole. */
    public fun listed(nowMillis: Long, machines: List<MachineRecord>) {
        book.listed(nowMillis, machines).forEach { order ->
            log("machine back", arrayOf("machine" to order.machine, "order" to order))
            release(order)
        }
        val down = machines.filter { it.state != MachineState.UP }.mapNotNullTo(HashSet()) { it.executor }
        val present = machines.mapNotNullTo(HashSet()) { it.executor } - down
        scheduler.executors.values.filter { isGone(nowMillis, it, down, present) }.map { it.record.id }.forEach { id ->
            scheduler.onExecutorGone(nowMillis, id)
        }
    }

    /**
     * Whether a silent executor has ended: its machine is down, or no machine has had it for longer than the list
     * lags.
     */
    private fun isGone(
        nowMillis: Long,
        executor: ExecutorState,
        down: Set<InstanceId>,
        present: Set<InstanceId>,
    ): Boolean {
        val silentSince = executor.unreachableSinceMillis ?: return false
        val id = executor.record.id
        return id in down || (id !in present && nowMillis - silentSince >= ABSENT_MILLIS)
    }

    /** How soon the list should be read again, in milliseconds since the last reading. */
    public fun listIntervalMillis(): Long = when {
        book.tasks.isNotEmpty() -> ORDERS_LIST_MILLIS
        waves.isNotEmpty() || scheduler.executors.values.any { it.unreachableSinceMillis != null } -> BUSY_LIST_MILLIS
        else -> CALM_LIST_MILLIS
    }

    /** Orders to give now. */
    public fun decide(nowMillis: Long, configuration: FleetConfiguration): List<MachineOrder> {
        if (book.listedMillis == null) return emptyList()
        noteIdle(nowMillis)
        val pools = sizedPools(nowMillis, configuration)
        val orders = repeated(nowMillis) + upkeeps(nowMillis, pools)
        orders.forEach { begin(it) }
        val moves = moves(nowMillis, configuration, pools)
        moves.forEach { begin(it) }
        finishWaves(nowMillis)
        return orders + moves
    }

    private fun begin(order: MachineOrder) {
        val task = book.tasks.getOrPut(order.machine) { MachineTask(order, endsExecutor(order)) }
        task.stage = OrderStage.SENT
        order.executor?.let { scheduler.executors[it] }?.let { executor ->
            executor.cordoned = true
            executor.terminating = true
        }
        log("machine ordered", arrayOf("order" to order, "runs" to runsOn(order)))
    }

    /**
     * Whether carrying [order] out ends the executor that is on the machine now. An upkeep that an earlier order may
     * have done already is answered in the same way, and the executor that came after it lives on.
     */
    private fun endsExecutor(order: MachineOrder): Boolean = when (order) {
        is MachineOrder.Move -> true
        is MachineOrder.Upkeep -> waves[order.wave]?.let { it.fresh && order.machine !in it.notBeforeMillis } ?: false
    }

    private fun runsOn(order: MachineOrder): Int = order.executor?.let { scheduler.executors[it]?.runs?.size } ?: 0

    /** Orders without an answer, which change nothing where they were carried out. */
    private fun repeated(nowMillis: Long): List<MachineOrder> =
        book.tasks.values.filter { it.stage == OrderStage.OPEN && it.retryMillis <= nowMillis }.map { it.order }

    private fun upkeeps(nowMillis: Long, pools: List<SizedPool>): List<MachineOrder> {
        val pressures = pools.associate { it.pool to pressure(it, policy) }
        return waves.values.flatMap { state ->
            val view = UpkeepView(
                book::machine,
                ::executorOn,
                { it in book.tasks || !mayOrder(nowMillis, it) },
                { pressures[it.pool] ?: 0.0 },
                { poolRoom(it.pool) },
                book.downFor(state.wave) { !mayOrder(nowMillis, it) },
            )
            // Each task that is stopped counts as away for the machines that are looked at after it.
            state.cordonedMillis.keys.mapNotNull { executorOf(it) }.forEach { executor ->
                runsToEvacuate(executor).forEach { scheduler.stopRun(it, "its machine is due for upkeep") }
            }
            val chosen = planUpkeep(nowMillis, state, view, times.upkeepMillis)
            state.cordonedMillis.keys.forEach { cordon(it) }
            chosen.map { MachineOrder.Upkeep(it.id, it.executor, state.wave.number) }
        }
    }

    private fun cordon(id: MachineId) {
        executorOf(id)?.cordoned = true
    }

    private fun executorOf(id: MachineId): ExecutorState? = book.machine(id)?.let(::executorOn)

    private fun executorOn(machine: MachineRecord): ExecutorState? = machine.executor?.let { scheduler.executors[it] }

    /** Machines that [pool] can lose at once: a third, but one in any case. Pools without work can lose all. */
    private fun poolRoom(pool: PoolId): Int {
        val machines = book.all.filter { it.pool == pool }
        val away = machines.count { it.id in book.tasks || it.state != MachineState.UP }
        return maxOf(1, machines.size / POOL_PART) - away
    }

    private fun moves(nowMillis: Long, configuration: FleetConfiguration, pools: List<SizedPool>): List<MachineOrder> {
        val sparePool = configuration.pools.values.firstOrNull { it.standby }?.id
        val cordoned = waves.values.flatMapTo(HashSet()) { it.cordonedMillis.keys }
        val spare = book.all.filter {
            it.pool == sparePool && it.state == MachineState.UP && it.id !in book.tasks && it.id !in cordoned &&
                mayOrder(nowMillis, it.id)
        }
        return planMoves(nowMillis, pools, spare, sparePool, policy).map { (machine, pool) ->
            MachineOrder.Move(machine, book.machine(machine)?.executor, pool)
        }
    }

    private fun sizedPools(nowMillis: Long, configuration: FleetConfiguration): List<SizedPool> =
        demandOf(scheduler, configuration).map { (pool, demand) ->
            val assigned = book.assigned(pool).filter { executorOf(it.id)?.cordoned != true }
            val cpu = assigned.maxOfOrNull { it.capacity.cpuMillis } ?: book.all.maxOfOrNull { it.capacity.cpuMillis }
            if (demand.backlogCpuMillis > 0) worked += pool
            SizedPool(pool in worked, pool, assigned.size, cpu ?: 0, demand, idleMachines(nowMillis, assigned))
        }

    private fun idleMachines(nowMillis: Long, machines: List<MachineRecord>): List<IdleMachine> =
        machines.mapNotNull { machine ->
            val since = machine.executor?.let { idleSince[it] }
            val executor = executorOn(machine)
            val taken = executor?.cordoned != false || machine.id in book.tasks || !mayOrder(nowMillis, machine.id)
            if (since == null || taken) null else IdleMachine(machine, since)
        }

    private fun noteIdle(nowMillis: Long) {
        scheduler.executors.values.forEach { executor: ExecutorState ->
            val idle = executor.runs.isEmpty() && executor.knowsEpoch && executor.unreachableSinceMillis == null
            if (idle) idleSince.putIfAbsent(executor.record.id, nowMillis) else idleSince.remove(executor.record.id)
        }
        idleSince.keys.retainAll(scheduler.executors.keys)
    }

    /** The platform answered an order, or did not. */
    public fun answered(nowMillis: Long, order: MachineOrder, verdict: Verdict<MachineAnswer>) {
        val answer = (verdict as? Verdict.Ran)?.value
        log("machine order answered", arrayOf("order" to order, "answer" to (answer ?: "none")))
        // The list may have ended the task meanwhile, and another order may be under way for the machine.
        val task = book.tasks[order.machine]?.takeIf { it.order == order } ?: return
        when {
            answer == MachineAnswer.DONE -> carriedOut(nowMillis, task)

            verdict is Verdict.MayHaveRun || answer == MachineAnswer.RATE_LIMITED -> {
                task.stage = OrderStage.OPEN
                task.retryMillis = nowMillis + RETRY_MILLIS
            }

            else -> refused(nowMillis, order)
        }
    }

    private fun carriedOut(nowMillis: Long, task: MachineTask) {
        task.stage = OrderStage.CARRIED_OUT
        task.carriedOutMillis = nowMillis
        val order = task.order
        if (task.endsExecutor) order.executor?.let { scheduler.onExecutorGone(nowMillis, it) }
        if (order is MachineOrder.Upkeep) {
            val state = waves[order.wave] ?: return
            state.done += order.machine
            state.cordonedMillis -= order.machine
            report(state)
        }
    }

    /** A refused upkeep is tried again: only a machine that the platform has taken down counts as done. */
    private fun refused(nowMillis: Long, order: MachineOrder) {
        book.tasks -= order.machine
        if (order is MachineOrder.Upkeep) {
            val state = waves[order.wave] ?: return
            state.cordonedMillis -= order.machine
            state.notBeforeMillis[order.machine] = nowMillis + REFUSED_MILLIS
        }
        release(order)
    }

    /** Lets work onto the executor again that [order] was to end, if it lives. */
    private fun release(order: MachineOrder) {
        val executor = order.executor?.let { scheduler.executors[it] } ?: return
        executor.cordoned = false
        executor.terminating = false
    }

    private fun finishWaves(nowMillis: Long) {
        val finished = waves.values.filter { state ->
            state.left { !book.hasLeft(nowMillis, it) }.isEmpty()
        }
        finished.forEach { state ->
            log("wave completed", arrayOf("wave" to state.wave.number, "machines" to state.done.size))
            waves -= state.wave.number
            reports[state.wave.number] = WaveReport(state.wave.number, state.done.toSet(), true)
        }
    }

    private fun report(state: WaveState) {
        reports[state.wave.number] = WaveReport(state.wave.number, state.done.toSet(), false)
    }

    /** Takes the reports that are to be stored and shown; each holds all that earlier ones of its wave held. */
    public fun takeReports(): List<WaveReport> {
        val taken = reports.values.toList()
        reports.clear()
        return taken
    }

    /** Puts a report back that could not be stored, unless there is a newer one. */
    public fun giveBack(report: WaveReport) {
        reports.putIfAbsent(report.number, report)
    }

    private companion object {
        /** Time between two readings of the list while orders are under way; they take about two seconds. */
        const val ORDERS_LIST_MILLIS = 300L

        /** The same while something is to be decided from it. */
        const val BUSY_LIST_MILLIS = 700L

        /** The same while nothing happens. */
        const val CALM_LIST_MILLIS = 2_000L

        /** An executor that no machine has had for so long has ended; the list lags by less than a second. */
        const val ABSENT_MILLIS = 1_500L

        /** Pause before an order without an answer is sent again. */
        const val RETRY_MILLIS = 300L

        /** Pause before a refused upkeep is tried again. */
        const val REFUSED_MILLIS = 1_000L

        /** A pool loses at most this part of its machines at once. */
        const val POOL_PART = 3
    }
}
