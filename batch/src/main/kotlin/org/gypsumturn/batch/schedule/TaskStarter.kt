// Starts tasks: decides which waiting tasks of a pool get capacity on which executor, and interprets the answers of
// executors to start orders.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.port.StartOrder
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.batch.state.Task
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.WorkspaceId

/**
 * What the answer to a start order means for the run. With `MAY_START_LATE` an earlier order may still be carried out;
 * with `OPEN` the outcome is not known yet.
 */
internal enum class StartResult { STARTED, NOT_STARTED, MAY_START_LATE, EXECUTOR_GONE, OPEN }

/**
 * Starts tasks on the executors of [registry]. [recordChange] marks the progress of a job as changed and returns the
 * number of the change.
 */
internal class TaskStarter(
    private val epoch: Epoch,
    private val adviceCache: PlacementAdviceCache,
    private val registry: ExecutorRegistry,
    private val crashAttribution: CrashAttribution,
    private val recordChange: (JobState) -> Long,
    private val log: DecisionLog,
    private val stepOrder: StepOrder,
    private val ledger: WorkspaceLedger,
    private val maxProgressBytes: Int,
) {
    /** Length of the lease that start orders give from now on. */
    var leaseMillis = 0L

    /** Age of the knowledge of jobs with which starts are decided. */
    var jobsAgeMillis = 0L

    /** Runs of suspected tasks whose starts are sent once the suspicion is stored. */
    private val heldStarts = ArrayList<Run>()

    /** Starts waiting tasks of [steps] on the executors of [pool] that were known at [knownMillis]. */
    fun placePool(nowMillis: Long, knownMillis: Long, pool: PoolId, steps: List<WaitingStep>) {
        val known = registry.executors.values.filter {
            it.record.pool == pool && it.fullUntilMillis <= nowMillis && it.knownSinceMillis <= knownMillis
        }
        val candidates = known.filter { it.canTakeNewRuns(nowMillis) }
        placeSteps(nowMillis, steps, candidates)
        restartOnCordoned(nowMillis, steps, known)
    }

    private fun placeSteps(nowMillis: Long, steps: List<WaitingStep>, candidates: List<ExecutorState>) {
        if (candidates.isEmpty()) return
        val unplaceableSizes = ArrayList<ResourceAmounts>()
        val poolCapacity = poolCapacityOf(nowMillis, candidates)
        stepOrder(nowMillis, steps, poolCapacity).forEach { open ->
            val reservedSize = open.step.reservedSize
            if (open.queue.advice != null) {
                // The step may be allowed on few executors only, so a lack of capacity there says nothing about others.
                placeStep(nowMillis, open, adviceCache.allowedExecutors(nowMillis, open, candidates), ArrayList())
            } else if (unplaceableSizes.none { it.fitsInto(reservedSize) }) {
                placeStep(nowMillis, open, candidates, unplaceableSizes)
            }
        }
    }

    private fun poolCapacityOf(nowMillis: Long, candidates: List<ExecutorState>): PoolCapacity {
        val total = candidates.fold(ResourceAmounts.NONE) { sum, executor -> sum + executor.record.capacity }
        val capacity = PoolCapacity(total)
        return PoolCapacity(total) {
            val sums = HashMap<WorkspaceId?, Double>()
            candidates.flatMap { it.runs.values }.forEach { run ->
                val millis = capacity.partOf(run.reservedSize) * remainingMillis(nowMillis, run)
                sums.merge(run.task.step.job.job.workspace, millis, Double::plus)
            }
            sums
        }
    }

    /** Time that [run] still takes by the estimate of its step; 0 for a long-running one. */
    private fun remainingMillis(nowMillis: Long, run: Run): Long {
        val step = run.task.step.step
        return if (step.longRunning) 0 else maxOf(0, step.estimateMillis - (nowMillis - run.startedMillis))
    }

    /**
     * Starts long-running tasks that have found no room for some time on cordoned executors. The upkeep or move that
     * these are cordoned for may have to wait for just these tasks, so that neither would go on.
     */
    private fun restartOnCordoned(nowMillis: Long, steps: List<WaitingStep>, known: List<ExecutorState>) {
        val cordoned = known.filter { it.isUsableUntilOrder(nowMillis) }
        if (cordoned.isEmpty()) return
        steps.filter { it.step.step.longRunning && !it.step.step.gang && it.queue.advice == null }.forEach { waiting ->
            waiting.step.tasks.filter { it.needsRun(nowMillis) && it.runs.isEmpty() && !it.suspected }
                .filter { nowMillis - waitingSinceMillis(it) >= CORDONED_RESTART_MILLIS }
                .forEach { task ->
                    if (!ledger.allowsStart(waiting.step)) return@forEach
                    val executor = chooseExecutor(waiting.step, cordoned) ?: return@forEach
                    startRun(nowMillis, task, executor, nextAttempt(task), storeFirst = false)
                }
        }
    }

    private fun waitingSinceMillis(task: Task) = maxOf(task.idleSinceMillis, task.step.job.acceptedMillis)

    private fun placeStep(
        nowMillis: Long,
        open: WaitingStep,
        candidates: List<ExecutorState>,
        unplaceableSizes: MutableList<ResourceAmounts>,
    ) {
        val step = open.step
        if (step.job.phase.ended) return
        val room = step.job.progressSize.roomForRuns(step.job, open.queue.maxAttempts, maxProgressBytes.toLong())
        val all = step.tasks.filter { it.needsRun(nowMillis) }
        val waiting = if (room < all.size) tasksInRoom(step, all, room) else all
        waiting.firstOrNull { it.runs.isEmpty() && crashAttribution.isExhausted(it) }?.let { exhausted ->
            crashAttribution.giveUp(nowMillis, exhausted)
            return
        }
        if (step.step.gang) {
            placeGang(nowMillis, step, waiting, candidates)
            return
        }
        for (task in waiting) {
            if (!ledger.allowsStart(step)) return
            val executor = chooseExecutorFor(task, candidates)
            if (executor != null) {
                startRun(nowMillis, task, executor, nextAttempt(task), task.suspected)
            } else if (task.runs.isEmpty()) {
                // The other tasks of the step are as large, so they do not fit either. A copy that cannot be placed
                // proves nothing, since it must not run on the executor of its original.
                if (candidates.none { step.reservedSize.fitsInto(it.free) }) unplaceableSizes += step.reservedSize
                return
            }
        }
    }

    /**
     * The tasks among [waiting] that may be started while only [room] further attempts of the job are certain to find
     * room in its progress. Those with stored attempts come first, since these go when the task is done. Without any
     * room the task with the most attempts, or the gang, is run to its end alone, beside long-running tasks at most.
     */
    private fun tasksInRoom(step: StepState, waiting: List<Task>, room: Long): List<Task> {
        val isAlone = step.job.occurrences.values.all { occurrence ->
            occurrence.steps.all { it.runCount == 0 || it.step.longRunning }
        }
        val first = waiting.sortedByDescending { it.failedAttempts.size + it.crashes.total }
        return when {
            step.step.gang -> if (isAlone || waiting.size <= room) waiting else emptyList()
            room > 0 -> first.take(room.toInt())
            isAlone -> first.take(1)
            else -> emptyList()
        }
    }

    /**
     * Chooses an executor on which no run of [task] is left. Executors on which it has failed are used only if no other
     * has capacity, and never for a copy.
     */
    private fun chooseExecutorFor(task: Task, candidates: List<ExecutorState>): ExecutorState? {
        if (task.runs.isEmpty() && task.failedOn.isEmpty() && !task.suspected) {
            return chooseExecutor(task.step, candidates)
        }
        val others = candidates.filter { candidate -> task.runs.none { it.executor === candidate } }
        if (task.suspected) return chooseExecutorForSuspect(task, others)
        return chooseExecutor(task.step, others.filter { it.record.id !in task.failedOn })
            ?: chooseExecutor(task.step, others).takeIf { task.runs.isEmpty() }
    }

    /**
     * Chooses an executor for a task that may crash it: one with the fewest other suspected tasks, so that a further
     * crash tells them apart, and among these one with the fewest runs, which would be lost with it. A task on trial
     * waits for an executor without other suspected tasks.
     */
    private fun chooseExecutorForSuspect(task: Task, candidates: List<ExecutorState>): ExecutorState? {
        val suspects = candidates.associateWith { executor ->
            executor.runs.values.count { it.task.suspected && !it.survivedStart }
        }
        val onTrial = task.crashes.suspicion >= CrashAttribution.TRIAL_SUSPICION
        return candidates.filter { !onTrial || suspects[it] == 0 }
            .sortedWith(compareBy({ suspects[it] }, { it.runs.size }))
            .firstOrNull { chooseExecutor(task.step, listOf(it)) != null }
    }

    /** Starts all members of a gang, or none of them if they do not all fit. */
    private fun placeGang(nowMillis: Long, step: StepState, waiting: List<Task>, candidates: List<ExecutorState>) {
        if (waiting.size != step.tasks.size || !ledger.allowsStart(step, step.tasks.size)) return
        val groups = if (step.step.sameRack) candidates.groupBy { it.record.rack }.values else listOf(candidates)
        val plan = groups.firstNotNullOfOrNull { gangPlan(step, it) } ?: gangPlan(step, candidates) ?: return
        val attempt = waiting.maxOf { nextAttempt(it) }
        val anySuspected = waiting.any { it.suspected }
        waiting.forEachIndexed { index, task -> startRun(nowMillis, task, plan[index], attempt, anySuspected) }
    }

    private fun gangPlan(step: StepState, candidates: List<ExecutorState>): List<ExecutorState>? {
        val free = HashMap<ExecutorState, ResourceAmounts>()
        val counts = HashMap<ExecutorState, Int>()
        val limit = step.step.maxPerExecutor
        return step.tasks.map {
            val allowed = candidates.filter { limit == 0 || (counts[it] ?: 0) + step.runsOn(it) < limit }
            val executor = chooseExecutor(step, allowed) { free[it] ?: it.free } ?: return null
            free[executor] = (free[executor] ?: executor.free) - step.reservedSize
            counts.merge(executor, 1, Int::plus)
            executor
        }
    }

    private fun nextAttempt(task: Task): Long = maxOf(task.highestAttempt + 1, task.firstAttempt)

    /**
     * Starts [task] on [executor] as attempt number [attempt]. With [storeFirst] the attempt is stored as suspected
     * before the start is sent, so that a later holder knows of it if the executor crashes.
     */
    private fun startRun(nowMillis: Long, task: Task, executor: ExecutorState, attempt: Long, storeFirst: Boolean) {
        val run = Run(RunId(task.name, attempt), task, executor, nowMillis)
        task.highestAttempt = attempt
        task.addRun(run)
        executor.addRun(run)
        if (task.crashes.suspicion >= CrashAttribution.TRIAL_SUSPICION) executor.trial = run
        if (storeFirst) holdStart(run) else sendStart(nowMillis, run)
        log(
            "task started",
            arrayOf(
                "task" to task.name,
                "attempt" to attempt,
                "executor" to executor.record.id,
                "free_cpu" to executor.free.cpuMillis,
                "waited_ms" to nowMillis - waitingSinceMillis(task),
                "jobs_age_ms" to jobsAgeMillis,
            ),
        )
    }

    private fun holdStart(run: Run) {
        run.task.crashes.unresolved += run.id.attempt
        run.startAfterChange = recordChange(run.task.step.job)
        heldStarts += run
    }

    /**
     * Sends the held starts whose suspicion is stored. Returns the runs that can't be started any more, since their
     * executors can't be used or have no room for them.
     */
    fun releaseHeldStarts(nowMillis: Long): List<Run> {
        heldStarts.removeAll { it.executor.runs[it.id] !== it || it.phase != RunPhase.STARTING }
        val due = heldStarts.filter { it.task.step.job.storedChangeNumber >= it.startAfterChange }
        heldStarts.removeAll(due.toSet())
        val (usable, unusable) = due.partition { it.executor.isUsable(nowMillis) && it.executor.fitsAll }
        usable.forEach { sendStart(nowMillis, it) }
        return unusable
    }

    private fun sendStart(nowMillis: Long, run: Run) {
        val executor = run.executor
        val leaseEndMillis = executor.leaseEndMillis(nowMillis, leaseMillis) ?: return
        run.orderedMillis = run.orderedMillis ?: nowMillis
        run.lastOrderedMillis = nowMillis
        executor.recordLeaseEnd(leaseEndMillis)
        run.startsInFlight++
        val spec = run.task.step.job.job.spec
        val ticket = run.task.step.advice?.ticket(nowMillis, executor.record.id)
        val order = StartOrder(run.id, spec, leaseEndMillis, epoch, run.task.checkpoint, ticket)
        registry.enqueueOrder(ExecutorOrder.Start(executor.target, run, order))
    }

    /** Handles the answer to [order], or its failure. */
    fun onStartAnswered(nowMillis: Long, order: ExecutorOrder.Start, verdict: Verdict<OrderAnswer>): StartResult =
        when (verdict) {
            is Verdict.Ran -> when (val answer = verdict.value) {
                is OrderAnswer.Done -> onStartConfirmed(order.run, answer)
                is OrderAnswer.Refused -> onStartRefused(nowMillis, order, answer)
            }

            is Verdict.NotRun -> {
                registry.addFailure(nowMillis, order.run.executor, "start")
                if (!order.run.mayStartLate) {
                    StartResult.NOT_STARTED
                } else {
                    scheduleStartRetry(nowMillis, order.run)
                    StartResult.OPEN
                }
            }

            is Verdict.MayHaveRun -> onStartUnanswered(nowMillis, order.run)
        }

    private fun onStartConfirmed(run: Run, answer: OrderAnswer.Done): StartResult {
        run.confirmedAtPoll = run.executor.pollNumber
        answer.clockMillis?.let(run::recordFirstSeen)
        if (run.phase == RunPhase.STARTING) run.phase = RunPhase.RUNNING
        return StartResult.STARTED
    }

    private fun onStartRefused(nowMillis: Long, order: ExecutorOrder.Start, answer: OrderAnswer.Refused): StartResult {
        val run = order.run
        val executor = run.executor
        log(
            "start refused",
            arrayOf("task" to run.id.task, "executor" to executor.record.id, "reason" to answer.reason),
        )
        registry.onOrderRefused(nowMillis, executor, answer.reason)
        when (answer.reason) {
            RefusalReason.OTHER_INSTANCE -> if (order.target == executor.target) return StartResult.EXECUTOR_GONE

            RefusalReason.NO_ROOM -> executor.fullUntilMillis = nowMillis + SchedulerSettings.FULL_EXECUTOR_PAUSE_MILLIS

            RefusalReason.INVALID ->
                run.task.notBeforeMillis = nowMillis + SchedulerSettings.UNHEALTHY_EXECUTOR_PAUSE_MILLIS

            RefusalReason.TICKET -> adviceCache.onTicketRefused(run.task.step, executor.record.id)

            RefusalReason.SUPERSEDED -> return onRunSuperseded(run)

            else -> Unit
        }
        return if (run.mayStartLate) StartResult.MAY_START_LATE else StartResult.NOT_STARTED
    }

    /**
     * Handles a refusal that tells that the run, or a newer one of the task, has ended or was stopped there. A report
     * that is requested after the refusal lists the end of the run; if it does not, the run never began.
     */
    private fun onRunSuperseded(run: Run): StartResult {
        run.confirmedAtPoll = run.executor.pollNumber
        if (run.phase == RunPhase.STARTING) run.phase = RunPhase.RUNNING
        return StartResult.OPEN
    }

    private fun onStartUnanswered(nowMillis: Long, run: Run): StartResult {
        run.unansweredStarts++
        log(
            "start unanswered",
            arrayOf("task" to run.id.task, "executor" to run.executor.record.id, "tries" to run.unansweredStarts),
        )
        if (run.unansweredStarts >= SchedulerSettings.START_TRIES) registry.addFailure(nowMillis, run.executor, "start")
        scheduleStartRetry(nowMillis, run)
        return StartResult.OPEN
    }

    private fun scheduleStartRetry(nowMillis: Long, run: Run) {
        if (run.phase == RunPhase.STARTING) registry.scheduleRetry(run, nowMillis + SchedulerSettings.RETRY_MILLIS)
    }

    /**
     * Repeats the start order of [run], which changes nothing if the executor has the run already. Returns true without
     * sending if it was sent too often, or if the executor has no room for it any more; the run is then to be stopped,
     * since the executor may or may not have it.
     */
    fun repeatStart(nowMillis: Long, run: Run): Boolean {
        if (run.unansweredStarts >= SchedulerSettings.START_TRIES || !run.executor.fitsAll) return true
        sendStart(nowMillis, run)
        return false
    }

    private companion object {
        /** Time for which a long-running task waits for other room before it is started on a cordoned executor. */
        const val CORDONED_RESTART_MILLIS = 2_000L
    }
}
