// Identifiers used throughout the system. Each is a value class, so that the compiler rejects one kind of identifier
// where another is expected; most uses need no allocation for the wrapper.

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

/** Name of a workspace: a customer whose jobs share the pools with those of others. */
@JvmInline
@Serializable
public value class WorkspaceId(public val value: String) : Comparable<WorkspaceId> {
    override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifier of a job, chosen by the submitter or by the accepting process; unique in the fleet. */
@JvmInline
@Serializable
public value class JobId(public val value: String) : Comparable<JobId> {
    override fun compareTo(other: JobId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a class of similar jobs. Size and run time are estimated per class from the jobs that have run. */
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

/** Name of a region: a group of data centres that can lose its network connection to other regions as a whole. */
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

/** Identifier of one of the system's own processes (entry or control). Each start of a process gets a new one. */
@JvmInline
@Serializable
public value class NodeId(public val value: String) : Comparable<NodeId> {
    override fun compareTo(other: NodeId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifier of a mutating call, chosen by its caller. Retries of the call carry the same identifier. */
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

/** Key that a caller attaches to a request that must run at most once. */
@JvmInline
@Serializable
public value class IdempotencyKey(public val value: String) : Comparable<IdempotencyKey> {
    override fun compareTo(other: IdempotencyKey): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Version of the fleet view. Each accepted change increments it by one, so a greater version is newer. */
@JvmInline
@Serializable
public value class ViewVersion(public val value: Long) : Comparable<ViewVersion> {
    override fun compareTo(other: ViewVersion): Int = value.compareTo(other.value)

    /** The version that the next accepted change produces. */
    public fun next(): ViewVersion = ViewVersion(value + 1)

    override fun toString(): String = value.toString()

    public companion object {
        /** The version of an empty view, before the first change. */
        public val NONE: ViewVersion = ViewVersion(0)
    }
}

/** Fencing token of a lease holder. The writes of a holder are rejected once a greater epoch has been recorded. */
@JvmInline
@Serializable
public value class Epoch(public val value: Long) : Comparable<Epoch> {
    override fun compareTo(other: Epoch): Int = value.compareTo(other.value)

    /** The epoch of the next lease holder. */
    public fun next(): Epoch = Epoch(value + 1)

    override fun toString(): String = value.toString()
}

/** Revision of a row in the platform's table; zero means that the row does not exist. */
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
