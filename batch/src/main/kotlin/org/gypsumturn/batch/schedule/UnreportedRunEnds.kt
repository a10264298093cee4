// Removes runs whose end no executor has reported. Each rule on what shows that such a run can't go on stands here.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.state.EndedRun
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunEndEvidence
import org.gypsumturn.batch.state.RunPhase

/**
 * Ends runs of [scheduler] on evidence, passes lost ones to [crashAttribution], and records in [absences] which tasks
 * are away.
 */
internal class UnreportedRunEnds(
    private val scheduler: BatchScheduler,
    private val controlLease: ControlLeaseView,
    private val crashAttribution: CrashAttribution,
    private val absences: TaskAbsences,
    private val log: DecisionLog,
) {
    /** Removes a run that is not on its executor, and has not crashed it. Its task may be started again. */
    fun removeRun(nowMillis: Long, run: Run, evidence: RunEndEvidence.Inferred) {
        crashAttribution.resolve(run.task, run.id.attempt)
        endRun(nowMillis, run, evidence)
    }

    /** Removes a run that was lost with its executor, which it may have crashed if its start was sent. */
    private fun loseRun(nowMillis: Long, run: Run, evidence: RunEndEvidence.Inferred) {
        if (run.orderedMillis == null) crashAttribution.resolve(run.task, run.id.attempt)
        endRun(nowMillis, run, evidence)
    }

    private fun logLostRuns(executor: ExecutorState) {
        executor.runs.values.toList().forEach { run ->
            log(
                "run lost",
                arrayOf(
                    "task" to run.id.task,
                    "attempt" to run.id.attempt,
                    "executor" to executor.record.id,
                    "survived_ms" to run.survivedMillis,
                ),
            )
        }
    }

    private fun endRun(nowMillis: Long, run: Run, evidence: RunEndEvidence.Inferred) {
        log(
            "run end inferred",
            arrayOf(
                "task" to run.id.task,
                "attempt" to run.id.attempt,
                "executor" to run.executor.record.id,
                "evidence" to evidence.label,
                "age_ms" to nowMillis - evidence.sinceMillis,
            ),
        )
        detachRun(nowMillis, EndedRun(run, evidence))
        run.task.idleSinceMillis = nowMillis
    }

    /** Takes [ended] off its executor and its task. */
    fun detachRun(nowMillis: Long, ended: EndedRun) {
        val run = ended.run
        run.executor.removeRun(ended)
        run.task.removeRun(ended)
        absences.onRunEnded(nowMillis, ended)
        scheduler.markPoolStale(run.executor.record.pool)
        scheduler.markPoolStale(run.task.step.job)
    }

    /**
     * Removes runs that are not among those that a complete report [listed], although the executor had confirmed their
     * start or stop before poll number [pollNumber], which it made the report on, was sent.
     */
    fun removeVanishedRuns(nowMillis: Long, executor: ExecutorState, pollNumber: Long, listed: Set<RunId>) {
        executor.runs.values.filter { it.id !in listed }.forEach { run ->
            val confirmedAtPoll = run.stopConfirmedAtPoll ?: run.confirmedAtPoll ?: return@forEach
            if (confirmedAtPoll >= pollNumber) return@forEach
            log("run vanished", arrayOf("task" to run.id.task, "executor" to executor.record.id))
            val evidence = RunEndEvidence.NotListed(nowMillis)
            if (run.mayHaveEndedInCrash) {
                if (run.confirmedBeforeCrash) crashAttribution.onCrashProven(run)
                loseRun(nowMillis, run, evidence)
            } else {
                removeRun(nowMillis, run, evidence)
            }
        }
    }

    /**
     * Handles that [executor] is present in a later incarnation, whose report lists the runs in [listed]. The runs that
     * the earlier incarnation had reported have ended with it. Another run may have been begun by the present one
     * instead. It stays until a report shows whether it is there; if its start may still be carried out, it is stopped.
     */
    fun onRestarted(
        nowMillis: Long,
        executor: ExecutorState,
        planned: Boolean,
        evidence: RunEndEvidence.IncarnationEnded,
        listed: Set<RunId>,
    ) {
        if (planned) {
            resolveLapsedRuns(executor)
        } else {
            crashAttribution.onExecutorCrashed(nowMillis, executor, listed) {
                it in executor.runs.values &&
                    !hasEnded(it)
            }
        }
        executor.lapsedRuns.clear()
        executor.runs.values.toList().forEach { run ->
            when {
                run.id in listed -> keepOnSuccessor(run)
                hasEnded(run) && planned -> removeRun(nowMillis, run, evidence)
                hasEnded(run) -> loseRun(nowMillis, run, evidence)
                else -> keepAcrossRestart(run, planned)
            }
        }
    }

    /** Whether [run] has ended with an earlier incarnation of its executor, or was never sent to any. */
    private fun hasEnded(run: Run) = run.orderedMillis == null || (run.reported && !run.mayStartLate)

    /** Keeps [run], which the present incarnation has begun. A stop that the earlier one confirmed does not count. */
    private fun keepOnSuccessor(run: Run) {
        run.forgetReports()
        if (run.phase == RunPhase.STOPPING) stopOnSuccessor(run)
    }

    private fun keepAcrossRestart(run: Run, planned: Boolean) {
        run.mayHaveEndedInCrash = !planned
        run.confirmedBeforeCrash = run.firstSeenClockMillis != null
        run.forgetReports()
        val isConfirmed = run.phase == RunPhase.RUNNING && !run.mayStartLate
        if (!isConfirmed) stopOnSuccessor(run)
    }

    private fun stopOnSuccessor(run: Run) {
        run.confirmedAtPoll = null
        run.stopConfirmedAtPoll = null
        scheduler.repeatStop(run, "its executor has restarted")
    }

    /**
     * Removes all runs of an executor that has ended or restarted. Unless [planned], it has crashed with these runs.
     */
    fun onIncarnationEnded(
        nowMillis: Long,
        executor: ExecutorState,
        planned: Boolean,
        evidence: RunEndEvidence.IncarnationEnded,
    ) {
        if (planned) resolveLapsedRuns(executor) else crashAttribution.onExecutorCrashed(nowMillis, executor)
        executor.lapsedRuns.clear()
        logLostRuns(executor)
        executor.runs.values.toList().forEach { run ->
            if (planned) removeRun(nowMillis, run, evidence) else loseRun(nowMillis, run, evidence)
        }
    }

    /** Records that the runs on [executor] whose leases have lapsed did not crash it. */
    fun resolveLapsedRuns(executor: ExecutorState) {
        executor.lapsedRuns.forEach { crashAttribution.resolve(it.task, it.id.attempt) }
        executor.lapsedRuns.clear()
    }

    /**
     * Removes all runs of a silent executor, since all of their leases have lapsed. Whether the executor has crashed
     * stays open.
     */
    fun onLeasesLapsed(nowMillis: Long, executor: ExecutorState, evidence: RunEndEvidence.LeasesLapsed) {
        log(
            "leases lapsed",
            arrayOf(
                "executor" to executor.record.id,
                "runs" to executor.runs.size,
                "overdue_ms" to controlLease.overdueMillis,
            ),
        )
        logLostRuns(executor)
        executor.lapsedRuns += executor.runs.values.filter { it.orderedMillis != null }
        executor.runs.values.toList().forEach { loseRun(nowMillis, it, evidence) }
    }
}
