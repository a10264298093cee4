// Starts of tasks: which waiting tasks of a pool get room, and what the executors' answers to the starts mean.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.port.StartOrder
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.batch.state.Task
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict

/** What became of a start. */
internal enum class StartResult { STARTED, NOT_STARTED, MAY_START_LATE, EXECUTOR_GONE, OPEN }

/** Starts tasks on executors of [book]. */
internal class TaskStarter(
    private val epoch: Epoch,
    private val advice: AdviceKeeper,
    private val book: ExecutorBook,
    private val log: DecisionLog,
    private val order: StepOrder,
) {
    /** Lease that starts give from now on. */
    var leaseMillis = 0L

    /** Gives room of [pool] to the waiting tasks of [steps], on executors that were known at [knownMillis]. */
    fun placePool(nowMillis: Long, knownMillis: Long, pool: PoolId, steps: List<OpenStep>) {
        val candidates = book.executors.values.filter {
            it.record.pool == pool && it.usable(nowMillis) && it.fullUntilMillis <= nowMillis &&
                it.knownSinceMillis <= knownMillis
        }
        if (candidates.isEmpty()) return
        val unfit = ArrayList<ResourceAmounts>()
        val poolRoom = PoolRoom(candidates.sumOf { it.record.capacity.cpuMillis })
        order(nowMillis, steps, poolRoom).forEach { open ->
            val room = open.step.room
            if (open.queue.advice != null) {
                // That few executors are allowed says nothing about the room for others.
                placeStep(nowMillis, open.step, advice.allowed(nowMillis, open, candidates), ArrayList())
            } else if (unfit.none { it.fitsInto(room) }) {
                placeStep(nowMillis, open.step, candidates, unfit)
            }
        }
    }

    private fun placeStep(
        nowMillis: Long,
        step: StepState,
        candidates: List<ExecutorState>,
        unfit: MutableList<ResourceAmounts>,
    ) {
        val waiting = step.tasks.filter { it.waits(nowMillis) }
        if (step.step.gang) {
            placeGang(nowMillis, step, waiting, candidates)
            return
        }
        for (task in waiting) {
            val executor = chooseFor(task, candidates)
            if (executor != null) {
                start(nowMillis, task, executor, nextAttempt(task))
            } else if (task.runs.isEmpty()) {
                // The others of the step are as large. A copy that finds no other executor says nothing about them.
                if (candidates.none { step.room.fitsInto(it.free) }) unfit += step.room
                return
            }
        }
    }

    /** Not where a run of the task is in doubt, and where it has failed only if nothing else has room. */
    private fun chooseFor(task: Task, candidates: List<ExecutorState>): ExecutorState? {
        if (task.runs.isEmpty() && task.failedOn.isEmpty()) return chooseExecutor(task.step, candidates)
        val others = candidates.filter { candidate -> task.runs.none { it.executor === candidate } }
        return chooseExecutor(task.step, others.filter { it.record.id !in task.failedOn })
            ?: chooseExecutor(task.step, others).takeIf { task.runs.isEmpty() }
    }

    /** Starts all members of a gang or none. */
    private fun placeGang(nowMillis: Long, step: StepState, waiting: List<Task>, candidates: List<ExecutorState>) {
        if (waiting.size != step.tasks.size) return
        val groups = if (step.step.sameRack) candidates.groupBy { it.record.rack }.values else listOf(candidates)
        val plan = groups.firstNotNullOfOrNull { gangPlan(step, it) } ?: gangPlan(step, candidates) ?: return
        val attempt = waiting.maxOf { nextAttempt(it) }
        waiting.forEachIndexed { index, task -> start(nowMillis, task, plan[index], attempt) }
    }

    private fun gangPlan(step: StepState, candidates: List<ExecutorState>): List<ExecutorState>? {
        val free = HashMap<ExecutorState, ResourceAmounts>()
        val counts = HashMap<ExecutorState, Int>()
        val limit = step.step.maxPerExecutor
        return step.tasks.map {
            val allowed = candidates.filter { limit == 0 || (counts[it] ?: 0) + step.runsOn(it) < limit }
            val executor = chooseExecutor(step, allowed) { free[it] ?: it.free } ?: return null
            free[executor] = (free[executor] ?: executor.free) - step.room
            counts.merge(executor, 1, Int::plus)
            executor
        }
    }

    private fun nextAttempt(task: Task): Long = maxOf(task.attempt + 1, task.firstAttempt)

    /** Starts [task] on [executor]. */
    fun start(nowMillis: Long, task: Task, executor: ExecutorState, attempt: Long) {
        val run = Run(RunId(task.name, attempt), task, executor, nowMillis)
        task.attempt = attempt
        task.runs += run
        executor.add(run)
        send(nowMillis, run)
        log(
            "task started",
            arrayOf(
                "task" to task.name,
                "attempt" to attempt,
                "executor" to executor.record.id,
                "free_cpu" to executor.free.cpuMillis,
                "waited_ms" to nowMillis - maxOf(task.idleSinceMillis, task.step.job.acceptedMillis),
            ),
        )
    }

    private fun send(nowMillis: Long, run: Run) {
        val executor = run.executor
        val leaseEnd = executor.leaseEnd(nowMillis, leaseMillis) ?: return
        executor.leaseSent(leaseEnd)
        val spec = run.task.step.job.job.spec
        val ticket = run.task.step.advice?.ticket(nowMillis, executor.record.id)
        val order = StartOrder(run.id, spec, leaseEnd, epoch, run.task.checkpoint, ticket)
        book.order(Order.Start(executor.target, run, order))
    }

    /** Takes the answer to a start in. */
    fun answered(nowMillis: Long, run: Run, verdict: Verdict<OrderAnswer>): StartResult = when (verdict) {
        is Verdict.Ran -> when (val answer = verdict.value) {
            is OrderAnswer.Done -> confirmed(run, answer)
            is OrderAnswer.Refused -> refused(nowMillis, run, answer)
        }

        is Verdict.NotRun -> {
            book.failed(nowMillis, run.executor, "start")
            if (run.unansweredStarts == 0) {
                StartResult.NOT_STARTED
            } else {
                retryLater(nowMillis, run)
                StartResult.OPEN
            }
        }

        is Verdict.MayHaveRun -> unanswered(nowMillis, run)
    }

    private fun confirmed(run: Run, answer: OrderAnswer.Done): StartResult {
        run.confirmedClockMillis = answer.clockMillis ?: Long.MIN_VALUE
        answer.clockMillis?.let(run::begun)
        if (run.phase == RunPhase.STARTING) run.phase = RunPhase.RUNNING
        return StartResult.STARTED
    }

    private fun refused(nowMillis: Long, run: Run, answer: OrderAnswer.Refused): StartResult {
        val executor = run.executor
        log(
            "start refused",
            arrayOf("task" to run.id.task, "executor" to executor.record.id, "reason" to answer.reason),
        )
        book.refused(nowMillis, executor, answer.reason)
        answer.clockMillis?.let { executor.noteClock(nowMillis, it) }
        when (answer.reason) {
            RefusalReason.OTHER_INSTANCE -> return StartResult.EXECUTOR_GONE
            RefusalReason.NO_ROOM -> executor.fullUntilMillis = nowMillis + SchedulerSettings.FULL_MILLIS
            RefusalReason.INVALID -> run.task.notBeforeMillis = nowMillis + SchedulerSettings.UNHEALTHY_MILLIS
            RefusalReason.TICKET -> advice.ticketRefused(run.task.step, executor.record.id)
            RefusalReason.SUPERSEDED -> return superseded(run, answer)
            else -> Unit
        }
        return if (run.unansweredStarts == 0) StartResult.NOT_STARTED else StartResult.MAY_START_LATE
    }

    /** The run has been there. A report made after the refusal lists its end, or it was never begun. */
    private fun superseded(run: Run, answer: OrderAnswer.Refused): StartResult {
        run.confirmedClockMillis = answer.clockMillis ?: return StartResult.MAY_START_LATE
        if (run.phase == RunPhase.STARTING) run.phase = RunPhase.RUNNING
        return StartResult.OPEN
    }

    private fun unanswered(nowMillis: Long, run: Run): StartResult {
        run.unansweredStarts++
        log(
            "start unanswered",
            arrayOf("task" to run.id.task, "executor" to run.executor.record.id, "tries" to run.unansweredStarts),
        )
        if (run.unansweredStarts >= SchedulerSettings.START_TRIES) book.failed(nowMillis, run.executor, "start")
        retryLater(nowMillis, run)
        return StartResult.OPEN
    }

    private fun retryLater(nowMillis: Long, run: Run) {
        if (run.phase == RunPhase.STARTING) book.retryAt(run, nowMillis + SchedulerSettings.RETRY_MILLIS)
    }

    /**
     * Asks again for [run], which changes nothing if it is there. Returns whether it was tried too often and is to be
     * stopped, since it may be there or not.
     */
    fun askAgain(nowMillis: Long, run: Run): Boolean {
        if (run.unansweredStarts >= SchedulerSettings.START_TRIES) return true
        send(nowMillis, run)
        return false
    }
}
