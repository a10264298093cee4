// Records of the fleet: pools with their instances and availability budgets, the services and teams that use them,
// and the system's own nodes. Records are immutable; `revision` is the version of the view that last changed a record.

package org.gypsumturn.model

import kotlinx.serialization.Serializable

/** An amount of resources: processors in thousandths of a core, memory in mebibytes, and whole accelerators. */
@Serializable
public data class Capacity(
    public val processorsMilli: Long,
    public val memoryMib: Long,
    public val accelerators: Int = 0,
) {
    /** Adds both capacities part by part. */
    public operator fun plus(other: Capacity): Capacity = Capacity(
        processorsMilli + other.processorsMilli,
        memoryMib + other.memoryMib,
        accelerators + other.accelerators,
    )

    /** Subtracts [other] part by part; parts of the result may be negative. */
    public operator fun minus(other: Capacity): Capacity = Capacity(
        processorsMilli - other.processorsMilli,
        memoryMib - other.memoryMib,
        accelerators - other.accelerators,
    )

    /** Whether no part of this capacity exceeds the same part of [other]. */
    public fun fitsIn(other: Capacity): Boolean = processorsMilli <= other.processorsMilli &&
        memoryMib <= other.memoryMib &&
        accelerators <= other.accelerators

    public companion object {
        public val ZERO: Capacity = Capacity(0, 0, 0)
    }
}

/** Location of an instance. Instances in the same rack, data centre or region can fail together. */
@Serializable
public data class FailureDomain(
    public val region: RegionId,
    public val dataCentre: DataCentreId,
    public val rack: RackId,
)

/** Network address of a process; [host] is an IP address, not a host name. */
@Serializable
public data class Address(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"
}

/**
 * Limit on the instances of a pool that may be out of service at the same time, whether planned or not.
 *
 * @property maxUnavailable largest number of unavailable instances in the whole pool
 * @property maxUnavailablePerDataCentre largest number of instances that may be taken out of service on purpose in one
 *   data centre; null means no limit
 */
@Serializable
public data class AvailabilityBudget(
    public val maxUnavailable: Int,
    public val maxUnavailablePerDataCentre: Int? = null,
)

/** The kind of work that a pool does. */
@Serializable
public enum class PoolRole {
    /** Serves callers' requests. */
    SERVING,

    /** Runs jobs. */
    WORKING,

    /** Supplies instances to other pools that need more capacity, and does back-office work otherwise. */
    SPARE,
}

/** A group of instances that do the same work and share an availability budget. */
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
    /** Accepts new work. */
    SERVING,

    /** Accepts no new work and finishes the work it has. Its reservation counts against the pool's budget. */
    DRAINING,

    /** Has no work left, and every live entry has acknowledged the drain. */
    DRAINED,

    /** The platform was asked to reboot the instance. */
    REBOOTING,

    /** Running again after a start, a reboot or a move, but without its full share of the load yet. */
    WARMING,

    /** Failed, or disappeared without an announcement. */
    LOST,

    /** The platform announced that it will remove the instance. */
    LEAVING,
}

/** Why an instance is being taken out of service. */
@Serializable
public enum class ReservationPurpose { REBOOT, MOVE, OPERATOR_DRAIN }

/**
 * A claim on a pool's availability budget, held by an instance from its drain until it serves again.
 *
 * @property wave maintenance wave that drains the instance; null if there is none
 * @property destination pool to which the instance moves; null if it stays in its pool
 * @property drainVersion version of the view that started the drain
 */
@Serializable
public data class Reservation(
    public val purpose: ReservationPurpose,
    public val wave: WaveId? = null,
    public val destination: PoolId? = null,
    public val drainVersion: ViewVersion = ViewVersion.NONE,
)

/**
 * An instance of the fleet. It belongs to exactly one pool. Times are milliseconds since the Unix epoch.
 *
 * @property slots number of requests that the instance runs at the same time
 * @property connections number of connections that all entries together may open to the instance
 * @property stateSinceMillis time of the latest change of [state]
 * @property maintainedAtMillis time of the latest reboot for maintenance; before the first, time at which the instance
 *   was added
 */
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

/** Priority of work. Work that waits is started in the order of these constants. */
@Serializable
public enum class Priority { URGENT, NORMAL, BATCH }

/**
 * A service that callers reach through the entries.
 *
 * @property timeoutMillis longest time from the arrival of a request to its answer
 * @property idempotent whether the system may retry requests that carry no idempotency key
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
 * A team that shares the fleet with other teams.
 *
 * @property share weight of the team when capacity outside all quotas is divided
 * @property jobQuota largest total capacity of the team's running jobs; null means no limit
 * @property maxRequestsInFlight largest number of the team's requests that may be queued or running at one entry; null
 *   means no limit
 */
@Serializable
public data class Team(
    public val id: TeamId,
    public val share: Double = 1.0,
    public val jobQuota: Capacity? = null,
    public val maxRequestsInFlight: Int? = null,
    public val revision: ViewVersion = ViewVersion.NONE,
)

/** The program that a node runs. */
@Serializable
public enum class NodeRole { ENTRY, CONTROL }

/** One of the system's own processes, as recorded in the view. Peers reach it at [peerAddress]. */
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
 * A maintenance wave, which reboots every instance of its pools once, within the pools' availability budgets.
 *
 * @property canaries number of instances that are rebooted one by one before all others
 * @property maxParallel largest number of instances that this wave takes out of service at the same time
 * @property maxFailures number of failed instances at which the wave halts
 * @property reason why the wave is in its state, as text for operators
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
