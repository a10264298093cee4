// Jobs that consist of steps, each step of a number of equal tasks, and the names of tasks and of their runs.

package org.gypsumturn.batch.model

import kotlinx.serialization.Serializable
import org.gypsumturn.model.JobId

/** Room that a task takes or an executor offers. [cpuMillis] counts thousandths of a core. */
@Serializable
public data class Size(
    public val cpuMillis: Long = 0,
    public val memoryMb: Long = 0,
    public val accelerators: Long = 0,
) {
    /** Whether this fits into [room]. */
    public fun fitsInto(room: Size): Boolean =
        cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb && accelerators <= room.accelerators

    /** The sum with [other]. */
    public operator fun plus(other: Size): Size =
        Size(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators)

    /** The difference to [other]; components may become negative. */
    public operator fun minus(other: Size): Size =
        Size(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators)

    public companion object {
        /** No room. */
        public val NONE: Size = Size()
    }
}

/**
 * A step of a job.
 *
 * @property count number of tasks
 * @property estimateMillis the submitter's rough estimate of a task's run time
 * @property after numbers of the steps that must have ended before
 * @property checkpointing whether its tasks save their progress
 * @property gang whether its tasks work only together
 * @property sameRack whether its tasks are slowed where they span racks
 * @property requiredLabel label that an executor must have, or empty
 * @property affinityRack rack that holds the data, or empty
 * @property maxPerExecutor most tasks of one occurrence on an executor; 0 for any number
 * @property speculative whether copies of a task may run at once
 * @property longRunning whether its tasks run until the job is cancelled
 * @property image what its tasks run; tasks of one image disturb others alike
 * @property tailTargetMillis bound on the tail of response times of long-running tasks; 0 for none
 * @property fills whether its processors come from what others leave unused
 * @property mayMiss tasks that may be away at once by this system's own actions; null where the step sets no bound
 */
@Serializable
public data class Step(
    public val count: Int,
    public val size: Size = Size.NONE,
    public val estimateMillis: Long = 0,
    public val after: List<Int> = emptyList(),
    public val checkpointing: Boolean = false,
    public val gang: Boolean = false,
    public val sameRack: Boolean = false,
    public val requiredLabel: String = "",
    public val affinityRack: String = "",
    public val maxPerExecutor: Int = 0,
    public val speculative: Boolean = false,
    public val longRunning: Boolean = false,
    public val image: String = "",
    public val tailTargetMillis: Long = 0,
    public val fills: Boolean = false,
    public val mayMiss: Int = 0,
) {
    /** The step in a few words, for the log. */
    public fun describe(): String = buildString {
        append("$count x ${size.cpuMillis}m/${size.memoryMb}M ${estimateMillis}ms")
        if (after.isNotEmpty()) append(" after $after")
        if (gang) append(" gang")
        if (sameRack) append(" same-rack")
        if (requiredLabel.isNotEmpty()) append(" label $requiredLabel")
        if (affinityRack.isNotEmpty()) append(" near $affinityRack")
        if (maxPerExecutor > 0) append(" max $maxPerExecutor")
        if (checkpointing) append(" saves")
        if (speculative) append(" speculative")
        if (longRunning) append(" long-running, may miss $mayMiss, target ${tailTargetMillis}ms")
        if (fills) append(" fills")
    }
}

/**
 * A job as it was submitted.
 *
 * @property repeats number of occurrences; 0 for a job that runs once, at once
 * @property startAtMillis when the first occurrence is due, in milliseconds since 1970
 */
@Serializable
public data class BatchJob(
    public val id: JobId,
    public val host: String,
    public val pathPrefix: String,
    public val spec: String,
    public val steps: List<Step>,
    public val repeats: Int = 0,
    public val intervalMillis: Long = 0,
    public val startAtMillis: Long = 0,
) {
    /** The queue that it was submitted to. */
    public val queue: QueueId get() = queueId(host, pathPrefix)

    /** Occurrences; a job without a timetable has one. */
    public val occurrences: Int get() = maxOf(1, repeats)
}

/** The identity of the queue at [host] and [pathPrefix]. */
public fun queueId(host: String, pathPrefix: String): QueueId = QueueId(host + pathPrefix)

/** Name of a task: the job, its occurrence, its step and the task's number in the step. */
public data class TaskName(
    public val job: JobId,
    public val occurrence: Int,
    public val step: Int,
    public val index: Int,
) {
    override fun toString(): String = "$job.$occurrence.$step.$index"
}

/** One run of a task. Attempts of a task rise with each start. */
public data class RunId(public val task: TaskName, public val attempt: Long)

/** State of a job as callers see it. */
@Serializable
public enum class JobPhase {
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED,
    ;

    /** Whether the job has ended. */
    public val ended: Boolean get() = this == COMPLETED || this == FAILED || this == CANCELLED
}
