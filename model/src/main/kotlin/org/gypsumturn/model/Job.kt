// Durable jobs: the specification that a submitter sends, and the record that the table keeps of each job.

package org.gypsumturn.model

import kotlinx.serialization.Serializable

/**
 * The specification of a job, as its submitter sends it.
 *
 * @property declared size that the submitter states; the first estimate, until usage of the job class has been measured
 * @property declaredMillis run time that the submitter states, in milliseconds
 * @property idempotent whether the job may run again after an attempt whose outcome is unknown
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

/**
 * State of a job. [FINISHED], [CANCELLED], [QUARANTINED] and [MAY_HAVE_RUN] are final. A job ends as [MAY_HAVE_RUN] if
 * it is not idempotent and the outcome of an attempt is unknown.
 */
@Serializable
public enum class JobState { ACCEPTED, ASSIGNED, RUNNING, CHECKPOINTED, FINISHED, CANCELLED, QUARANTINED, MAY_HAVE_RUN }

/** Whether a job in this state can never change its state again. */
public val JobState.isFinal: Boolean
    get() =
        this == JobState.FINISHED ||
            this == JobState.CANCELLED ||
            this == JobState.QUARANTINED ||
            this == JobState.MAY_HAVE_RUN

/**
 * The record of a job in the table. Times are milliseconds since the Unix epoch; zero means that the event has not
 * happened.
 *
 * @property attempt number of the latest attempt; zero before the first
 * @property epoch fencing token of the owner that made the latest attempt
 * @property worker worker of the latest attempt
 * @property failures number of failed attempts
 * @property failedOn workers on which an attempt is known to have failed through a fault of the job itself
 * @property lostOn workers on which the attempts since the last report of the job were lost
 * @property cancelRequested whether cancellation was requested while an attempt may have been running
 * @property checkpoint state from which a later attempt resumes the work of an earlier one
 * @property reason why the job is in its state, as text for operators
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
    public val lostOn: List<InstanceId> = emptyList(),
    public val cancelRequested: Boolean = false,
    public val checkpoint: String? = null,
    public val reason: String = "",
    public val output: String = "",
)
