// What the operator has put in force: queues that callers submit to, and the pools whose executors run their work.

package org.gypsumturn.batch.model

import org.gypsumturn.model.PoolId

/** Identity of a queue: the host and the path prefix that callers use, which outlive a change of the configuration. */
@JvmInline
public value class QueueId(public val value: String) : Comparable<QueueId> {
    override fun compareTo(other: QueueId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * How long the advisor of a queue takes, and how long its tickets hold.
 *
 * @property decideMillis fixed time of a call
 * @property perExecutorMillis time added for each executor that a call names
 * @property ticketMillis time for which a ticket is accepted
 */
public data class AdviceTerms(
    public val decideMillis: Double,
    public val perExecutorMillis: Double,
    public val ticketMillis: Long,
)

/**
 * A queue of jobs.
 *
 * @property priority 0 comes first and may preempt others
 * @property maxAttempts failed runs of one task after which its job has failed
 * @property stretch allowed run time of a job, as a multiple of its longest chain of work
 * @property targetDurationMillis allowance added to the stretched chain
 */
public data class Queue(
    public val id: QueueId,
    public val host: String,
    public val pathPrefix: String,
    public val pool: PoolId,
    public val priority: Int,
    public val maxAttempts: Int,
    public val stretch: Double,
    public val targetDurationMillis: Long,
    public val timeoutMillis: Long,
    public val advice: AdviceTerms?,
)

/**
 * A pool of executors.
 *
 * @property checksAdmission whether its executors refuse what does not fit
 * @property standby whether its instances are off and cost nothing
 * @property healthPath where an executor says whether it considers itself healthy
 */
public data class PoolRecord(
    public val id: PoolId,
    public val checksAdmission: Boolean,
    public val standby: Boolean,
    public val healthPath: String,
)

/** Limits on what callers send. */
public data class CallerLimits(public val maxBodyBytes: Int)

/** One version of the configuration, whole. Versions rise in uneven steps. */
public class FleetConfiguration(
    public val version: Long,
    public val queues: List<Queue>,
    public val pools: Map<PoolId, PoolRecord>,
    public val limits: CallerLimits,
) {
    private val queuesById = queues.associateBy { it.id }
    private val queuesByHost = queues.groupBy { it.host }

    /** The queue [id], or null where this version has none. */
    public fun queue(id: QueueId): Queue? = queuesById[id]

    /** The queue of [host] with the longest prefix that [path] begins with. */
    public fun route(host: String, path: String): Queue? =
        queuesByHost[host]?.filter { path.startsWith(it.pathPrefix) }?.maxByOrNull { it.pathPrefix.length }

    /** Pools to which a queue sends work. */
    public val workingPools: Set<PoolId> = queues.mapTo(HashSet()) { it.pool }
}

/**
 * A wave of upkeep.
 *
 * @property machines instances to take down once each
 * @property durationMillis time in which all must have been taken down
 * @property cap instances of the wave that may be down at once
 */
public data class UpkeepWave(
    public val number: Long,
    public val machines: List<MachineId>,
    public val durationMillis: Long,
    public val cap: Int,
)

/** Name of a physical machine; the executors on it come and go, each with an instance id of its own. */
@JvmInline
public value class MachineId(public val value: String) : Comparable<MachineId> {
    override fun compareTo(other: MachineId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
