// Configuration that the operator has applied: the queues that callers submit to, the pools whose executors run the
// jobs, and waves of machine upkeep.

package org.gypsumturn.batch.model

import kotlinx.serialization.Serializable
import org.gypsumturn.model.PoolId

/** Identity of a queue: the host and the path prefix that callers use. It stays the same across configurations. */
@JvmInline
public value class QueueId(public val value: String) : Comparable<QueueId> {
    override fun compareTo(other: QueueId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/**
 * Response time of the placement advisor of a queue, and the validity of its tickets.
 *
 * @property decideMillis fixed part of the advisor's response time
 * @property perExecutorMillis additional response time for each executor that a call names
 * @property ticketMillis time for which executors accept a ticket, where the advisor's answer names none
 */
@Serializable
public data class AdvisorTiming(
    public val decideMillis: Double,
    public val perExecutorMillis: Double,
    public val ticketMillis: Long,
)

/**
 * A queue of jobs.
 *
 * @property pool pool whose executors run the jobs of this queue
 * @property priority priority class; 0 is the most urgent and may preempt the others
 * @property maxAttempts number of failed runs of one task after which its job fails
 * @property stretch factor on the longest chain of dependent work of a job in its duration target
 * @property targetDurationMillis constant that is added to the stretched chain in the duration target
 * @property advice timing of the placement advisor; null where the queue needs no advice
 * @property isPublic whether callers need no API key, so that its jobs belong to no workspace
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
    public val advice: AdvisorTiming?,
    public val isPublic: Boolean = false,
)

/**
 * A pool of executors.
 *
 * @property checksAdmission whether its executors refuse tasks that do not fit
 * @property standby whether its instances are switched off and cost nothing
 * @property healthPath URL path of the executors' health check
 */
public data class PoolRecord(
    public val id: PoolId,
    public val checksAdmission: Boolean,
    public val standby: Boolean,
    public val healthPath: String,
)

/** Limits on the requests of callers. */
public data class CallerLimits(public val maxBodyBytes: Int)

/**
 * One complete version of the configuration. Versions increase, but not always by one.
 *
 * @property workspaces the workspaces that share the pools; null where the fleet has a single customer, whose callers
 * need no API keys
 */
public class FleetConfiguration(
    public val version: Long,
    public val queues: List<Queue>,
    public val pools: Map<PoolId, PoolRecord>,
    public val limits: CallerLimits,
    public val workspaces: WorkspaceDirectory? = null,
) {
    private val queuesById = queues.associateBy { it.id }
    private val queuesByHost = queues.groupBy { it.host }

    /** The queue [id], or null where this version has none. */
    public fun queue(id: QueueId): Queue? = queuesById[id]

    /** The queue of [host] with the longest path prefix that [path] starts with, or null where none matches. */
    public fun route(host: String, path: String): Queue? =
        queuesByHost[host]?.filter { path.startsWith(it.pathPrefix) }?.maxByOrNull { it.pathPrefix.length }

    /** Pools that run the jobs of at least one queue. */
    public val workingPools: Set<PoolId> = queues.mapTo(HashSet()) { it.pool }
}

/**
 * A wave of upkeep: planned maintenance for which each of a set of machines is taken down once.
 *
 * @property machines machines to take down, each of them once
 * @property durationMillis time within which all of them must have been taken down
 * @property cap upper bound on the machines of the wave that are down at the same time
 */
public data class UpkeepWave(
    public val number: Long,
    public val machines: List<MachineId>,
    public val durationMillis: Long,
    public val cap: Int,
)

/** Name of a physical machine. Each executor that is started on it has its own instance id. */
@JvmInline
public value class MachineId(public val value: String) : Comparable<MachineId> {
    override fun compareTo(other: MachineId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
