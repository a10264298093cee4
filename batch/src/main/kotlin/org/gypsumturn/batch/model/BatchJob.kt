// Data model of a job: its steps, each of which consists of a number of equal tasks, and the identities of tasks and
// of their runs.

package org.gypsumturn.batch.model

import kotlinx.serialization.Serializable
import org.gypsumturn.model.JobId
import org.gypsumturn.model.WorkspaceId

/**
 * Resources that a task needs or that an executor offers.
 *
 * @property cpuMillis processors, in thousandths of a core
 * @property memoryMb memory, in megabytes
 * @property accelerators number of accelerators
 */
@Serializable
public data class ResourceAmounts(
    public val cpuMillis: Long = 0,
    public val memoryMb: Long = 0,
    public val accelerators: Long = 0,
) {
    /** Whether [room] has at least as much of every resource as this. */
    public fun fitsInto(room: ResourceAmounts): Boolean =
        cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb && accelerators <= room.accelerators

    public operator fun plus(other: ResourceAmounts): ResourceAmounts =
        ResourceAmounts(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators)

    /** The difference to [other]. Components may become negative. */
    public operator fun minus(other: ResourceAmounts): ResourceAmounts =
        ResourceAmounts(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators)

    public operator fun times(factor: Int): ResourceAmounts =
        ResourceAmounts(cpuMillis * factor, memoryMb * factor, accelerators * factor)

    /** The lower value of each component. */
    public fun atMost(other: ResourceAmounts): ResourceAmounts = ResourceAmounts(
        minOf(cpuMillis, other.cpuMillis),
        minOf(memoryMb, other.memoryMb),
        minOf(accelerators, other.accelerators),
    )

    public companion object {
        public val NONE: ResourceAmounts = ResourceAmounts()
    }
}

/**
 * A step of a job: a number of equal tasks.
 *
 * @property count number of tasks
 * @property size resources that each task needs
 * @property estimateMillis the submitter's rough estimate of a task's run time
 * @property after indexes of the steps that must have ended before this one starts
 * @property checkpointing whether its tasks save their progress
 * @property gang whether its tasks make progress only while all of them run
 * @property sameRack whether its tasks run slower when they are spread over several racks
 * @property requiredLabel label that an executor must have; empty for none
 * @property affinityRack rack that holds the input data; empty for none
 * @property maxPerExecutor upper bound on the tasks of one occurrence on one executor; 0 for no bound
 * @property speculative whether several copies of a task may run at the same time
 * @property longRunning whether its tasks run until the job is cancelled
 * @property image program that its tasks run; tasks of the same image slow their neighbours in the same way
 * @property tailTargetMillis upper bound on the tail latency of long-running tasks; 0 for none
 * @property fills whether its tasks use only processor time that other tasks leave unused
 * @property mayMiss number of its tasks that this system may stop at the same time; 0 where the step sets no bound
 */
@Serializable
public data class Step(
    public val count: Int,
    public val size: ResourceAmounts = ResourceAmounts.NONE,
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
    /**
     * Capacity that is reserved for one task. No processors are reserved for steps that only use what others leave
     * idle.
     */
    public val reservedSize: ResourceAmounts get() = if (fills) size.copy(cpuMillis = 0) else size

    /** A one-line summary of the step for the log. */
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
 * @property host host of the queue that it was submitted to
 * @property pathPrefix path prefix of the queue that it was submitted to
 * @property spec the job specification as the caller sent it
 * @property repeats number of occurrences of a scheduled job; 0 for a job that runs once, immediately
 * @property intervalMillis time between the starts of two occurrences
 * @property startAtMillis when the first occurrence is due, in milliseconds since 1970
 * @property workspace workspace of the caller; null where the queue is public or there are no workspaces
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
    public val workspace: WorkspaceId? = null,
) {
    /** The identity of the queue that it was submitted to. */
    public val queue: QueueId get() = queueId(host, pathPrefix)

    /** Number of occurrences. A job without a schedule has one. */
    public val occurrences: Int get() = maxOf(1, repeats)

    /** Number of tasks of one occurrence. */
    public val tasksPerOccurrence: Long get() = steps.sumOf { it.count.toLong() }
}

/** The identity of the queue at [host] and [pathPrefix]. */
public fun queueId(host: String, pathPrefix: String): QueueId = QueueId(host + pathPrefix)

/** Name of a task: the job, the occurrence, the step and the index of the task in the step. */
public data class TaskName(
    public val job: JobId,
    public val occurrence: Int,
    public val step: Int,
    public val index: Int,
) {
    override fun toString(): String = "$job.$occurrence.$step.$index"
}

/** Identity of one run of a task. [attempt] is higher for each later start of the task. */
public data class RunId(public val task: TaskName, public val attempt: Long)

/** State of a job as reported to callers. */
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
