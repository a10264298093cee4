// Attributes crashes of executors to the tasks that ran there, since a task may crash each executor that starts it.
// Which task was at fault is not reported. All tasks that the executor had only just started are suspected; those that
// it had run for longer hardly are. Suspected tasks are started apart from each other, and a task that is suspected
// twice is on trial: its executor starts nothing else until the task has survived its start. A job is given up when the
// evidence against one of its tasks is clear, or when too many executors have crashed under the task. A long-running
// job is given up only in the second case: all of its tasks are lost with it, and in its life some of them are started
// again on executors that crash for other reasons.
//
// A silent executor may have crashed or be cut off. Until it is known which, its just started tasks are suspected too.
// That is stored as soon as the executor falls silent, and before each start of a suspected task.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.Task

/** Attributes crashes to the jobs of [scheduler], and ends jobs whose tasks crash executors. */
internal class CrashAttribution(private val scheduler: BatchScheduler, private val log: DecisionLog) {
    /** Just started runs that were lost in one crash, for each crash that no given-up job explains. */
    private val unexplainedCrashes = ArrayList<List<Run>>()

    /** Jobs that this holder has given up, whose lost runs explain crashes. */
    private val givenUpJobs = HashSet<JobState>()

    /** Suspects the tasks that [executor] had only just started when it fell silent. */
    fun onExecutorLost(executor: ExecutorState) {
        openRuns(executor).filter { !it.survivedStart && !it.task.step.job.phase.ended }.forEach { run ->
            run.task.crashes.unresolved += run.id.attempt
            scheduler.markChanged(run.task.step.job)
        }
    }

    /**
     * Records the crash of [executor] against the runs that were on it, which those in [survivors] were not. Whether
     * those that [isOpen] selects were on it is not known yet.
     */
    fun onExecutorCrashed(
        nowMillis: Long,
        executor: ExecutorState,
        survivors: Set<RunId> = emptySet(),
        isOpen: (Run) -> Boolean = { false },
    ) {
        val runs = openRuns(executor).filter { it.id !in survivors }
        val suspects = runs.filter { !it.survivedStart }
        if (suspects.any { it.task.step.job in givenUpJobs }) {
            suspects.filter { !it.task.step.job.phase.ended }.forEach(::clear)
            return
        }
        suspects.forEach { recordCrashAtStart(it, it.firstSeenClockMillis != null && !isOpen(it)) }
        runs.filter { it.survivedStart && !it.task.step.step.longRunning }
            .forEach { it.task.crashes.cleared += it.id.attempt }
        runs.mapTo(LinkedHashSet()) {
            it.task.step.job
        }.filter { !it.phase.ended }.forEach { scheduler.markChanged(it) }
        if (suspects.isNotEmpty()) unexplainedCrashes += suspects
        val suspectedBefore = suspects.filter { it.task.crashes.suspicion >= TRIAL_SUSPICION && !isOpen(it) }
        val onlyJob = suspectedBefore.mapTo(HashSet()) { it.task.step.job }.singleOrNull()
        suspectedBefore.filter { !it.task.step.step.longRunning && it.task.crashes.atStart.size >= MIN_PROVEN_CRASHES }
            .firstOrNull { isAtFault(it, onlyJob, runs) }
            ?.let { giveUp(nowMillis, it.task) }
        runs.filter { isExhausted(it.task) }.forEach { giveUp(nowMillis, it.task) }
    }

    /**
     * Records a crash against the task of [run]. It is [proven] only if the run was on the executor; a start that was
     * never answered may not have reached it.
     */
    private fun recordCrashAtStart(run: Run, proven: Boolean) {
        val crashes = run.task.crashes
        if (proven) {
            crashes.unresolved -= run.id.attempt
            crashes.atStart += run.id.attempt
        } else {
            crashes.unresolved += run.id.attempt
        }
    }

    /** Records that [run], whose start had been confirmed, was on the executor that has crashed. */
    fun onCrashProven(run: Run) {
        if (run.id.attempt !in run.task.crashes.unresolved) return
        recordCrashAtStart(run, proven = true)
        scheduler.markChanged(run.task.step.job)
    }

    /** Runs of tasks that are not done whose start was sent to the present incarnation of [executor]. */
    private fun openRuns(executor: ExecutorState): List<Run> =
        (executor.runs.values + executor.lapsedRuns).filter { it.orderedMillis != null && !it.task.done }

    /**
     * Clears the task of [run], which has survived its start, of earlier crashes. Those of a long-running task are
     * forgotten altogether, since it may meet any number of crashes in its life.
     */
    fun onStartSurvived(run: Run) {
        resolve(run.task, run.id.attempt)
        val crashes = run.task.crashes
        val cleared = if (run.task.step.step.longRunning) emptySet() else crashes.cleared + crashes.atStart
        if (crashes.atStart.isEmpty() && crashes.cleared == cleared) return
        crashes.atStart = emptySet()
        crashes.cleared = cleared
        scheduler.markChanged(run.task.step.job)
    }

    /** Records that attempt number [attempt] of [task] has not crashed its executor. */
    fun resolve(task: Task, attempt: Long) {
        if (attempt !in task.crashes.unresolved) return
        task.crashes.unresolved -= attempt
        if (!task.step.job.phase.ended) scheduler.markChanged(task.step.job)
    }

    /** Whether so many executors have crashed under [task] that it must not be started again. */
    fun isExhausted(task: Task): Boolean = task.crashes.atStart.size >= MAX_START_CRASHES ||
        task.crashes.suspicion >= MAX_SUSPICION || task.crashes.total >= MAX_CRASHES

    /**
     * Whether [run] is the cause of the crash of its executor beyond reasonable doubt: the executor had confirmed the
     * start, its job is the only one there with a task that was suspected before, and no other job's task was started
     * there at about the same time or later. [runs] are all runs that were on the executor.
     */
    private fun isAtFault(run: Run, onlyJobSuspectedBefore: JobState?, runs: List<Run>): Boolean {
        val job = run.task.step.job
        val orderedMillis = run.orderedMillis ?: return false
        return run.firstSeenClockMillis != null && job === onlyJobSuspectedBefore && runs.none {
            it.task.step.job !== job && it.orderedMillis!! > orderedMillis - SIMULTANEOUS_MILLIS
        }
    }

    /** Ends the job of [task] as failed. */
    fun giveUp(nowMillis: Long, task: Task) {
        val job = task.step.job
        if (job.phase.ended) return
        log(
            "job hopeless",
            arrayOf(
                "job" to job.job.id,
                "task" to task.name,
                "crashes" to task.crashes.atStart.size,
                "unresolved" to task.crashes.unresolved.size,
                "cleared" to task.crashes.cleared.size,
            ),
        )
        scheduler.giveUpJob(nowMillis, job)
        givenUpJobs += job
        clearOthersInCrashesOf(job)
    }

    /** Clears the other tasks that were lost in crashes which [job] explains. */
    private fun clearOthersInCrashesOf(job: JobState) {
        val (explained, open) = unexplainedCrashes.partition { crash -> crash.any { it.task.step.job === job } }
        unexplainedCrashes.clear()
        unexplainedCrashes += open
        explained.flatten().filter { !it.task.step.job.phase.ended }.forEach(::clear)
    }

    /** Records that the crash of the executor of [run] has another cause. It counts towards the total only. */
    private fun clear(run: Run) {
        val crashes = run.task.crashes
        crashes.atStart -= run.id.attempt
        crashes.unresolved -= run.id.attempt
        crashes.cleared += run.id.attempt
        scheduler.markChanged(run.task.step.job)
    }

    /** Drops what is kept of [job], whose state is no longer needed. */
    fun forget(job: JobState) {
        givenUpJobs -= job
        unexplainedCrashes.removeAll { crash -> crash.all { it.task.step.job === job || it.task.step.job.phase.ended } }
    }

    companion object {
        /** Number of executors that a task may have crashed, from which on it is on trial. */
        const val TRIAL_SUSPICION = 2

        /** Crashes soon after a start, from which on a job is given up if the evidence is clear, or in any case. */
        private const val MIN_PROVEN_CRASHES = 2
        private const val MAX_START_CRASHES = 3

        /**
         * Number of executors that have crashed soon after a start or have been silent since then, at which the job is
         * given up in any case. It is higher, since a silent executor may only be cut off.
         */
        private const val MAX_SUSPICION = 4

        /** Number of crashes, whatever their cause, at which the job is given up in any case. */
        private const val MAX_CRASHES = 5

        /** Starts within this time of each other can't be told apart by which of them the crash followed. */
        private const val SIMULTANEOUS_MILLIS = 100L
    }
}
