// Calls the workers: starts tasks whose assignment is committed, renews leases, reads reports, stops cancelled tasks,
// and ends attempts whose lease has lapsed.

package org.gypsumturn.jobs

import org.gypsumturn.model.Verdict
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.placement.JobEvent
import org.gypsumturn.placement.RunningAction
import org.gypsumturn.placement.hasActiveAttempt
import org.gypsumturn.ports.StartOutcome
import org.gypsumturn.ports.TaskAction
import org.gypsumturn.ports.TaskReport
import org.gypsumturn.ports.TaskStart
import org.gypsumturn.ports.TaskState
import org.gypsumturn.ports.WorkerTasks

/** Runs independent calls, possibly on several threads, and returns once all have ended. */
public typealias ParallelCalls = (List<() -> Unit>) -> Unit

/** Supervises the tasks of the owned pools. */
internal class TaskSupervisor(
    private val workers: WorkerTasks,
    private val state: OwnerState,
    private val parallelCalls: ParallelCalls,
) {
    private val settings = state.settings
    private val startQueue = ArrayDeque<OpenJob>()
    private val workerExchange = WorkerExchange(workers, settings)
    private val endRecorder = EndRecorder(state)

    /** Queues [job], whose assignment is committed, for its start in this round. */
    fun enqueueStart(job: OpenJob) {
        startQueue += job
    }

    /** Starts the queued jobs on their workers. */
    fun startQueued(nowMillis: Long) {
        val jobs = startQueue.filter { state.isCurrent(it) && it.record.state.hasActiveAttempt }
        startQueue.clear()
        val answers = callAll(jobs, parallelCalls, ::start)
        jobs.zip(answers).forEach { (job, answer) -> onStartAnswered(job, answer, nowMillis) }
    }

    /**
     * Renews the leases that are due and handles the reports. Only a few workers that did not answer the last call are
     * called, after the others, and the calls to the others end early if most of a group do not answer. This bounds the
     * time for which unresponsive workers delay a round.
     */
    fun renewDue(nowMillis: Long) {
        state.trackedWorkers.values.removeIf { it.isIdle }
        val due =
            state.trackedWorkers.values.filter {
                it.nextRenewalMillis <= nowMillis || it.pool.scheduler.hasActions(it.id)
            }
        val (unresponsive, others) = due.sortedBy { it.nextRenewalMillis }.partition { it.isUnresponsive }
        for (group in others.chunked(settings.maxWorkersPerCall)) {
            if (exchangeWith(group, nowMillis) * 2 > group.size) break
        }
        exchangeWith(unresponsive.take(settings.maxUnresponsiveWorkersPerStep), nowMillis)
        state.trackedWorkers.values.forEach { endLapsedAttempts(it, nowMillis) }
    }

    /** Calls [trackedWorkers] and returns how many did not answer. */
    private fun exchangeWith(trackedWorkers: List<TrackedWorker>, nowMillis: Long): Int {
        val plans = trackedWorkers.map { planExchange(it, nowMillis) }
        val answers = callAll(plans, parallelCalls, workerExchange::run)
        plans.zip(answers).forEach { (plan, answer) -> onExchangeAnswered(plan, answer, nowMillis) }
        return answers.count { it.report !is Verdict.Ran }
    }

    private fun planExchange(trackedWorker: TrackedWorker, nowMillis: Long): ExchangePlan {
        val isSilent = nowMillis - trackedWorker.lastAnswerMillis >= settings.leaseMillis
        val running = trackedWorker.tasks.values.filter { !it.isEnding }
        val schedulerActions = trackedWorker.pool.scheduler.takeActions(trackedWorker.id)
        val stops = running.filter { it.record.cancelRequested }.mapNotNull { it.task }
        val actions =
            stops.map { TaskActionRequest(it, TaskAction.STOP) } +
                schedulerActions.mapNotNull { (id, action) ->
                    trackedWorker.tasks[id]?.task?.let { TaskActionRequest(it, action.toTaskAction()) }
                }
        val renewals = if (isSilent) emptyList() else running.mapNotNull { it.task }
        return ExchangePlan(trackedWorker, renewals, actions, schedulerActions, trackedWorker.tasksToForget.toList())
    }

    private fun start(job: OpenJob): Verdict<StartOutcome> {
        val key = checkNotNull(job.task) { "cannot start job ${job.record.spec.id}: it is not assigned to a worker" }
        val worker = checkNotNull(job.record.worker) { "cannot start job ${job.record.spec.id}: it has no worker" }
        val limit = job.pool.scheduler.limitOf(key.job) ?: job.record.spec.declared
        val task = TaskStart(key, limit, settings.leaseMillis, job.record.spec.payload, job.record.checkpoint)
        return workers.start(worker, task, settings.workerTimeoutMillis)
    }

    private fun onStartAnswered(job: OpenJob, answer: Verdict<StartOutcome>, nowMillis: Long) {
        state.trackTask(job, nowMillis)
        job.leaseUntilMillis = nowMillis + settings.leaseMillis + settings.leaseMarginMillis
        val refused = answer is Verdict.NotRun || (answer as? Verdict.Ran)?.value == StartOutcome.REFUSED
        job.startStatus = if (answer is Verdict.Ran) StartStatus.CONFIRMED else StartStatus.UNKNOWN
        if (refused || answer is Verdict.MayHaveRun) {
            job.record.worker?.let { job.pool.scheduler.suspendWorker(it, nowMillis) }
        }
        if (refused) endRecorder.recordEnd(job, JobEvent.NotStarted, nowMillis)
    }

    private fun extendLease(job: OpenJob, nowMillis: Long) {
        if (!job.isEnding) job.leaseUntilMillis = nowMillis + settings.leaseMillis + settings.leaseMarginMillis
    }

    private fun onExchangeAnswered(plan: ExchangePlan, answer: ExchangeAnswer, nowMillis: Long) {
        val trackedWorker = plan.trackedWorker
        val isBusy =
            trackedWorker.pool.scheduler.waitingCount > 0 ||
                trackedWorker.tasks.values.any { it.record.cancelRequested }
        trackedWorker.nextRenewalMillis =
            nowMillis + if (isBusy) settings.renewEveryWhileBusyMillis else settings.renewEveryMillis
        trackedWorker.tasksToForget -= answer.forgottenTasks.toSet()
        val report = answer.report.valueOrNull()
        trackedWorker.isUnresponsive = report == null
        if (report == null) return onExchangeUnanswered(plan, answer, nowMillis)
        trackedWorker.lastAnswerMillis = nowMillis
        val reported = report.tasks.associateBy { it.key }
        for (job in trackedWorker.tasks.values.toList()) {
            val task = job.task ?: continue
            if (job.isEnding || job.record.worker != trackedWorker.id) continue
            val found = reported[task]
            if (found != null) onTaskReport(job, found, nowMillis) else onTaskMissing(job, nowMillis)
        }
        reported.values.filter { isObsolete(trackedWorker, it) }.forEach { trackedWorker.tasksToForget += it.key }
    }

    /** Handles a missing answer. A renewal that may have arrived extends the leases. */
    private fun onExchangeUnanswered(plan: ExchangePlan, answer: ExchangeAnswer, nowMillis: Long) {
        val scheduler = plan.trackedWorker.pool.scheduler
        scheduler.returnActions(plan.trackedWorker.id, plan.schedulerActions)
        scheduler.suspendWorker(plan.trackedWorker.id, nowMillis)
        if (answer.report is Verdict.MayHaveRun) {
            plan.renewals.forEach { key -> plan.trackedWorker.tasks[key.job]?.let { extendLease(it, nowMillis) } }
        }
    }

    /**
     * Handles a task that its worker does not report. If the start was confirmed, the worker has lost the task.
     * Otherwise the start may still arrive, so the attempt ends only when its lease lapses.
     */
    private fun onTaskMissing(job: OpenJob, nowMillis: Long) {
        if (job.startStatus == StartStatus.CONFIRMED) endRecorder.recordEnd(job, JobEvent.Lapsed, nowMillis)
    }

    private fun onTaskReport(job: OpenJob, report: TaskReport, nowMillis: Long) {
        job.startStatus = StartStatus.CONFIRMED
        extendLease(job, nowMillis)
        job.observedUsage = report.usage
        job.pool.scheduler.recordUsage(job.record.spec.id, report.usage)
        when (report.state) {
            TaskState.RUNNING -> recordRunning(job, nowMillis)
            TaskState.CHECKPOINTED -> endRecorder.recordEnd(job, JobEvent.Checkpointed(report.output), nowMillis)
            TaskState.FINISHED -> endRecorder.recordFinished(job, report, nowMillis)
            TaskState.FAILED -> endRecorder.recordFailed(job, report, nowMillis)
            TaskState.STOPPED -> endRecorder.recordEnd(job, JobEvent.Stopped, nowMillis)
            TaskState.LEASE_LAPSED -> endRecorder.recordEnd(job, JobEvent.Lapsed, nowMillis)
        }
    }

    /** Records that a job runs, but only after a while, which saves the write for short jobs. */
    private fun recordRunning(job: OpenJob, nowMillis: Long) {
        val age = nowMillis - job.record.assignedAtMillis
        if (age >= settings.recordRunningAfterMillis) state.recordEvent(job, JobEvent.Started, nowMillis)
    }

    /** Whether the report is about an ended attempt, of this or an earlier epoch, that no open job needs any more. */
    private fun isObsolete(trackedWorker: TrackedWorker, report: TaskReport): Boolean {
        val pool = trackedWorker.pool
        if (!pool.isLoaded || report.key.epoch > pool.epoch || report.state == TaskState.RUNNING) return false
        val job = pool.jobs[report.key.job] ?: return true
        return report.key.attempt < job.record.attempt
    }

    private fun endLapsedAttempts(trackedWorker: TrackedWorker, nowMillis: Long) {
        trackedWorker.tasks.values
            .filter { !it.isEnding && it.record.state.hasActiveAttempt && it.leaseUntilMillis <= nowMillis }
            .forEach { endRecorder.recordEnd(it, JobEvent.Lapsed, nowMillis) }
    }
}

/** Records the ends of attempts. With too many unwritten jobs it ignores an end, which the worker reports again. */
internal class EndRecorder(private val state: OwnerState) {
    fun recordEnd(job: OpenJob, event: JobEvent, nowMillis: Long) {
        if (state.dirtyCount >= state.settings.maxPendingEnds) return
        state.recordEvent(job, event, nowMillis)
        if (job.isEnding) job.pool.scheduler.release(job.record.spec.id, nowMillis)
    }

    fun recordFinished(job: OpenJob, report: TaskReport, nowMillis: Long) {
        if (state.dirtyCount >= state.settings.maxPendingEnds) return
        job.record.worker?.let {
            job.pool.scheduler.recordSuccess(job.record.spec, it, report.usage, report.ranMillis, nowMillis)
        }
        recordEnd(job, JobEvent.Finished(report.output), nowMillis)
    }

    fun recordFailed(job: OpenJob, report: TaskReport, nowMillis: Long) {
        if (state.dirtyCount >= state.settings.maxPendingEnds) return
        val worker = job.record.worker ?: return
        state.recordEvent(job, JobEvent.Failed(report.output), nowMillis)
        val reason = job.pool.scheduler.recordFailure(job.pendingRecord, worker, report.output, nowMillis)
        if (reason != null) state.recordEvent(job, JobEvent.Quarantined(reason), nowMillis)
        job.pool.scheduler.release(job.record.spec.id, nowMillis)
    }
}

/** Whether the attempt has ended but the row in the table does not say so yet. */
internal val OpenJob.isEnding: Boolean get() = !pendingRecord.state.hasActiveAttempt ||
    pendingRecord.attempt != record.attempt

private fun RunningAction.toTaskAction(): TaskAction = when (this) {
    RunningAction.THROTTLE -> TaskAction.THROTTLE
    RunningAction.UNTHROTTLE -> TaskAction.UNTHROTTLE
    RunningAction.CHECKPOINT -> TaskAction.CHECKPOINT
    RunningAction.STOP -> TaskAction.STOP
}
