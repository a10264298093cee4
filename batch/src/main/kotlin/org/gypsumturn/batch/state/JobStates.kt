// What the scheduler knows of jobs, their occurrences, steps and tasks, and of the runs of each task.

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

/** Where a run stands from the scheduler's point of view. */
public enum class RunPhase { STARTING, RUNNING, STOPPING }

/** One run of a task on an executor. */
public class Run(
    public val id: RunId,
    public val task: Task,
    public val executor: ExecutorState,
    public val startedMillis: Long,
) {
    public var phase: RunPhase = RunPhase.STARTING

    /** Progress as last listed. */
    public var percent: Int = 0
        private set

    /** The executor's clock when it first showed the run; null before. A holder that is late reads reports late. */
    public var begunClockMillis: Long? = null

    /** The executor's clock when a report first showed the present progress. */
    public var progressClockMillis: Long = 0

    /** The executor's clock of the last report that listed the run. */
    public var listedClockMillis: Long = 0

    /** Time in which the present progress was made. */
    public val progressTimeMillis: Long get() = begunClockMillis?.let { progressClockMillis - it } ?: 0

    /** Notes that the run was there when the executor's clock showed [clockMillis]. */
    public fun begun(clockMillis: Long) {
        if (begunClockMillis != null) return
        begunClockMillis = clockMillis
        progressClockMillis = clockMillis
        listedClockMillis = clockMillis
    }

    /** Takes in a report of the run, made when the executor's clock showed [clockMillis]. */
    public fun listed(clockMillis: Long, percent: Int) {
        begun(clockMillis)
        listedClockMillis = clockMillis
        if (percent == this.percent) return
        this.percent = percent
        progressClockMillis = clockMillis
        lagging = false
    }

    /** Tail of response times or processors in use, as last listed. */
    public var load: Long = 0

    /** The executor's clock when it confirmed the start; null before. */
    public var confirmedClockMillis: Long? = null

    /** The executor's clock when it confirmed a stop; null before. */
    public var stopConfirmedClockMillis: Long? = null

    /** Starts sent without an answer. */
    public var unansweredStarts: Int = 0

    /** When to repeat the start or stop that its phase waits for; null while an order is under way, or none is due. */
    public var retryMillis: Long? = null

    /** Whether it waits for an order to be repeated. */
    public val awaitsRetry: Boolean get() = phase != RunPhase.RUNNING && retryMillis != null

    /** Whether it makes no progress, or far less than it should. */
    public var lagging: Boolean = false

    /** Whether a copy of it should be started, if its step allows copies. */
    public val doubtful: Boolean get() = lagging || executor.unreachableSinceMillis != null

    /** Room that the run takes. */
    public val size: ResourceAmounts get() = task.step.room
}

/** One task. */
public class Task(public val step: StepState, public val index: Int) {
    /** Highest attempt used so far. */
    public var attempt: Long = 0

    public var done: Boolean = false

    public val runs: MutableList<Run> = ArrayList(1)

    /** Attempts that ended as failed. */
    public val failedAttempts: MutableSet<Long> = HashSet(0)

    public var checkpoint: String = ""

    /** Executors on which it failed; others go first. */
    public val failedOn: MutableSet<InstanceId> = HashSet(0)

    /** Not started before this time. */
    public var notBeforeMillis: Long = 0

    /** When the task last was at work, or became ready. */
    public var idleSinceMillis: Long = 0

    /** The attempt with which its numbers begin. */
    public val firstAttempt: Long get() = step.job.firstAttempt

    public val name: TaskName get() = TaskName(step.job.job.id, step.occurrence, step.index, index)

    /** Whether the task waits for a start, or for a copy of a run that is in doubt. */
    public fun waits(nowMillis: Long): Boolean =
        !done && notBeforeMillis <= nowMillis && (runs.isEmpty() || wantsCopy())

    private fun wantsCopy() = step.step.speculative && runs.size == 1 && runs.single().doubtful
}

/** A step of one occurrence. */
public class StepState(
    public val job: JobState,
    public val occurrence: Int,
    public val index: Int,
    public val step: Step,
) {
    public val tasks: List<Task> = List(step.count) { Task(this, it) }

    /** What the advisor has said; null where it was not asked. */
    public var advice: StepAdvice? = null

    /** Tasks that have ended well. */
    public var doneCount: Int = 0

    /** Runs that have ended well, and the sum of their times. */
    public var endedRuns: Int = 0
    public var endedRunMillis: Long = 0

    /** Room that is set aside for one task. Tasks that fill take no processors of their own. */
    public val room: ResourceAmounts = if (step.fills) step.size.copy(cpuMillis = 0) else step.size

    public val complete: Boolean get() = doneCount == tasks.size

    /** Tasks that are not done and of which nothing runs. */
    public val unstarted: Int get() = tasks.count { !it.done && it.runs.isEmpty() }

    /** Runs of the step on [executor]. */
    public fun runsOn(executor: ExecutorState): Int = executor.runs.values.count { it.task.step === this }
}

/** One occurrence of a job's steps. */
public class Occurrence(public val number: Int, public val steps: List<StepState>, public val dueMillis: Long) {
    public val complete: Boolean get() = steps.all { it.complete }

    /** Steps whose predecessors are complete and that are not complete themselves. */
    public fun openSteps(): List<StepState> =
        steps.filter { step -> !step.complete && step.step.after.all { steps[it].complete } }
}

/** A job. [acceptedMillis] is the steady time at which this process learned of it. */
public class JobState(public val job: BatchJob, public val acceptedMillis: Long, public val firstAttempt: Long) {
    /** Occurrences that are due or were due, by number. */
    public val occurrences: MutableMap<Int, Occurrence> = LinkedHashMap(1)

    public var phase: JobPhase = JobPhase.QUEUED

    /** The phase that is stored and may be shown. */
    public var shownPhase: JobPhase = JobPhase.QUEUED

    /** Number of the newest change of what is to be stored, and of the newest that is. */
    public var changeSerial: Long = 0
    public var storedSerial: Long = 0

    /** Revision of the stored progress. */
    public var revision: Revision = Revision.ABSENT

    public var endedMillis: Long = 0

    /** Occurrences that were completed and dropped from memory. */
    public val completedOccurrences: MutableSet<Int> = HashSet(0)

    public val longRunning: Boolean = job.steps.any { it.longRunning }

    /** All runs of all tasks. */
    public fun runs(): List<Run> = occurrences.values.flatMap { it.steps }.flatMap { it.tasks }.flatMap { it.runs }

    /** The task [name], or null where its occurrence has not come or the name is wrong. */
    public fun task(name: TaskName): Task? =
        occurrences[name.occurrence]?.steps?.getOrNull(name.step)?.tasks?.getOrNull(name.index)

    /** Adds occurrence [number]. */
    public fun begin(number: Int, dueMillis: Long): Occurrence {
        val steps = job.steps.mapIndexed { index, step -> StepState(this, number, index, step) }
        val occurrence = Occurrence(number, steps, dueMillis)
        occurrences[number] = occurrence
        return occurrence
    }

    /** Work in core-milliseconds along the longest chain of [occurrence] that is still to be done, by estimates. */
    public fun remainingChainMillis(occurrence: Occurrence): Long {
        val ends = LongArray(occurrence.steps.size)
        occurrence.steps.forEach { step ->
            val before = step.step.after.maxOfOrNull { ends[it] } ?: 0
            ends[step.index] = before + if (step.complete) 0 else step.step.estimateMillis
        }
        return ends.maxOrNull() ?: 0
    }

    /** When the job should be complete, in steady time, by the objective of [queue]. */
    public fun objectiveMillis(queue: Queue, occurrence: Occurrence): Long {
        val chain = chainMillis()
        return occurrence.dueMillis + (queue.stretch * chain).toLong() + queue.targetDurationMillis
    }

    /** The longest chain of estimated run times. */
    public fun chainMillis(): Long {
        val ends = LongArray(job.steps.size)
        job.steps.forEachIndexed { index, step ->
            ends[index] = (step.after.maxOfOrNull { ends[it] } ?: 0) + step.estimateMillis
        }
        return ends.maxOrNull() ?: 0
    }
}
