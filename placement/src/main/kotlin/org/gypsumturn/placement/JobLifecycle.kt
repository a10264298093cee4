// The life of a job as a state machine. Every change of a job's record goes through [JobRecord.after], so the rules
// on what may run again stand in one place.

package org.gypsumturn.placement

import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobState
import org.gypsumturn.model.isFinal

/** What can happen to a job after it was accepted. */
public sealed interface JobEvent {
    /** An owner gives the job to [worker] under a new attempt number. */
    public data class Assigned(public val worker: InstanceId, public val epoch: Epoch) : JobEvent

    /** The worker confirmed that the attempt runs. */
    public data object Started : JobEvent

    /** The attempt certainly did not start and will not. */
    public data object NotStarted : JobEvent

    /** The attempt stopped and can be resumed from [checkpoint]. */
    public data class Checkpointed(public val checkpoint: String) : JobEvent

    /** The attempt ended well. */
    public data class Finished(public val output: String) : JobEvent

    /** The attempt ran and failed. */
    public data class Failed(public val detail: String) : JobEvent

    /** The attempt was stopped before its end. */
    public data object Stopped : JobEvent

    /** The attempt's lease and margin passed, or its worker no longer knows it. */
    public data object Lapsed : JobEvent

    /** An operator asked for the job's end. */
    public data object CancelRequested : JobEvent

    /** The job was found unable to run. */
    public data class Quarantined(public val reason: String) : JobEvent
}

/** How a record answers an event. */
public sealed interface Transition {
    /** The event changes the record to [record]. */
    public data class Changed(public val record: JobRecord) : Transition

    /** The event has no meaning in the record's state; the record stays as it is. */
    public data object Ignored : Transition
}

/** Whether an attempt of the job may be running. */
public val JobState.isHeld: Boolean
    get() = this == JobState.ASSIGNED || this == JobState.RUNNING

/** Whether the job waits for an attempt. */
public val JobState.isWaiting: Boolean
    get() = this == JobState.ACCEPTED || this == JobState.CHECKPOINTED

/**
 * The record after [event] at [nowMillis].
 *
 * An attempt without a known end is followed by another only if the job is idempotent; otherwise the job ends as
 * [JobState.MAY_HAVE_RUN]. A final state never changes.
 */
public fun JobRecord.after(event: JobEvent, nowMillis: Long): Transition = when {
    state.isFinal -> Transition.Ignored
    state.isWaiting -> afterWaiting(event, nowMillis)
    else -> afterHeld(event, nowMillis)
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

private fun JobRecord.afterHeld(event: JobEvent, nowMillis: Long): Transition = when (event) {
    is JobEvent.Assigned -> Transition.Ignored

    is JobEvent.Started ->
        if (state == JobState.RUNNING) Transition.Ignored else Transition.Changed(copy(state = JobState.RUNNING))

    is JobEvent.NotStarted -> waitAgain("the worker did not take the attempt", nowMillis)

    is JobEvent.Checkpointed -> resumeFrom(event.checkpoint, nowMillis)

    is JobEvent.Finished ->
        Transition.Changed(copy(state = JobState.FINISHED, output = event.output, finishedAtMillis = nowMillis))

    is JobEvent.Failed -> fail(event.detail, nowMillis)

    is JobEvent.Stopped -> runAgain("the attempt was stopped on $worker", nowMillis)

    is JobEvent.Lapsed -> runAgain("the lease of attempt $attempt on $worker lapsed", nowMillis)

    is JobEvent.CancelRequested ->
        if (cancelRequested) Transition.Ignored else Transition.Changed(copy(cancelRequested = true))

    is JobEvent.Quarantined -> Transition.Ignored
}

private fun JobRecord.resumeFrom(checkpoint: String, nowMillis: Long): Transition {
    if (cancelRequested) return end(JobState.CANCELLED, "cancelled while attempt $attempt was running", nowMillis)
    return Transition.Changed(copy(state = JobState.CHECKPOINTED, checkpoint = checkpoint, worker = null))
}

private fun JobRecord.fail(detail: String, nowMillis: Long): Transition {
    val failedWorkers = (failedOn + listOfNotNull(worker)).distinct()
    val failed = copy(failures = failures + 1, failedOn = failedWorkers)
    return failed.runAgain("attempt $attempt failed on $worker: $detail", nowMillis)
}

private fun JobRecord.runAgain(why: String, nowMillis: Long): Transition = when {
    spec.idempotent -> waitAgain(why, nowMillis)

    cancelRequested -> end(
        JobState.CANCELLED,
        "cancelled while attempt $attempt was running; it may have run",
        nowMillis,
    )

    else -> end(JobState.MAY_HAVE_RUN, "$why; the job is not idempotent and is not run again", nowMillis)
}

private fun JobRecord.waitAgain(why: String, nowMillis: Long): Transition {
    if (cancelRequested) return end(JobState.CANCELLED, "cancelled while attempt $attempt was running", nowMillis)
    val waiting = if (checkpoint == null) JobState.ACCEPTED else JobState.CHECKPOINTED
    return Transition.Changed(copy(state = waiting, worker = null, reason = why))
}

private fun JobRecord.end(state: JobState, why: String, nowMillis: Long): Transition =
    Transition.Changed(copy(state = state, reason = why, finishedAtMillis = nowMillis))
