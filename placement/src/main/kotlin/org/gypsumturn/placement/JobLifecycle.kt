// The state machine of a job. Every change of a job record goes through [JobRecord.after], so the rules about when a
// job may run again are in one place.

package org.gypsumturn.placement

import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobState
import org.gypsumturn.model.isFinal

/** An event in the life of a job that has been accepted. */
public sealed interface JobEvent {
    /** An owner assigns the job to [worker] as a new attempt. */
    public data class Assigned(public val worker: InstanceId, public val epoch: Epoch) : JobEvent

    /** The worker confirmed that the attempt is running. */
    public data object Started : JobEvent

    /** The attempt certainly did not start and will not start. */
    public data object NotStarted : JobEvent

    /** The attempt stopped and the job can resume from [checkpoint]. */
    public data class Checkpointed(public val checkpoint: String) : JobEvent

    /** The attempt succeeded. */
    public data class Finished(public val output: String) : JobEvent

    /** The attempt ran and failed. */
    public data class Failed(public val detail: String) : JobEvent

    /** The attempt was stopped before it finished. */
    public data object Stopped : JobEvent

    /** The lease of the attempt and its safety margin expired, or the worker no longer knows the attempt. */
    public data object Lapsed : JobEvent

    /** An operator requested that the job be cancelled. */
    public data object CancelRequested : JobEvent

    /** The job was found to be unable to run. */
    public data class Quarantined(public val reason: String) : JobEvent
}

/** The result of applying an event to a job record. */
public sealed interface Transition {
    /** The event changes the record to [record]. */
    public data class Changed(public val record: JobRecord) : Transition

    /** The event does not apply in the current state; the record does not change. */
    public data object Ignored : Transition
}

/** Whether an attempt of the job may be running. */
public val JobState.hasActiveAttempt: Boolean
    get() = this == JobState.ASSIGNED || this == JobState.RUNNING

/** Whether the job waits for its next attempt. */
public val JobState.isWaiting: Boolean
    get() = this == JobState.ACCEPTED || this == JobState.CHECKPOINTED

/**
 * Applies [event] to this record at [nowMillis].
 *
 * After an attempt whose outcome is unknown, only an idempotent job gets another attempt. A job that is not idempotent
 * ends as [JobState.MAY_HAVE_RUN]. A final state never changes.
 */
public fun JobRecord.after(event: JobEvent, nowMillis: Long): Transition = when {
    state.isFinal -> Transition.Ignored
    state.isWaiting -> afterWaiting(event, nowMillis)
    else -> afterActive(event, nowMillis)
}

private fun JobRecord.afterWaiting(event: JobEvent, nowMillis: Long): Transition = when (event) {
    is JobEvent.Assigned -> assign(event, nowMillis)
    is JobEvent.CancelRequested -> end(JobState.CANCELLED, "cancelled before an attempt was running", nowMillis)
    is JobEvent.Quarantined -> end(JobState.QUARANTINED, event.reason, nowMillis)
    else -> Transition.Ignored
}

private fun JobRecord.assign(event: JobEvent.Assigned, nowMillis: Long): Transition {
    if (cancelRequested) return end(JobState.CANCELLED, "cancelled before an attempt was running", nowMillis)
    val next =
        copy(
            state = JobState.ASSIGNED,
            attempt = attempt + 1,
            epoch = event.epoch,
            worker = event.worker,
            assignedAtMillis = nowMillis,
            reason = "",
        )
    return Transition.Changed(next)
}

private fun JobRecord.afterActive(event: JobEvent, nowMillis: Long): Transition = when (event) {
    is JobEvent.Assigned -> Transition.Ignored

    is JobEvent.Started ->
        if (state == JobState.RUNNING) Transition.Ignored else Transition.Changed(copy(state = JobState.RUNNING))

    is JobEvent.NotStarted -> requeue("the worker did not take the attempt", nowMillis)

    is JobEvent.Checkpointed -> resumeFrom(event.checkpoint, nowMillis)

    is JobEvent.Finished ->
        Transition.Changed(copy(state = JobState.FINISHED, output = event.output, finishedAtMillis = nowMillis))

    is JobEvent.Failed -> fail(event.detail, nowMillis)

    is JobEvent.Stopped ->
        copy(lostOn = emptyList()).requeueIfIdempotent("the attempt was stopped on $worker", nowMillis)

    is JobEvent.Lapsed -> lose(nowMillis)

    is JobEvent.CancelRequested ->
        if (cancelRequested) Transition.Ignored else Transition.Changed(copy(cancelRequested = true))

    is JobEvent.Quarantined -> Transition.Ignored
}

private fun JobRecord.resumeFrom(checkpoint: String, nowMillis: Long): Transition {
    if (cancelRequested) return end(JobState.CANCELLED, "cancelled while attempt $attempt was running", nowMillis)
    val resumable = copy(state = JobState.CHECKPOINTED, checkpoint = checkpoint, worker = null, lostOn = emptyList())
    return Transition.Changed(resumable)
}

/** The attempt was lost without a report, with its worker or by its lease. The job itself may be the cause. */
private fun JobRecord.lose(nowMillis: Long): Transition {
    val lost = copy(lostOn = (lostOn + listOfNotNull(worker)).distinct())
    if (spec.idempotent && !cancelRequested && lost.lostOn.size >= MAX_LOST_WORKERS) {
        val reason = "its attempts were lost on ${lost.lostOn.size} workers in a row: ${lost.lostOn.joinToString()}"
        return lost.end(JobState.QUARANTINED, reason, nowMillis)
    }
    return lost.requeueIfIdempotent("the lease of attempt $attempt on $worker lapsed", nowMillis)
}

/** Number of different workers on which the attempts of a job may be lost in a row before it counts as unrunnable. */
private const val MAX_LOST_WORKERS = 5

private fun JobRecord.fail(detail: String, nowMillis: Long): Transition {
    val failedWorkers = (failedOn + listOfNotNull(worker)).distinct()
    val failed = copy(failures = failures + 1, failedOn = failedWorkers, lostOn = emptyList())
    return failed.requeueIfIdempotent("attempt $attempt failed on $worker: $detail", nowMillis)
}

private fun JobRecord.requeueIfIdempotent(reason: String, nowMillis: Long): Transition = when {
    spec.idempotent -> requeue(reason, nowMillis)

    cancelRequested -> end(
        JobState.CANCELLED,
        "cancelled while attempt $attempt was running; it may have run",
        nowMillis,
    )

    else -> end(JobState.MAY_HAVE_RUN, "$reason; the job is not idempotent and is not run again", nowMillis)
}

private fun JobRecord.requeue(reason: String, nowMillis: Long): Transition {
    if (cancelRequested) return end(JobState.CANCELLED, "cancelled while attempt $attempt was running", nowMillis)
    val waiting = if (checkpoint == null) JobState.ACCEPTED else JobState.CHECKPOINTED
    return Transition.Changed(copy(state = waiting, worker = null, reason = reason))
}

private fun JobRecord.end(state: JobState, reason: String, nowMillis: Long): Transition =
    Transition.Changed(copy(state = state, reason = reason, finishedAtMillis = nowMillis))
