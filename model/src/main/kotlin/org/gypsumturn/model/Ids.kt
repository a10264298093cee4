// Identifiers of everything that the system names. Each is a value class, so that one kind of identifier cannot be
// passed where another is expected, at no cost at run time in most uses.

package org.gypsumturn.model

import kotlinx.serialization.Serializable

/** Name of a pool: a group of instances that serve the same services or run the same jobs. */
@JvmInline
@Serializable
public value class PoolId(public val value: String) : Comparable<PoolId> {
    override fun compareTo(other: PoolId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of an instance of the fleet: an executor that serves requests, a worker that runs jobs, or both. */
@JvmInline
@Serializable
public value class InstanceId(public val value: String) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a service that callers address. */
@JvmInline
@Serializable
public value class ServiceId(public val value: String) : Comparable<ServiceId> {
    override fun compareTo(other: ServiceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a team that shares the fleet under a quota. */
@JvmInline
@Serializable
public value class TeamId(public val value: String) : Comparable<TeamId> {
    override fun compareTo(other: TeamId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifier of a job, chosen by the submitter or by the accepting process; unique in the fleet. */
@JvmInline
@Serializable
public value class JobId(public val value: String) : Comparable<JobId> {
    override fun compareTo(other: JobId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a class of jobs whose size and run time are learned together. */
@JvmInline
@Serializable
public value class JobClassId(public val value: String) : Comparable<JobClassId> {
    override fun compareTo(other: JobClassId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifier of a maintenance wave. */
@JvmInline
@Serializable
public value class WaveId(public val value: String) : Comparable<WaveId> {
    override fun compareTo(other: WaveId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a region: a group of data centres that can lose its connection to other regions. */
@JvmInline
@Serializable
public value class RegionId(public val value: String) : Comparable<RegionId> {
    override fun compareTo(other: RegionId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a data centre. */
@JvmInline
@Serializable
public value class DataCentreId(public val value: String) : Comparable<DataCentreId> {
    override fun compareTo(other: DataCentreId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a rack within a data centre, unique in the fleet. */
@JvmInline
@Serializable
public value class RackId(public val value: String) : Comparable<RackId> {
    override fun compareTo(other: RackId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifier of one of the system's own processes (entry or control); new for each start of the process. */
@JvmInline
@Serializable
public value class NodeId(public val value: String) : Comparable<NodeId> {
    override fun compareTo(other: NodeId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifier of a mutating call, chosen by its caller; repeats of a call carry the same identifier. */
@JvmInline
@Serializable
public value class OperationId(public val value: String) : Comparable<OperationId> {
    override fun compareTo(other: OperationId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of the person or program that calls the administration API. */
@JvmInline
@Serializable
public value class OperatorId(public val value: String) : Comparable<OperatorId> {
    override fun compareTo(other: OperatorId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Key that a caller gives to a request that must not run twice. */
@JvmInline
@Serializable
public value class IdempotencyKey(public val value: String) : Comparable<IdempotencyKey> {
    override fun compareTo(other: IdempotencyKey): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Number of a view of the fleet. A greater version is newer; each accepted change adds one. */
@JvmInline
@Serializable
public value class ViewVersion(public val value: Long) : Comparable<ViewVersion> {
    override fun compareTo(other: ViewVersion): Int = value.compareTo(other.value)

    /** The version that the next accepted change gives. */
    public fun next(): ViewVersion = ViewVersion(value + 1)

    override fun toString(): String = value.toString()

    public companion object {
        /** The version of a fleet to which no change has been made. */
        public val NONE: ViewVersion = ViewVersion(0)
    }
}

/** Fencing number of a duty's holder. A holder with a smaller epoch than the recorded one may not write. */
@JvmInline
@Serializable
public value class Epoch(public val value: Long) : Comparable<Epoch> {
    override fun compareTo(other: Epoch): Int = value.compareTo(other.value)

    /** The epoch of the next holder. */
    public fun next(): Epoch = Epoch(value + 1)

    override fun toString(): String = value.toString()
}

/** Revision of a row of the platform's table; zero where there is no row. */
@JvmInline
@Serializable
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The revision of a row that does not exist. */
        public val ABSENT: Revision = Revision(0)
    }
}
