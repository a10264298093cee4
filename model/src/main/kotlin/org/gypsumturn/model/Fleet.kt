// What the fleet consists of: pools, their instances and availability budgets, the services and teams that use them,
// and the system's own nodes. All records are immutable; each carries the version of the view that last changed it.

package org.gypsumturn.model

import kotlinx.serialization.Serializable

/** Processors in thousandths of a core, memory in mebibytes, and whole accelerators. */
@Serializable
public data class Capacity(
    public val processorsMilli: Long,
    public val memoryMib: Long,
    public val accelerators: Int = 0,
) {
    /** The sum of both capacities. */
    public operator fun plus(other: Capacity): Capacity = Capacity(
        processorsMilli + other.processorsMilli,
        memoryMib + other.memoryMib,
        accelerators + other.accelerators,
    )

    /** The difference of both capacities; parts may become negative. */
    public operator fun minus(other: Capacity): Capacity = Capacity(
        processorsMilli - other.processorsMilli,
        memoryMib - other.memoryMib,
        accelerators - other.accelerators,
    )

    /** Whether this capacity is at most [other] in each part. */
    public fun fitsIn(other: Capacity): Boolean = processorsMilli <= other.processorsMilli &&
        memoryMib <= other.memoryMib &&
        accelerators <= other.accelerators

    public companion object {
        /** No capacity. */
        public val ZERO: Capacity = Capacity(0, 0, 0)
    }
}

/** Where an instance stands. Instances of one rack, one data centre or one region can fail together. */
@Serializable
public data class FailureDomain(
    public val region: RegionId,
    public val dataCentre: DataCentreId,
    public val rack: RackId,
)

/** Host (an IP number) and port of a process. */
@Serializable
public data class Address(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"
}

/**
 * How many instances of a pool may be out of service at once, for any reason, planned or not.
 *
 * @property maxUnavailable largest number in the pool
 * @property maxUnavailablePerDataCentre largest number of planned absences in one data centre; null for no such bound
 */
@Serializable
public data class AvailabilityBudget(
    public val maxUnavailable: Int,
    public val maxUnavailablePerDataCentre: Int? = null,
)

/** What a pool is for. */
@Serializable
public enum class PoolRole {
    /** Serves callers' requests. */
    SERVING,

    /** Runs jobs. */
    WORKING,

    /** Lends its instances to other pools when they need more, and does back-office work otherwise. */
    SPARE,
}

/** A group of instances that share a duty and an availability budget. */
@Serializable
public data class Pool(
    public val id: PoolId,
    public val role: PoolRole,
    public val budget: AvailabilityBudget,
    public val minInstances: Int = 0,
    public val maxInstances: Int = Int.MAX_VALUE,
    public val revision: ViewVersion = ViewVersion.NONE,
)

/** State of an instance. Only [SERVING] counts as available. */
@Serializable
public enum class InstanceState {
    /** Takes work. */
    SERVING,

    /** Takes no new work; finishes what it runs. A reservation in the budget is held. */
    DRAINING,

    /** Drained, and every live entry knows it. */
    DRAINED,

    /** A reboot was asked of the platform. */
    REBOOTING,

    /** Back from a reboot, a move or a start; not yet trusted with its full share. */
    WARMING,

    /** Failed or vanished without notice. */
    LOST,

    /** The platform announced that it will go. */
    LEAVING,
}

/** Why an instance is being taken out of service. */
@Serializable
public enum class ReservationPurpose { REBOOT, MOVE, OPERATOR_DRAIN }

/** A claim on a pool's availability budget, held by an instance from its drain until it serves again. */
@Serializable
public data class Reservation(
    public val purpose: ReservationPurpose,
    public val wave: WaveId? = null,
    public val destination: PoolId? = null,
    public val drainVersion: ViewVersion = ViewVersion.NONE,
)

/** A member of the fleet. It belongs to exactly one pool. Times are milliseconds since the epoch. */
@Serializable
public data class Instance(
    public val id: InstanceId,
    public val pool: PoolId,
    public val domain: FailureDomain,
    public val address: Address,
    public val capacity: Capacity,
    public val slots: Int,
    public val connections: Int,
    public val state: InstanceState = InstanceState.SERVING,
    public val reservation: Reservation? = null,
    public val stateSinceMillis: Long = 0,
    public val maintainedAtMillis: Long = 0,
    public val revision: ViewVersion = ViewVersion.NONE,
)

/** Order in which work is started. */
@Serializable
public enum class Priority { URGENT, NORMAL, BATCH }

/**
 * A service that callers address through the entries.
 *
 * @property timeoutMillis time from arrival within which a request must have its answer
 * @property idempotent whether requests without an idempotency key may be repeated by the system
 */
@Serializable
public data class Service(
    public val id: ServiceId,
    public val pool: PoolId,
    public val priority: Priority = Priority.NORMAL,
    public val timeoutMillis: Long = 10_000,
    public val idempotent: Boolean = true,
    public val maxQueued: Int = 1_000,
    public val maxAnswerBytes: Int = 1_048_576,
    public val revision: ViewVersion = ViewVersion.NONE,
)

/**
 * A team that shares the fleet.
 *
 * @property share weight in the division of what no quota claims
 * @property jobQuota capacity that the team's running jobs may hold
 * @property maxRequestsInFlight requests of the team that may be queued or running at one entry
 */
@Serializable
public data class Team(
    public val id: TeamId,
    public val share: Double = 1.0,
    public val jobQuota: Capacity? = null,
    public val maxRequestsInFlight: Int? = null,
    public val revision: ViewVersion = ViewVersion.NONE,
)

/** The programs of the system. */
@Serializable
public enum class NodeRole { ENTRY, CONTROL }

/** One of the system's own processes, as recorded in the view. */
@Serializable
public data class Node(
    public val id: NodeId,
    public val role: NodeRole,
    public val region: RegionId,
    public val dataCentre: DataCentreId,
    public val peerAddress: Address,
    public val revision: ViewVersion = ViewVersion.NONE,
)

/** State of a maintenance wave. */
@Serializable
public enum class WaveState { RUNNING, PAUSED, HALTED, ABORTED, FINISHED }

/**
 * A maintenance wave: reboots every instance of its pools once, within their budgets.
 *
 * @property canaries instances that are rebooted alone before all others
 * @property maxParallel largest number of instances out of service for this wave at once
 * @property maxFailures failed instances at which the wave halts
 * @property reason why the wave is in its state, for operators
 */
@Serializable
public data class Wave(
    public val id: WaveId,
    public val pools: List<PoolId>,
    public val canaries: Int = 1,
    public val maxParallel: Int = Int.MAX_VALUE,
    public val maxFailures: Int = 2,
    public val rebootTimeoutMillis: Long = 600_000,
    public val state: WaveState = WaveState.RUNNING,
    public val reason: String = "",
    public val startedAtMillis: Long = 0,
    public val done: List<InstanceId> = emptyList(),
    public val failed: List<InstanceId> = emptyList(),
    public val revision: ViewVersion = ViewVersion.NONE,
)
