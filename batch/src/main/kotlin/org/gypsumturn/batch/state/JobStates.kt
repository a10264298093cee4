// State of jobs in the memory of the scheduler: occurrences, steps, tasks, and the runs of each task.

package org.gypsumturn.batch.state

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.model.TaskName
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Revision

/** Time for which an executor must report a run before it counts as having survived the start of the task. */
private const val START_SURVIVED_MILLIS = 1_000L

/** Progress that a long-running task reports while it is at work. */
private const val AT_WORK_PERCENT = 100

/** Phase of a run as the scheduler knows it. */
public enum class RunPhase { STARTING, RUNNING, STOPPING }

/** One run of [task] on [executor], whose start was decided at [startedMillis]. */
public class Run(
    public val id: RunId,
    public val task: Task,
    public val executor: ExecutorState,
    public val startedMillis: Long,
) {
    public var phase: RunPhase = RunPhase.STARTING

    /** Time at which its start was first sent; null while it waits until the suspicion against its task is stored. */
    public var orderedMillis: Long? = null

    /** Time at which its start was last sent; null before the first time. */
    public var lastOrderedMillis: Long? = null

    /** Number of the change of the job's progress that must be stored before the start is sent. */
    public var startAfterChange: Long = 0

    /** Progress as last reported. */
    public var percent: Int = 0
        private set

    /**
     * Time on the executor's clock at which it first confirmed or reported the run; null before. The executor's clock
     * is used because a busy holder may read reports late.
     */
    public var firstSeenClockMillis: Long? = null

    /** Time on the executor's clock of the first report with the present progress. */
    public var progressChangedClockMillis: Long = 0

    /** Time on the executor's clock of the last report that listed the run. */
    public var lastReportClockMillis: Long = 0

    /**
     * Time at which the last report that listed the run was requested, on the steady clock of this process; null before
     * the first. The report shows the executor's state at this time or later.
     */
    public var reportRequestMillis: Long? = null
        private set

    /** Time for which the executor has reported the run; it may have gone on for longer since the last report. */
    public val survivedMillis: Long get() = firstSeenClockMillis?.let { lastReportClockMillis - it } ?: 0

    /** Whether the executor has reported the run for so long that the start of the task has not crashed it. */
    public val survivedStart: Boolean get() = survivedMillis >= START_SURVIVED_MILLIS

    /** Time that the run took for its present progress. */
    public val progressDurationMillis: Long get() = firstSeenClockMillis?.let { progressChangedClockMillis - it } ?: 0

    /**
     * Records that the run was on the executor at [clockMillis] on the executor's clock. Later calls change nothing.
     */
    public fun recordFirstSeen(clockMillis: Long) {
        if (firstSeenClockMillis != null) return
        firstSeenClockMillis = clockMillis
        progressChangedClockMillis = clockMillis
        lastReportClockMillis = clockMillis
    }

    /** Drops what an earlier incarnation of the executor has reported of it. */
    public fun forgetReports() {
        reported = false
        reportRequestMillis = null
        firstSeenClockMillis = null
        progressChangedClockMillis = 0
        lastReportClockMillis = 0
    }

    /** Records a report of the run, requested at [requestMillis] and made at [clockMillis] on the executor's clock. */
    public fun recordReport(requestMillis: Long, clockMillis: Long, percent: Int) {
        reported = true
        reportRequestMillis = requestMillis
        mayHaveEndedInCrash = false
        recordFirstSeen(clockMillis)
        lastReportClockMillis = clockMillis
        if (percent == this.percent) return
        this.percent = percent
        progressChangedClockMillis = clockMillis
        lagging = false
    }

    /**
     * Tail of response times in milliseconds for a serving task, otherwise processors in use in thousandths of a core,
     * as last reported.
     */
    public var load: Long = 0

    /**
     * Number of the executor's last poll at the time when its start was confirmed or reported; null before. A later
     * poll is carried out after the start was.
     */
    public var confirmedAtPoll: Long? = null

    /** Number of the executor's last poll at the time when its stop was confirmed; null before. */
    public var stopConfirmedAtPoll: Long? = null

    /** Number of start orders that were not answered. */
    public var unansweredStarts: Int = 0

    /** Number of start orders that wait for their answers. */
    public var startsInFlight: Int = 0

    /** Whether the executor has reported it as running. */
    public var reported: Boolean = false
        private set

    /**
     * Whether its executor has restarted since its start was sent, so that it may have ended with an earlier
     * incarnation or be on the present one.
     */
    public var mayHaveEndedInCrash: Boolean = false

    /** Whether its start had been confirmed when [mayHaveEndedInCrash] was set. */
    public var confirmedBeforeCrash: Boolean = false

    /** Whether a long-running task was at work when the executor last reported the run. */
    public val atWork: Boolean get() = percent >= AT_WORK_PERCENT

    /** Whether a start order for it may still be carried out. */
    public val mayStartLate: Boolean get() = startsInFlight > 0 || unansweredStarts > 0

    /**
     * Time at which the pending start or stop is to be repeated; null while an order is in flight or none is pending.
     */
    public var retryAtMillis: Long? = null

    /** Whether the run is stopped only so that its task is started elsewhere. */
    public var isEvacuated: Boolean = false

    /** Whether a start or stop of the run is scheduled to be repeated. */
    public val awaitsRetry: Boolean get() = phase != RunPhase.RUNNING && retryAtMillis != null

    /** Whether the run makes no progress, or far less than expected. */
    public var lagging: Boolean = false

    /** Whether a copy of the run should be started, if its step allows copies. */
    public val doubtful: Boolean get() = lagging || executor.unreachableSinceMillis != null

    /** Capacity that is reserved for the run. */
    public val reservedSize: ResourceAmounts get() = task.step.reservedSize
}

/** Task number [index] of [step]. */
public class Task(public val step: StepState, public val index: Int) {
    /** Highest attempt number used so far. */
    public var highestAttempt: Long = 0

    /** Whether a run of the task has succeeded. */
    public var done: Boolean = false
        private set

    /** Runs of the task that have not ended, as far as is known. */
    public var runs: List<Run> = emptyList()
        private set

    /** Numbers of the attempts that failed. */
    public var failedAttempts: Set<Long> = emptySet()

    /** Crashes of executors on which the task ran. */
    public val crashes: CrashHistory = CrashHistory()

    public var checkpoint: String = ""

    /** Executors on which the task failed. Others are preferred. */
    public var failedOn: Set<InstanceId> = emptySet()

    /** The task is not started before this time. */
    public var notBeforeMillis: Long = 0

    /** Whether the task may crash the executors that start it. */
    public val suspected: Boolean get() = crashes.suspicion > 0

    /** Time at which the last run of the task ended; 0 if there was none. */
    public var idleSinceMillis: Long = 0

    /** Lowest attempt number that the task may use. */
    public val firstAttempt: Long get() = step.job.firstAttempt

    public val name: TaskName get() = TaskName(step.job.job.id, step.occurrence, step.index, index)

    /** Adds [run], which is or may be on its executor from now on. */
    public fun addRun(run: Run) {
        runs += run
        step.onRunAdded(this, run)
    }

    /** Removes a run that is no longer on its executor. */
    public fun removeRun(ended: EndedRun) {
        val run = ended.run
        if (run !in runs) return
        runs -= run
        step.onRunRemoved(this, run)
    }

    /** Marks the task as done; has no effect if it is done already. */
    public fun markDone() {
        if (done) return
        done = true
        step.onTaskDone(this)
    }

    /** Whether the task waits for a start, or for a copy of a run that is in doubt. */
    public fun needsRun(nowMillis: Long): Boolean =
        !done && notBeforeMillis <= nowMillis && (runs.isEmpty() || needsCopy())

    // A copy of a task that is suspected for more than the run in doubt may crash another executor before it is known.
    private fun needsCopy() =
        step.step.speculative && runs.size == 1 && runs.single().doubtful && crashes.suspicion <= 1 &&
            crashes.atStart.isEmpty()
}

/** State of [step], which has number [index], in one occurrence of [job]. */
public class StepState(
    public val job: JobState,
    public val occurrence: Int,
    public val index: Int,
    public val step: Step,
) {
    public val tasks: List<Task> = List(step.count) { Task(this, it) }

    /** Advice of the placement advisor; null if it was not asked about this step. */
    public var advice: StepAdvice? = null

    private val runCountByExecutor = HashMap<ExecutorState, Int>()

    /** Number of tasks that are done. */
    public var doneCount: Int = 0
        private set

    /** Number of tasks that are not done and have no run. */
    public var unstartedCount: Int = step.count
        private set

    /** Number of runs of all tasks. */
    public var runCount: Int = 0
        private set

    /** Number of runs that succeeded, and the sum of their times. */
    public var succeededRuns: Int = 0
    public var succeededRunsTotalMillis: Long = 0

    /** Capacity that is reserved for one task. */
    public val reservedSize: ResourceAmounts = step.reservedSize

    public val complete: Boolean get() = doneCount == tasks.size

    /** Number of runs of the step on [executor]. */
    public fun runsOn(executor: ExecutorState): Int = runCountByExecutor[executor] ?: 0

    /** Whether a task waits for a start, or for a copy of a run that is in doubt. */
    public fun hasWaitingTask(nowMillis: Long): Boolean =
        (unstartedCount > 0 || step.speculative) && tasks.any { it.needsRun(nowMillis) }

    internal fun onRunAdded(task: Task, run: Run) {
        runCount++
        job.heldCapacity?.add(run.reservedSize)
        runCountByExecutor.merge(run.executor, 1, Int::plus)
        if (!task.done && task.runs.size == 1) unstartedCount--
    }

    internal fun onRunRemoved(task: Task, run: Run) {
        runCount--
        job.heldCapacity?.remove(run.reservedSize)
        runCountByExecutor.computeIfPresent(run.executor) { _, count -> (count - 1).takeIf { it > 0 } }
        if (!task.done && task.runs.isEmpty()) unstartedCount++
    }

    internal fun onTaskDone(task: Task) {
        doneCount++
        if (task.runs.isEmpty()) unstartedCount--
    }
}

/** Occurrence [number] of a job, with the state of each step. It became due at [dueMillis]. */
public class Occurrence(public val number: Int, public val steps: List<StepState>, public val dueMillis: Long) {
    public val complete: Boolean get() = steps.all { it.complete }

    /** Whether all predecessors of [step] are complete, and [step] itself is not. */
    public fun isReady(step: StepState): Boolean = !step.complete && step.step.after.all { steps[it].complete }
}

/**
 * State of [job].
 *
 * @property acceptedMillis time on the steady clock at which this process learned of the job
 * @property firstAttempt lowest attempt number for its tasks
 * @property heldCapacity counts the runs of its workspace; null if it belongs to none
 */
public class JobState(
    public val job: BatchJob,
    public val acceptedMillis: Long,
    public val firstAttempt: Long,
    internal val heldCapacity: CapacityCounter? = null,
) {
    private val mutableOccurrences = LinkedHashMap<Int, Occurrence>(1)

    /** Occurrences that have become due and are kept in memory, by number. */
    public val occurrences: Map<Int, Occurrence> get() = mutableOccurrences

    /** Called with the number of tasks by which the tasks in memory become more, or fewer if it is negative. */
    public var onTaskCountChanged: (Long) -> Unit = {}

    public var phase: JobPhase = JobPhase.QUEUED

    /** Phase that callers may see. An end of the job is visible only once it is stored. */
    public var visiblePhase: JobPhase = JobPhase.QUEUED

    /** Number of the latest change of the progress, and of the latest one that is stored. */
    public var latestChangeNumber: Long = 0
    public var storedChangeNumber: Long = 0

    /** Revision of the row of the stored progress. */
    public var revision: Revision = Revision.ABSENT

    public var endedMillis: Long = 0

    /** Whether it ends as failed once the holder has a valid control lease. */
    public var isGivenUp: Boolean = false

    /** Numbers of the occurrences that were completed and removed from memory. */
    public val completedOccurrences: MutableSet<Int> = HashSet(0)

    public val longRunning: Boolean = job.steps.any { it.longRunning }

    /** Number of tasks of one occurrence. */
    public val tasksPerOccurrence: Long = job.tasksPerOccurrence

    /** Upper bounds on the size of its stored progress. */
    public val progressSize: ProgressSize = ProgressSize(job)

    /** Returns all runs of all tasks. */
    public fun runs(): List<Run> = occurrences.values.flatMap { it.steps }.flatMap { it.tasks }.flatMap { it.runs }

    /** Returns the task with [name], or null if its occurrence is not in memory or the name is out of range. */
    public fun task(name: TaskName): Task? =
        occurrences[name.occurrence]?.steps?.getOrNull(name.step)?.tasks?.getOrNull(name.index)

    /** Adds occurrence [number], which became due at [dueMillis]. */
    public fun addOccurrence(number: Int, dueMillis: Long): Occurrence {
        val steps = job.steps.mapIndexed { index, step -> StepState(this, number, index, step) }
        val occurrence = Occurrence(number, steps, dueMillis)
        mutableOccurrences[number] = occurrence
        onTaskCountChanged(job.tasksPerOccurrence)
        return occurrence
    }

    /** Removes occurrence [number] from memory. */
    public fun removeOccurrence(number: Int) {
        if (mutableOccurrences.remove(number) != null) onTaskCountChanged(-job.tasksPerOccurrence)
    }

    /** Estimated time of the longest chain of dependent steps of [occurrence] that are not complete. */
    public fun remainingCriticalPathMillis(occurrence: Occurrence): Long {
        val ends = LongArray(occurrence.steps.size)
        occurrence.steps.forEach { step ->
            val before = step.step.after.maxOfOrNull { ends[it] } ?: 0
            ends[step.index] = before + if (step.complete) 0 else step.step.estimateMillis
        }
        return ends.maxOrNull() ?: 0
    }

    /** Time on the steady clock by which [occurrence] should be complete according to the objective of [queue]. */
    public fun objectiveMillis(queue: Queue, occurrence: Occurrence): Long =
        occurrence.dueMillis + (queue.stretch * criticalPathMillis).toLong() + queue.targetDurationMillis

    /** Estimated time of the longest chain of dependent steps. */
    public val criticalPathMillis: Long = criticalPathMillis(job)
}

private fun criticalPathMillis(job: BatchJob): Long {
    val ends = LongArray(job.steps.size)
    job.steps.forEachIndexed { index, step ->
        ends[index] = (step.after.maxOfOrNull { ends[it] } ?: 0) + step.estimateMillis
    }
    return ends.maxOrNull() ?: 0
}
