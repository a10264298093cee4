// Attributes crashes of executors to the tasks that ran there, since a task may crash each executor that starts it.
// Which task was at fault is not reported. All tasks that the executor had only just started are suspected; those that
// it had run for longer hardly are. Suspected tasks are started apart from each other, and a task that is suspected
// twice is on trial: its executor starts nothing else until the task has survived its start. A job is given up when the
// evidence against one of its tasks is clear, or when too many executors have crashed under the task.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.Run

/** Attributes crashes to the jobs of [scheduler], and ends jobs whose tasks crash executors. */
internal class CrashAttribution(private val scheduler: BatchScheduler, private val log: DecisionLog) {
    /** Records the crash of [executor] against the runs on it, which must still be known. */
    fun onExecutorCrashed(nowMillis: Long, executor: ExecutorState) {
        val runs = executor.runs.values.filter { !it.task.done && !it.task.step.job.phase.ended }
        val suspects = runs.filter { !it.survivedStart }
        suspects.forEach { it.task.crashes.atStart += it.id.attempt }
        runs.filter { it.survivedStart && !it.task.step.step.longRunning }
            .forEach { it.task.crashes.later += it.id.attempt }
        runs.mapTo(LinkedHashSet()) { it.task.step.job }.forEach { scheduler.markChanged(it) }
        val twiceSuspected = suspects.filter { it.task.crashes.atStart.size >= TRIAL_CRASHES }
        val onlyJob = twiceSuspected.mapTo(HashSet()) { it.task.step.job }.singleOrNull()
        runs.filter { it.task.crashes.count >= MAX_CRASHES || (it in twiceSuspected && isAtFault(it, onlyJob)) }
            .forEach { giveUp(nowMillis, it) }
    }

    /**
     * Whether [run] is the cause of the crash of its executor beyond reasonable doubt: its job is the only one on the
     * executor with a task that was suspected before, and no other job's task was started there at about the same time
     * or later.
     */
    private fun isAtFault(run: Run, onlySuspectedBefore: JobState?): Boolean {
        val job = run.task.step.job
        return job === onlySuspectedBefore && run.executor.runs.values.none {
            it.task.step.job !== job && it.startedMillis > run.startedMillis - SIMULTANEOUS_MILLIS
        }
    }

    private fun giveUp(nowMillis: Long, run: Run) {
        val job = run.task.step.job
        if (job.phase.ended) return
        log(
            "job hopeless",
            arrayOf("job" to job.job.id, "task" to run.task.name, "crashes" to run.task.crashes.count),
        )
        scheduler.endJob(nowMillis, job, JobPhase.FAILED)
    }

    companion object {
        /** Crashes soon after a start of the task, from which on the task is on trial. */
        const val TRIAL_CRASHES = 2

        /** Crashes after which a job is given up however unclear the evidence is. */
        private const val MAX_CRASHES = 5

        /** Starts within this time of each other can't be told apart by which of them the crash followed. */
        private const val SIMULTANEOUS_MILLIS = 100L
    }
}
