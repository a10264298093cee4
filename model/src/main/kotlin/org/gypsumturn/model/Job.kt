// Durable jobs: what a submitter asks for and what the table records of it.

package org.gypsumturn.model

import kotlinx.serialization.Serializable

/**
 * What a submitter asks for.
 *
 * @property declared size that the submitter claims; only the start of what is learned
 * @property declaredMillis run time that the submitter claims
 * @property idempotent whether the job may run again after an attempt whose end is not known
 * @property payload input of the job, opaque to the system
 */
@Serializable
public data class JobSpec(
    public val id: JobId,
    public val pool: PoolId,
    public val team: TeamId,
    public val jobClass: JobClassId,
    public val priority: Priority,
    public val declared: Capacity,
    public val declaredMillis: Long,
    public val idempotent: Boolean,
    public val payload: String = "",
)

/** State of a job. [FINISHED], [CANCELLED], [QUARANTINED] and [MAY_HAVE_RUN] are final. */
@Serializable
public enum class JobState { ACCEPTED, ASSIGNED, RUNNING, CHECKPOINTED, FINISHED, CANCELLED, QUARANTINED, MAY_HAVE_RUN }

/** Whether no transition leaves this state. */
public val JobState.isFinal: Boolean
    get() =
        this == JobState.FINISHED ||
            this == JobState.CANCELLED ||
            this == JobState.QUARANTINED ||
            this == JobState.MAY_HAVE_RUN

/**
 * What the table records of a job. Times are milliseconds since the epoch.
 *
 * @property attempt number of the latest attempt; zero before the first
 * @property epoch epoch of the owner that made the latest attempt
 * @property failedOn workers on which an attempt failed by its own fault, as far as known
 * @property cancelRequested whether an operator asked for the job's end while an attempt may have been running
 * @property checkpoint what a later attempt needs to go on from where an earlier one stopped
 * @property reason why the job is in its state, for operators
 */
@Serializable
public data class JobRecord(
    public val spec: JobSpec,
    public val state: JobState = JobState.ACCEPTED,
    public val attempt: Int = 0,
    public val epoch: Epoch = Epoch(0),
    public val worker: InstanceId? = null,
    public val acceptedAtMillis: Long = 0,
    public val assignedAtMillis: Long = 0,
    public val finishedAtMillis: Long = 0,
    public val failures: Int = 0,
    public val failedOn: List<InstanceId> = emptyList(),
    public val cancelRequested: Boolean = false,
    public val checkpoint: String? = null,
    public val reason: String = "",
    public val output: String = "",
)
