// Decides which machines are moved between pools and which are taken down for upkeep, for the holder of the control
// lease. It decides from the platform's list of machines and the scheduler's state. An order stays open until the list
// shows its end.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.MachineAnswer
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.DecisionLog
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.IncarnationEndSource
import org.gypsumturn.batch.state.RunEndEvidence
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict

/** Progress of a wave, to be stored for later lease holders and published for the operator. */
public data class WaveReport(public val number: Long, public val done: Set<MachineId>, public val completed: Boolean)

/**
 * Plans the orders for machines during one term of the lease, and tracks their outcomes. It does no I/O: the caller
 * carries the orders out and passes back the answers and the list of machines.
 *
 * @param termStartMillis when the term began, on this process's monotonic clock, as all times here
 */
public class MachineOrderPlanner(
    private val times: MachineTimes,
    private val policy: SizingPolicy,
    private val termStartMillis: Long,
    private val scheduler: BatchScheduler,
    private val log: DecisionLog,
) {
    private val registry = MachineRegistry(times)
    private val budget = DisruptionBudget(scheduler, times.reportAgeMillis)
    private val waves = LinkedHashMap<Long, UpkeepWaveProgress>()
    private val idleSince = HashMap<InstanceId, Long>()
    private val pendingReports = LinkedHashMap<Long, WaveReport>()

    /** Pools whose machines may be returned to the spare pool. */
    private val workedPools = HashSet<PoolId>()
    private var earlierJobsChecked = false
    private val heldOrders = HeldOrders(log)

    /** Machines for which earlier lease holders may have given orders shortly before this term. */
    private var orderedByPredecessors: Set<MachineId> = emptySet()

    init {
        scheduler.mayRepeatEvacuation = budget::mayEndRun
    }

    /** The executors that these orders were to end. */
    private var endedByPredecessors: Set<InstanceId> = emptySet()

    /**
     * Sets the [machines] for which earlier lease holders may have given orders shortly before this term, and the
     * [executors] on them that the orders were to end. Such an executor no longer answers. Without its machine, nothing
     * but the lapse of all leases would show that it has ended, and the tasks of its pool would wait for that.
     */
    public fun markOrderedByPredecessors(
        machines: Set<MachineId>,
        executors: Map<InstanceId, MachineId> = emptyMap(),
    ) {
        orderedByPredecessors = machines
        endedByPredecessors = executors.keys
        registry.addEarlierExecutors(executors)
    }

    /**
     * Lets only reports that are requested at [nowMillis] or later show that tasks are at work. Must be called after
     * the process may have been suspended, since its steady clock does not count that time.
     */
    public fun distrustReports(nowMillis: Long) {
        scheduler.executors.values.forEach { it.requirePresenceSince(nowMillis) }
    }

    /** Whether no order of an earlier lease holder for [machine] can still be in progress. */
    private fun mayOrder(nowMillis: Long, machine: MachineId): Boolean =
        machine !in orderedByPredecessors || nowMillis - termStartMillis >= times.handoverMillis

    /**
     * Adds a wave that the operator has requested.
     *
     * @param done machines of the wave that earlier lease holders have stored as taken down
     * @param firstHolder whether no earlier lease holder can have given orders for the wave
     */
    public fun addWave(nowMillis: Long, wave: UpkeepWave, done: Set<MachineId>, firstHolder: Boolean) {
        if (wave.number in waves) return
        val progress = UpkeepWaveProgress(wave, nowMillis, done, firstHolder)
        waves[wave.number] = progress
        log("wave begun", arrayOf("wave" to wave.number, "machines" to wave.machines.size, "cap" to wave.cap))
        queueReport(progress)
    }

    /**
     * Applies the platform's complete list of machines, whose first page was requested at [requestMillis]. Executors
     * that do not answer and that it shows to have ended leave the scheduler.
     */
    public fun applyMachineList(nowMillis: Long, requestMillis: Long, machines: List<MachineRecord>) {
        registry.addEarlierExecutors(scheduler.takeEarlierMachines())
        registry.applyList(nowMillis, requestMillis, machines).forEach { order ->
            log("machine back", arrayOf("machine" to order.machine, "order" to order))
            uncordon(nowMillis, order)
        }
        val evidence = RunEndEvidence.IncarnationEnded(IncarnationEndSource.MACHINE_LIST, requestMillis)
        scheduler.executors.values
            .filter { it.unreachableSinceMillis != null && registry.showsEnd(it) }
            .map { it.record.id }
            .forEach { id ->
                val planned = registry.isUnderOrder(id) || id in endedByPredecessors
                scheduler.onExecutorGone(nowMillis, id, planned, evidence)
            }
        registry.retainExecutors(scheduler.executors.keys)
        scheduler.recordMachines(registry.shownMachines)
        val listed = registry.allMachines.filter { it.state == MachineState.UP }.mapNotNullTo(HashSet()) { it.executor }
        budget.recordListed(nowMillis, listed)
    }

    /** Time between two readings of the list of machines. It is shorter while a decision depends on the list. */
    public fun listIntervalMillis(): Long = when {
        registry.openOrders.isNotEmpty() -> OPEN_ORDERS_LIST_INTERVAL_MILLIS

        waves.isNotEmpty() || scheduler.executors.values.any { it.unreachableSinceMillis != null } ->
            ACTIVE_LIST_INTERVAL_MILLIS

        else -> IDLE_LIST_INTERVAL_MILLIS
    }

    /**
     * The orders to send now. Each of them must be followed by a call of [onOrderAnswer]. There are none without a
     * recent list of machines, since an older one may show executors that others have replaced, and while starts of
     * tasks are held back, since tasks that the orders end could not start elsewhere.
     */
    public fun decideOrders(nowMillis: Long, configuration: FleetConfiguration): List<MachineOrder> {
        if (!registry.isListRecent(nowMillis)) return emptyList()
        updateIdleTimes(nowMillis)
        distrustPredecessorsMachines(nowMillis)
        if (scheduler.areStartsHeld) return emptyList()
        val pools = poolSizingInputs(nowMillis, configuration)
        val retries = dueRetries(nowMillis)
        retries.forEach { markSent(nowMillis, it) }
        val upkeeps = upkeepOrders(nowMillis, pools)
        val moves = moveOrders(nowMillis, configuration, pools)
        moves.forEach { markSent(nowMillis, it) }
        completeWaves(nowMillis)
        return retries + upkeeps + moves
    }

    /**
     * Whether [order], which was decided some time ago, may still be sent. If not, it is decided anew, and must be
     * neither sent nor passed to [onOrderAnswer].
     */
    public fun confirmOrder(nowMillis: Long, order: MachineOrder): Boolean {
        val openOrder = registry.openOrders[order.machine]?.takeIf { it.order == order } ?: return false
        if (mayEndTasks(nowMillis, order)) return true
        withdraw(nowMillis, openOrder)
        return false
    }

    /**
     * Lets the executors on machines that an earlier holder may have ordered show anew that their tasks are at
     * work.
     */
    private fun distrustPredecessorsMachines(nowMillis: Long) {
        val untilMillis = termStartMillis + times.handoverMillis
        if (nowMillis >= untilMillis) return
        orderedByPredecessors.mapNotNull { executorOf(it) }.forEach { it.requirePresenceSince(untilMillis) }
    }

    /** Whether [order] ends no more long-running tasks than their steps may miss. */
    private fun mayEndTasks(nowMillis: Long, order: MachineOrder): Boolean =
        mayEndTasks(nowMillis, order.machine, order.executor)

    private fun mayEndTasks(nowMillis: Long, machine: MachineId, ordered: InstanceId?): Boolean =
        heldOrders.record(nowMillis, machine, budget.checkOrder(nowMillis, registry.machine(machine), ordered))

    private fun markSent(nowMillis: Long, order: MachineOrder) {
        val openOrder = registry.openOrders.getOrPut(order.machine) {
            OpenMachineOrder(order, endsExecutor(order), incarnationOf(order))
        }
        openOrder.stage = MachineOrderStage.SENT
        openOrder.sentMillis = nowMillis
        executorsOn(order).forEach { executor ->
            executor.cordoned = true
            executor.terminating = true
        }
        val fields = arrayOf<Pair<String, Any?>>("order" to order, "runs" to runsOn(order))
        log("machine ordered", fields + budget.describe(nowMillis, order))
    }

    private fun incarnationOf(order: MachineOrder): Incarnation? =
        order.executor?.let { scheduler.executors[it] }?.incarnation

    /**
     * Whether the executor on the machine has ended once the platform accepts [order]. The platform also accepts an
     * upkeep that an earlier order has already caused. Then the present executor was started after it and is not ended.
     */
    private fun endsExecutor(order: MachineOrder): Boolean = when (order) {
        is MachineOrder.Move -> true

        is MachineOrder.Upkeep ->
            waves[order.wave]?.let { it.firstHolder && order.machine !in it.notBeforeMillis } ?: false
    }

    private fun runsOn(order: MachineOrder): Int = order.executor?.let { scheduler.executors[it]?.runs?.size } ?: 0

    /** Orders to send again. An order that has already been carried out has no effect when it is repeated. */
    private fun dueRetries(nowMillis: Long): List<MachineOrder> = registry.openOrders.values
        .filter { it.stage == MachineOrderStage.RETRY && it.retryMillis <= nowMillis }
        .filter { openOrder ->
            val mayEnd = mayEndTasks(nowMillis, openOrder.order)
            if (!mayEnd) withdraw(nowMillis, openOrder)
            mayEnd
        }
        .map { it.order }

    private fun upkeepOrders(nowMillis: Long, pools: List<PoolSizingInput>): List<MachineOrder> {
        val demandRatios = pools.associate { it.poolId to demandRatio(it, policy) }
        return waves.values.flatMap { progress ->
            val input = UpkeepPlanInput(
                registry::machine,
                ::executorOn,
                { it in registry.openOrders || !mayOrder(nowMillis, it) },
                { demandRatios[it.pool] ?: 0.0 },
                { poolRoom(it.pool) },
                registry.countDownFor(progress.wave) { !mayOrder(nowMillis, it) },
                { mayEndTasks(nowMillis, it.id, it.executor) },
            )
            heldOrders.takeDueToGiveWay(nowMillis, progress).forEach { giveWay(nowMillis, progress, it) }
            // Runs are stopped one executor at a time, so that a stopped task counts as missing for the next executors.
            progress.cordonedMillis.keys.mapNotNull { executorOf(it) }.forEach { executor ->
                budget.runsToEvacuate(nowMillis, executor)
                    .forEach { scheduler.evacuateRun(it, "its machine is due for upkeep") }
            }
            val chosen = planUpkeep(nowMillis, progress, input, times.upkeepMillis)
            progress.cordonedMillis.keys.filter { it !in registry.openOrders }.forEach { cordon(it) }
            heldOrders.logWave(nowMillis, progress)
            // Marked at once, so that the tasks that they end count as missing for the next wave.
            chosen.map { MachineOrder.Upkeep(it.id, it.executor, progress.wave.number) }
                .onEach { markSent(nowMillis, it) }
        }
    }

    /** Lets other machines of the wave go first, and missing tasks start on machine [id], whose order is held back. */
    private fun giveWay(nowMillis: Long, progress: UpkeepWaveProgress, id: MachineId) {
        progress.cordonedMillis -= id
        progress.notBeforeMillis[id] = nowMillis + GIVE_WAY_MILLIS
        executorOf(id)?.cordoned = false
    }

    private fun cordon(id: MachineId) {
        executorOf(id)?.cordoned = true
    }

    private fun executorOf(id: MachineId): ExecutorState? = registry.machine(id)?.let(::executorOn)

    private fun executorOn(machine: MachineRecord): ExecutorState? = machine.executor?.let { scheduler.executors[it] }

    /** Number of machines that [pool] can lose now. A third of its machines may be away at once, and at least one. */
    private fun poolRoom(pool: PoolId): Int {
        val machines = registry.allMachines.filter { it.pool == pool }
        val away = machines.count { it.id in registry.openOrders || it.state != MachineState.UP }
        return maxOf(1, machines.size / POOL_AWAY_DIVISOR) - away
    }

    private fun moveOrders(
        nowMillis: Long,
        configuration: FleetConfiguration,
        pools: List<PoolSizingInput>,
    ): List<MachineOrder> {
        val sparePool = configuration.pools.values.firstOrNull { it.standby }?.id
        val cordoned = waves.values.flatMapTo(HashSet()) { it.cordonedMillis.keys }
        val spare = registry.allMachines.filter {
            it.pool == sparePool && it.state == MachineState.UP && it.id !in registry.openOrders &&
                it.id !in cordoned && mayOrder(nowMillis, it.id)
        }
        return planMoves(nowMillis, pools, spare, sparePool, policy).map { (machine, pool) ->
            MachineOrder.Move(machine, registry.machine(machine)?.executor, pool)
        }
    }

    /** Marks the pools that have worked under earlier lease holders, of which ended jobs are still known. */
    private fun checkEarlierJobs(configuration: FleetConfiguration) {
        if (earlierJobsChecked) return
        earlierJobsChecked = true
        scheduler.jobs.filterNot { it.longRunning }
            .mapNotNullTo(workedPools) { configuration.queue(it.job.queue)?.pool }
    }

    private fun poolSizingInputs(nowMillis: Long, configuration: FleetConfiguration): List<PoolSizingInput> {
        checkEarlierJobs(configuration)
        return demandByPool(nowMillis, scheduler, configuration, policy.backlogClearMillis).map { (pool, demand) ->
            val assigned = registry.assigned(pool).filter { executorOf(it.id)?.cordoned != true }
            val cpu = assigned.maxOfOrNull { it.capacity.cpuMillis }
                ?: registry.allMachines.maxOfOrNull { it.capacity.cpuMillis }
            if (demand.backlogCpuMillis > 0) workedPools += pool
            PoolSizingInput(
                pool in workedPools,
                pool,
                assigned.size,
                cpu ?: 0,
                demand,
                idleMachines(nowMillis, assigned),
            )
        }
    }

    private fun idleMachines(nowMillis: Long, machines: List<MachineRecord>): List<IdleMachine> =
        machines.mapNotNull { machine ->
            val sinceMillis = machine.executor?.let { idleSince[it] }
            val executor = executorOn(machine)
            val unavailable =
                executor?.cordoned != false || machine.id in registry.openOrders || !mayOrder(nowMillis, machine.id)
            if (sinceMillis == null || unavailable) null else IdleMachine(machine, sinceMillis)
        }

    private fun updateIdleTimes(nowMillis: Long) {
        scheduler.executors.values.forEach { executor: ExecutorState ->
            val idle = executor.runs.isEmpty() && executor.knowsEpoch && executor.unreachableSinceMillis == null
            if (idle) idleSince.putIfAbsent(executor.record.id, nowMillis) else idleSince.remove(executor.record.id)
        }
        idleSince.keys.retainAll(scheduler.executors.keys)
    }

    /** Processes the platform's answer to [order], or its absence. */
    public fun onOrderAnswer(nowMillis: Long, order: MachineOrder, verdict: Verdict<MachineAnswer>) {
        val answer = (verdict as? Verdict.Ran)?.value
        log("machine order answered", arrayOf("order" to order, "answer" to (answer ?: "none")))
        // The list may have shown the end of the order before this answer, and another order may now be open.
        val openOrder = registry.openOrders[order.machine]?.takeIf { it.order == order } ?: return
        when {
            answer == MachineAnswer.DONE -> onCarriedOut(nowMillis, openOrder)

            verdict is Verdict.MayHaveRun || answer == MachineAnswer.RATE_LIMITED -> {
                if (verdict is Verdict.MayHaveRun) openOrder.mayHaveRun = true
                retryLater(openOrder, nowMillis + RETRY_MILLIS)
            }

            // A machine is busy while an attempt that was not answered is being carried out.
            answer == MachineAnswer.BUSY || verdict is Verdict.NotRun -> withdraw(nowMillis, openOrder)

            else -> onRefused(nowMillis, order)
        }
    }

    /** Gives up an order, unless it may have been carried out: then only its repetition or the list tells. */
    private fun withdraw(nowMillis: Long, openOrder: OpenMachineOrder) {
        if (openOrder.mayHaveRun) {
            retryLater(openOrder, nowMillis + REFUSED_RETRY_MILLIS)
        } else {
            onRefused(nowMillis, openOrder.order)
        }
    }

    private fun retryLater(openOrder: OpenMachineOrder, atMillis: Long) {
        openOrder.stage = MachineOrderStage.RETRY
        openOrder.retryMillis = atMillis
    }

    private fun onCarriedOut(nowMillis: Long, openOrder: OpenMachineOrder) {
        openOrder.stage = MachineOrderStage.CARRIED_OUT
        openOrder.carriedOutMillis = nowMillis
        val order = openOrder.order
        // An earlier order that was not answered may have done it already, so that the executor has started since.
        if (openOrder.endsExecutor && incarnationOf(order) == openOrder.incarnation) {
            order.executor?.let { onExecutorEnded(nowMillis, it) }
        }
        if (order is MachineOrder.Upkeep) {
            val progress = waves[order.wave] ?: return
            progress.done += order.machine
            progress.cordonedMillis -= order.machine
            queueReport(progress)
        }
    }

    private fun onExecutorEnded(nowMillis: Long, id: InstanceId) {
        val evidence = RunEndEvidence.IncarnationEnded(IncarnationEndSource.ORDER, nowMillis)
        scheduler.onExecutorGone(nowMillis, id, planned = true, evidence)
    }

    /** Closes a refused order. A refused upkeep is ordered again later, since its machine has not been taken down. */
    private fun onRefused(nowMillis: Long, order: MachineOrder) {
        registry.openOrders -= order.machine
        if (order is MachineOrder.Upkeep) {
            val progress = waves[order.wave] ?: return
            progress.cordonedMillis -= order.machine
            progress.notBeforeMillis[order.machine] = nowMillis + REFUSED_RETRY_MILLIS
        }
        uncordon(nowMillis, order)
    }

    /**
     * Allows new runs again on the executors that [order] was to end or may have ended. Their tasks count as at work
     * once they report them again.
     */
    private fun uncordon(nowMillis: Long, order: MachineOrder) {
        executorsOn(order).forEach { executor ->
            executor.cordoned = false
            executor.terminating = false
            executor.requirePresenceSince(nowMillis)
        }
    }

    /** The executor that [order] was to end, and the one that the list shows on its machine now. */
    private fun executorsOn(order: MachineOrder): List<ExecutorState> =
        setOfNotNull(order.executor, registry.machine(order.machine)?.executor).mapNotNull { scheduler.executors[it] }

    private fun completeWaves(nowMillis: Long) {
        val completed = waves.values.filter { progress ->
            progress.remainingMachines { !registry.hasLeft(nowMillis, it) }.isEmpty()
        }
        completed.forEach { progress ->
            log("wave completed", arrayOf("wave" to progress.wave.number, "machines" to progress.done.size))
            waves -= progress.wave.number
            heldOrders.forgetWave(progress.wave.number)
            pendingReports[progress.wave.number] = WaveReport(progress.wave.number, progress.done.toSet(), true)
        }
    }

    private fun queueReport(progress: UpkeepWaveProgress) {
        pendingReports[progress.wave.number] = WaveReport(progress.wave.number, progress.done.toSet(), false)
    }

    /** Removes and returns the pending reports. Each replaces all earlier reports of its wave. */
    public fun takeReports(): List<WaveReport> {
        val taken = pendingReports.values.toList()
        pendingReports.clear()
        return taken
    }

    /** Queues [report] again after it could not be stored or published, unless there is a newer one of its wave. */
    public fun requeueReport(report: WaveReport) {
        pendingReports.putIfAbsent(report.number, report)
    }

    private companion object {
        /** Time between two readings of the list while orders are open. An order takes about two seconds. */
        const val OPEN_ORDERS_LIST_INTERVAL_MILLIS = 300L

        /** Time between two readings of the list while there is a wave, or an executor that does not answer. */
        const val ACTIVE_LIST_INTERVAL_MILLIS = 700L

        /** Time between two readings of the list while no decision depends on it. */
        const val IDLE_LIST_INTERVAL_MILLIS = 2_000L

        /** Delay before an order is sent again that was not answered or met a rate limit. */
        const val RETRY_MILLIS = 300L

        /** Time for which a machine whose order is held back lets others go first. */
        const val GIVE_WAY_MILLIS = 2_000L

        /** Delay before a refused upkeep is ordered again. */
        const val REFUSED_RETRY_MILLIS = 1_000L

        /** At most one in this many machines of a pool may be away at once. */
        const val POOL_AWAY_DIVISOR = 3
    }
}
