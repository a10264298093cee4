// Reports of executors taken in: ends of runs, progress, runs that earlier holders started, and runs that have
// vanished.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.ReportedRun
import org.gypsumturn.batch.model.ReportedRunEnd
import org.gypsumturn.batch.model.RunEnd
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.PendingEnd
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.batch.state.Task
import org.gypsumturn.batch.state.taskBegun

/** Takes reports in for [scheduler]. */
internal class RunEnds(
    private val scheduler: BatchScheduler,
    private val book: ExecutorBook,
    private val judge: ExecutorJudge,
    private val log: DecisionLog,
) {
    /** How failures that a job may have in one task are limited; asked with the job. */
    var maxFailures: (JobState) -> Int = { Int.MAX_VALUE }

    fun handle(nowMillis: Long, executor: ExecutorState, report: ExecutorReport) {
        report.ended.sortedBy { it.endNumber }.filter { it.endNumber > executor.handledEnd }.forEach { end ->
            executor.handledEnd = end.endNumber
            ended(nowMillis, executor, report.clockMillis, end)
        }
        val listed = HashSet<Any>()
        report.running.forEach { row ->
            listed += row.run
            running(nowMillis, executor, report.clockMillis, row)
        }
        vanished(nowMillis, executor, report.clockMillis, listed)
    }

    private fun ended(nowMillis: Long, executor: ExecutorState, clockMillis: Long, end: ReportedRunEnd) {
        val job = scheduler.job(end.run.task.job)
        val run = executor.runs[end.run]
        if (run != null) release(run)
        val task = run?.task ?: job?.taskBegun(end.run.task, nowMillis)
        if (job == null || task == null || job.phase.ended) {
            executor.pendingEnds[end.endNumber] = PendingEnd(job?.takeIf { it.phase.ended }, job?.changeSerial ?: 0)
            return
        }
        logEnd(executor, end)
        task.attempt = maxOf(task.attempt, end.run.attempt)
        if (end.checkpoint.isNotEmpty()) task.checkpoint = end.checkpoint
        task.idleSinceMillis = nowMillis
        when (end.end) {
            RunEnd.DONE -> {
                judge.done(nowMillis, clockMillis, executor, run)
                run?.let { noteTime(clockMillis, it) }
                done(nowMillis, task)
            }

            RunEnd.FAILED -> {
                judge.failed(nowMillis, executor, job.job.id)
                task.failedOn += executor.record.id
                failed(nowMillis, task, end.run.attempt)
            }

            else -> Unit
        }
        executor.pendingEnds[end.endNumber] = PendingEnd(job, job.changeSerial)
    }

    private fun noteTime(clockMillis: Long, run: Run) {
        val begun = run.begunClockMillis ?: return
        run.task.step.endedRuns++
        run.task.step.endedRunMillis += clockMillis - begun
    }

    private fun logEnd(executor: ExecutorState, end: ReportedRunEnd) {
        val run = end.run
        log(
            "task ended",
            arrayOf("task" to run.task, "attempt" to run.attempt, "executor" to executor.record.id, "end" to end.end),
        )
    }

    private fun done(nowMillis: Long, task: Task) {
        if (task.done) return
        val step = task.step
        val members = if (step.step.gang) step.tasks else listOf(task)
        members.filter { !it.done }.forEach {
            it.done = true
            step.doneCount++
        }
        val job = step.job
        if (job.phase == JobPhase.QUEUED) job.phase = JobPhase.RUNNING
        scheduler.changed(job)
        task.runs.toList().forEach { scheduler.stop(it, "another copy has ended") }
        val occurrence = job.occurrences.getValue(step.occurrence)
        if (!occurrence.complete) return
        job.completedOccurrences += occurrence.number
        if (job.completedOccurrences.size == job.job.occurrences) {
            scheduler.end(nowMillis, job, JobPhase.COMPLETED)
        } else {
            job.occurrences.remove(occurrence.number)
        }
    }

    private fun failed(nowMillis: Long, task: Task, attempt: Long) {
        if (task.done || task.step.step.longRunning) return
        val job = task.step.job
        task.failedAttempts += attempt
        scheduler.changed(job)
        if (task.failedAttempts.size >= maxFailures(job)) {
            val failures = task.failedAttempts.size
            log("job hopeless", arrayOf("job" to job.job.id, "task" to task.name, "failures" to failures))
            scheduler.end(nowMillis, job, JobPhase.FAILED)
        }
    }

    private fun running(nowMillis: Long, executor: ExecutorState, clockMillis: Long, row: ReportedRun) {
        val run = executor.runs[row.run] ?: adopt(nowMillis, executor, row) ?: return
        if (run.phase == RunPhase.STARTING) run.phase = RunPhase.RUNNING
        run.listed(clockMillis, row.percent)
        run.load = row.load
        if (row.checkpoint.isNotEmpty()) run.task.checkpoint = row.checkpoint
    }

    /** Takes over a run that an earlier holder started; null where it must not go on. */
    private fun adopt(nowMillis: Long, executor: ExecutorState, row: ReportedRun): Run? {
        val job = scheduler.job(row.run.task.job)
        val task = job?.takeIf { !it.phase.ended }?.taskBegun(row.run.task, nowMillis)
        if (task == null || !mayAdopt(task)) {
            log("run not wanted", arrayOf("task" to row.run.task, "executor" to executor.record.id))
            book.order(Order.Stop(executor.target, row.run))
            return null
        }
        log("run adopted", arrayOf("task" to row.run.task, "executor" to executor.record.id))
        val run = Run(row.run, task, executor, nowMillis)
        run.phase = RunPhase.RUNNING
        run.confirmedClockMillis = Long.MIN_VALUE
        task.attempt = maxOf(task.attempt, row.run.attempt)
        task.runs += run
        executor.add(run)
        if (job.phase == JobPhase.QUEUED) job.phase = JobPhase.RUNNING
        if (job.shownPhase == JobPhase.QUEUED) job.shownPhase = JobPhase.RUNNING
        return run
    }

    private fun mayAdopt(task: Task): Boolean = !task.done && (task.runs.isEmpty() || task.step.step.speculative)

    /** Ends runs that the executor confirmed before it made a report in which they are missing. */
    private fun vanished(nowMillis: Long, executor: ExecutorState, clockMillis: Long, listed: Set<Any>) {
        executor.runs.values.toList().forEach { run ->
            val confirmed = run.stopConfirmedClockMillis ?: run.confirmedClockMillis
            if (run.id !in listed && confirmed != null && confirmed < clockMillis) {
                log("run vanished", arrayOf("task" to run.id.task, "executor" to executor.record.id))
                remove(nowMillis, run)
            }
        }
    }

    /** Ends all runs of an executor that has ended or started anew. */
    fun lifetimeEnded(nowMillis: Long, executor: ExecutorState) {
        executor.runs.values.toList().forEach { remove(nowMillis, it) }
    }

    /** Ends all runs of a silent executor, whose leases have lapsed. */
    fun lapsed(nowMillis: Long, executor: ExecutorState) {
        log("leases lapsed", arrayOf("executor" to executor.record.id, "runs" to executor.runs.size))
        lifetimeEnded(nowMillis, executor)
    }

    /** Removes a run that is not there; its task waits again unless it is done. */
    fun remove(nowMillis: Long, run: Run) {
        release(run)
        run.task.idleSinceMillis = nowMillis
    }

    private fun release(run: Run) {
        run.executor.remove(run)
        run.task.runs -= run
    }
}
