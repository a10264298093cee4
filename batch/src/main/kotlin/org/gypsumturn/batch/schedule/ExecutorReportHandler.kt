// Applies the reports of executors to the state of the scheduler: ended runs, progress, runs that an earlier holder of
// the control lease started, and runs that are missing from the report.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.ReportedRun
import org.gypsumturn.batch.model.ReportedRunEnd
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunEnd
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.state.EndedRun
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.PendingEnd
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunEndEvidence
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.batch.state.Task
import org.gypsumturn.batch.state.findOrAddTask

/** Applies reports to the jobs of [scheduler]. */
internal class ExecutorReportHandler(
    private val scheduler: BatchScheduler,
    private val registry: ExecutorRegistry,
    private val faultDetector: FaultyExecutorDetector,
    private val crashAttribution: CrashAttribution,
    private val unreportedEnds: UnreportedRunEnds,
    private val absences: TaskAbsences,
    private val log: DecisionLog,
) {
    /** Returns the number of failed attempts of one task with which the given job fails. */
    var maxFailures: (JobState) -> Int = { Int.MAX_VALUE }

    /** Applies the [report] that [executor] has made on poll number [pollNumber]. */
    fun handleReport(nowMillis: Long, executor: ExecutorState, pollNumber: Long, report: ExecutorReport) {
        report.ended.sortedBy { it.endNumber }.filter { it.endNumber > executor.lastHandledEndNumber }.forEach { end ->
            executor.lastHandledEndNumber = end.endNumber
            onRunEnded(nowMillis, executor, report.clockMillis, end)
        }
        unreportedEnds.resolveLapsedRuns(executor)
        val listed = HashSet<RunId>()
        val unwanted = HashMap<RunId, ResourceAmounts>(0)
        report.running.forEach { listedRun ->
            listed += listedRun.run
            val run = executor.runs[listedRun.run] ?: adoptRun(nowMillis, executor, listedRun)
            if (run == null) {
                unwanted[listedRun.run] = sizeOf(listedRun.run)
            } else {
                onRunListed(run, pollNumber, report.clockMillis, listedRun)
                absences.onRunListed(nowMillis, run)
            }
        }
        executor.setUnwantedRuns(unwanted)
        if (report.endsComplete) unreportedEnds.removeVanishedRuns(nowMillis, executor, pollNumber, listed)
    }

    private fun onRunEnded(nowMillis: Long, executor: ExecutorState, clockMillis: Long, end: ReportedRunEnd) {
        val job = scheduler.job(end.run.task.job)
        val run = executor.runs[end.run]
        if (run != null) unreportedEnds.detachRun(nowMillis, EndedRun(run, RunEndEvidence.Reported))
        val task = run?.task ?: job?.takeUnless { it.phase.ended }?.findOrAddTask(end.run.task, nowMillis)
        if (job == null || task == null || job.phase.ended) {
            executor.pendingEnds[end.endNumber] =
                PendingEnd(job?.takeIf { it.phase.ended }, job?.latestChangeNumber ?: 0)
            return
        }
        logEnd(executor, end)
        crashAttribution.resolve(task, end.run.attempt)
        task.highestAttempt = maxOf(task.highestAttempt, end.run.attempt)
        if (end.checkpoint.isNotEmpty()) task.checkpoint = end.checkpoint
        task.idleSinceMillis = nowMillis
        when (end.end) {
            RunEnd.DONE -> {
                faultDetector.onRunSucceeded(nowMillis, clockMillis, executor, run)
                run?.let { recordDuration(clockMillis, it) }
                markTaskDone(nowMillis, task)
            }

            RunEnd.FAILED -> {
                faultDetector.onRunFailed(nowMillis, executor, job.job.id)
                task.failedOn += executor.record.id
                recordFailure(nowMillis, task, end.run.attempt)
            }

            else -> Unit
        }
        executor.pendingEnds[end.endNumber] = PendingEnd(job, job.latestChangeNumber)
    }

    private fun recordDuration(clockMillis: Long, run: Run) {
        val begunMillis = run.firstSeenClockMillis ?: return
        run.task.step.succeededRuns++
        run.task.step.succeededRunsTotalMillis += clockMillis - begunMillis
    }

    private fun logEnd(executor: ExecutorState, end: ReportedRunEnd) {
        val run = end.run
        log(
            "task ended",
            arrayOf("task" to run.task, "attempt" to run.attempt, "executor" to executor.record.id, "end" to end.end),
        )
    }

    private fun markTaskDone(nowMillis: Long, task: Task) {
        if (task.done) return
        val step = task.step
        val members = if (step.step.gang) step.tasks else listOf(task)
        members.forEach { it.markDone() }
        val job = step.job
        if (job.phase == JobPhase.QUEUED) job.phase = JobPhase.RUNNING
        scheduler.markChanged(job)
        scheduler.markPoolStale(job)
        task.runs.toList().forEach { scheduler.stopRun(it, "another copy has ended") }
        val occurrence = job.occurrences.getValue(step.occurrence)
        if (!occurrence.complete) return
        job.completedOccurrences += occurrence.number
        if (job.completedOccurrences.size == job.job.occurrences) {
            scheduler.endJob(nowMillis, job, JobPhase.COMPLETED)
        } else {
            job.removeOccurrence(occurrence.number)
        }
    }

    private fun recordFailure(nowMillis: Long, task: Task, attempt: Long) {
        if (task.done || task.step.step.longRunning) return
        val job = task.step.job
        task.failedAttempts += attempt
        scheduler.markChanged(job)
        if (task.failedAttempts.size >= maxFailures(job)) {
            val failures = task.failedAttempts.size
            log("job hopeless", arrayOf("job" to job.job.id, "task" to task.name, "failures" to failures))
            scheduler.giveUpJob(nowMillis, job)
        }
    }

    /** The size of [run]; nothing if its job is not known any more. */
    private fun sizeOf(run: RunId): ResourceAmounts =
        scheduler.job(run.task.job)?.job?.steps?.getOrNull(run.task.step)?.reservedSize ?: ResourceAmounts.NONE

    private fun onRunListed(run: Run, pollNumber: Long, clockMillis: Long, listedRun: ReportedRun) {
        run.confirmedAtPoll = run.confirmedAtPoll ?: pollNumber
        if (run.mayHaveEndedInCrash) crashAttribution.resolve(run.task, run.id.attempt)
        if (run.phase == RunPhase.STARTING) run.phase = RunPhase.RUNNING
        run.recordReport(run.executor.pollSentMillis, clockMillis, listedRun.percent)
        if (run.survivedStart) crashAttribution.onStartSurvived(run)
        run.load = listedRun.load
        if (listedRun.checkpoint.isNotEmpty()) run.task.checkpoint = listedRun.checkpoint
    }

    /** Takes over a run that an earlier holder started. Orders its stop and returns null if it must not continue. */
    private fun adoptRun(nowMillis: Long, executor: ExecutorState, listedRun: ReportedRun): Run? {
        val job = scheduler.job(listedRun.run.task.job)
        val task = job?.takeIf { !it.phase.ended }?.findOrAddTask(listedRun.run.task, nowMillis)
        if (task == null || !canAdoptFor(task)) {
            log("run not wanted", arrayOf("task" to listedRun.run.task, "executor" to executor.record.id))
            registry.enqueueOrder(ExecutorOrder.Stop(executor.target, listedRun.run, executor.incarnation))
            return null
        }
        log("run adopted", arrayOf("task" to listedRun.run.task, "executor" to executor.record.id))
        val run = Run(listedRun.run, task, executor, nowMillis)
        run.phase = RunPhase.RUNNING
        run.orderedMillis = nowMillis
        task.highestAttempt = maxOf(task.highestAttempt, listedRun.run.attempt)
        task.addRun(run)
        executor.addRun(run)
        absences.onRunAdopted(task)
        if (job.phase == JobPhase.QUEUED) job.phase = JobPhase.RUNNING
        if (job.visiblePhase == JobPhase.QUEUED) job.visiblePhase = JobPhase.RUNNING
        return run
    }

    private fun canAdoptFor(task: Task): Boolean = !task.done && (task.runs.isEmpty() || task.step.step.speculative)
}
