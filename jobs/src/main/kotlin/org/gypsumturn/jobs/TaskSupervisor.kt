// Talks to the workers: starts tasks whose assignment is committed, renews leases, reads reports, stops cancelled
// tasks, and ends attempts whose lease has lapsed.

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

/** Runs independent calls and returns once all have ended; a program may run them on several threads. */
public typealias ParallelCalls = (List<() -> Unit>) -> Unit

/** Supervises the tasks of the owned pools. */
internal class TaskSupervisor(
    private val workers: WorkerTasks,
    private val state: OwnerState,
    private val inParallel: ParallelCalls,
) {
    private val settings = state.settings
    private val toStart = ArrayDeque<HeldJob>()
    private val exchanges = WorkerExchange(workers, settings)
    private val ends = EndRecorder(state)

    /** Lets the committed assignment of [job] be dispatched in this round. */
    fun enqueueStart(job: HeldJob) {
        toStart += job
    }

    /** Dispatches the committed assignments. */
    fun startAll(nowMillis: Long) {
        val jobs = toStart.filter { state.holds(it) && it.record.state.hasActiveAttempt }
        toStart.clear()
        val answers = callAll(jobs, inParallel, ::start)
        jobs.zip(answers).forEach { (job, answer) -> started(job, answer, nowMillis) }
    }

    /**
     * Renews what is due, and takes in the reports. Workers that did not answer last time come last, few at a time, and
     * the round ends early where most do not answer, so that silent workers cannot hold up the others for long.
     */
    fun renewDue(nowMillis: Long) {
        state.workers.values.removeIf { it.isIdle }
        val due =
            state.workers.values.filter {
                it.nextRenewalMillis <= nowMillis || it.pool.scheduler.hasActions(it.id)
            }
        val (suspects, others) = due.sortedBy { it.nextRenewalMillis }.partition { it.isSuspect }
        for (group in others.chunked(settings.maxWorkersPerCall)) {
            if (exchange(group, nowMillis) * 2 > group.size) break
        }
        exchange(suspects.take(settings.maxSuspectsPerStep), nowMillis)
        state.workers.values.forEach { lapse(it, nowMillis) }
    }

    /** Returns how many of [links] did not answer. */
    private fun exchange(links: List<WorkerLink>, nowMillis: Long): Int {
        val plans = links.map { plan(it, nowMillis) }
        val answers = callAll(plans, inParallel, exchanges::run)
        plans.zip(answers).forEach { (plan, answer) -> renewed(plan, answer, nowMillis) }
        return answers.count { it.report !is Verdict.Ran }
    }

    private fun plan(link: WorkerLink, nowMillis: Long): ExchangePlan {
        val isSilent = nowMillis - link.lastAnswerMillis >= settings.leaseMillis
        val running = link.tasks.values.filter { !it.isEnding }
        val scheduled = link.pool.scheduler.takeActions(link.id)
        val stops = running.filter { it.record.cancelRequested }.mapNotNull { it.task }
        val orders =
            stops.map { TaskOrder(it, TaskAction.STOP) } +
                scheduled.mapNotNull { (id, action) ->
                    link.tasks[id]?.task?.let { TaskOrder(it, action.toTaskAction()) }
                }
        val renewals = if (isSilent) emptyList() else running.mapNotNull { it.task }
        return ExchangePlan(link, renewals, orders, scheduled, link.toForget.toList())
    }

    private fun start(job: HeldJob): Verdict<StartOutcome> {
        val key = checkNotNull(job.task) { "job ${job.record.spec.id} is not assigned" }
        val worker = checkNotNull(job.record.worker) { "job ${job.record.spec.id} has no worker" }
        val limit = job.pool.scheduler.limitOf(key.job) ?: job.record.spec.declared
        val task = TaskStart(key, limit, settings.leaseMillis, job.record.spec.payload, job.record.checkpoint)
        return workers.start(worker, task, settings.workerTimeoutMillis)
    }

    private fun started(job: HeldJob, answer: Verdict<StartOutcome>, nowMillis: Long) {
        state.watch(job, nowMillis)
        job.leaseUntilMillis = nowMillis + settings.leaseMillis + settings.leaseMarginMillis
        val refused = answer is Verdict.NotRun || (answer as? Verdict.Ran)?.value == StartOutcome.REFUSED
        job.start = if (answer is Verdict.Ran) StartKnowledge.CONFIRMED else StartKnowledge.UNKNOWN
        if (refused || answer is Verdict.MayHaveRun) {
            job.record.worker?.let { job.pool.scheduler.suspendWorker(it, nowMillis) }
        }
        if (refused) ends.record(job, JobEvent.NotStarted, nowMillis)
    }

    private fun extend(job: HeldJob, nowMillis: Long) {
        if (!job.isEnding) job.leaseUntilMillis = nowMillis + settings.leaseMillis + settings.leaseMarginMillis
    }

    private fun renewed(plan: ExchangePlan, answer: ExchangeAnswer, nowMillis: Long) {
        val link = plan.link
        val isBusy = link.pool.scheduler.waitingCount > 0 || link.tasks.values.any { it.record.cancelRequested }
        link.nextRenewalMillis = nowMillis + if (isBusy) settings.busyRenewMillis else settings.renewEveryMillis
        link.toForget -= answer.forgotten.toSet()
        val report = answer.report.valueOrNull()
        link.isSuspect = report == null
        if (report == null) return unanswered(plan, answer, nowMillis)
        link.lastAnswerMillis = nowMillis
        val reported = report.tasks.associateBy { it.key }
        for (job in link.tasks.values.toList()) {
            val task = job.task ?: continue
            if (job.isEnding || job.record.worker != link.id) continue
            val found = reported[task]
            if (found != null) take(job, found, nowMillis) else missing(job, nowMillis)
        }
        reported.values.filter { isObsolete(link, it) }.forEach { link.toForget += it.key }
    }

    /** A renewal that may have arrived counts as one. */
    private fun unanswered(plan: ExchangePlan, answer: ExchangeAnswer, nowMillis: Long) {
        val scheduler = plan.link.pool.scheduler
        scheduler.returnActions(plan.link.id, plan.scheduled)
        scheduler.suspendWorker(plan.link.id, nowMillis)
        if (answer.report is Verdict.MayHaveRun) {
            plan.renewals.forEach { key -> plan.link.tasks[key.job]?.let { extend(it, nowMillis) } }
        }
    }

    /**
     * A worker that no longer knows a task which it had started has lost it. One whose start was never confirmed may
     * still be on its way, so its lease is waited for.
     */
    private fun missing(job: HeldJob, nowMillis: Long) {
        if (job.start == StartKnowledge.CONFIRMED) ends.record(job, JobEvent.Lapsed, nowMillis)
    }

    private fun take(job: HeldJob, report: TaskReport, nowMillis: Long) {
        job.start = StartKnowledge.CONFIRMED
        extend(job, nowMillis)
        job.used = report.usage
        job.pool.scheduler.recordUsage(job.record.spec.id, report.usage)
        when (report.state) {
            TaskState.RUNNING -> noteRunning(job, nowMillis)
            TaskState.CHECKPOINTED -> ends.record(job, JobEvent.Checkpointed(report.output), nowMillis)
            TaskState.FINISHED -> ends.finished(job, report, nowMillis)
            TaskState.FAILED -> ends.failed(job, report, nowMillis)
            TaskState.STOPPED -> ends.record(job, JobEvent.Stopped, nowMillis)
            TaskState.LEASE_LAPSED -> ends.record(job, JobEvent.Lapsed, nowMillis)
        }
    }

    /** Long jobs get a row that says so; short ones are spared the write. */
    private fun noteRunning(job: HeldJob, nowMillis: Long) {
        val age = nowMillis - job.record.assignedAtMillis
        if (age >= settings.recordRunningAfterMillis) state.record(job, JobEvent.Started, nowMillis)
    }

    /** Whether the report is about an attempt of this owner's or an earlier epoch that no open job still needs. */
    private fun isObsolete(link: WorkerLink, report: TaskReport): Boolean {
        val pool = link.pool
        if (!pool.isLoaded || report.key.epoch > pool.epoch || report.state == TaskState.RUNNING) return false
        val job = pool.jobs[report.key.job] ?: return true
        return report.key.attempt < job.record.attempt
    }

    private fun lapse(link: WorkerLink, nowMillis: Long) {
        link.tasks.values
            .filter { !it.isEnding && it.record.state.hasActiveAttempt && it.leaseUntilMillis <= nowMillis }
            .forEach { ends.record(it, JobEvent.Lapsed, nowMillis) }
    }
}

/** Takes in the ends of attempts, in bounded memory: what finds no room stays with its worker and is reported again. */
internal class EndRecorder(private val state: OwnerState) {
    fun record(job: HeldJob, event: JobEvent, nowMillis: Long) {
        if (state.dirtyCount >= state.settings.maxPendingEnds) return
        state.record(job, event, nowMillis)
        if (job.isEnding) job.pool.scheduler.release(job.record.spec.id, nowMillis)
    }

    fun finished(job: HeldJob, report: TaskReport, nowMillis: Long) {
        if (state.dirtyCount >= state.settings.maxPendingEnds) return
        job.record.worker?.let {
            job.pool.scheduler.recordSuccess(job.record.spec, it, report.usage, report.ranMillis, nowMillis)
        }
        record(job, JobEvent.Finished(report.output), nowMillis)
    }

    fun failed(job: HeldJob, report: TaskReport, nowMillis: Long) {
        if (state.dirtyCount >= state.settings.maxPendingEnds) return
        val worker = job.record.worker ?: return
        state.record(job, JobEvent.Failed(report.output), nowMillis)
        val reason = job.pool.scheduler.recordFailure(job.next, worker, report.output, nowMillis)
        if (reason != null) state.record(job, JobEvent.Quarantined(reason), nowMillis)
        job.pool.scheduler.release(job.record.spec.id, nowMillis)
    }
}

/** Whether the attempt has ended and the row does not say so yet. */
internal val HeldJob.isEnding: Boolean get() = !next.state.hasActiveAttempt || next.attempt != record.attempt

private fun RunningAction.toTaskAction(): TaskAction = when (this) {
    RunningAction.THROTTLE -> TaskAction.THROTTLE
    RunningAction.UNTHROTTLE -> TaskAction.UNTHROTTLE
    RunningAction.CHECKPOINT -> TaskAction.CHECKPOINT
    RunningAction.STOP -> TaskAction.STOP
}
