// The requests that callers can make about jobs, independent of a protocol. An adapter translates the callers' protocol
// into these calls.

package org.gypsumturn.batch.desk

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.WorkspaceDirectory
import org.gypsumturn.model.JobId
import org.gypsumturn.model.WorkspaceId

/** The queue that a request is for, if there is one. */
public sealed interface RouteResult {
    /**
     * The request is for [queue].
     *
     * @property workspaces the workspaces of the callers that may use the queue; null if it is open to all callers
     */
    public class Found(public val queue: Queue, public val workspaces: WorkspaceDirectory? = null) : RouteResult

    /** The current configuration has no queue for the request. */
    public data object Unknown : RouteResult

    /** This node has not read a configuration yet. */
    public data object NotConfigured : RouteResult
}

/** The answer to a request of a caller. */
public sealed interface CallerAnswer {
    /** The job is stored and will run. */
    public data object Accepted : CallerAnswer

    /**
     * The request was not served and has no effect; a submitted job is not stored and will not run.
     *
     * @property retryAfterMillis when the caller should try again; null for no advice
     */
    public data class NotAccepted(public val cause: Cause, public val retryAfterMillis: Long?) : CallerAnswer

    /** It is not known whether the request took effect. The caller may repeat it. */
    public data object Unknown : CallerAnswer

    /** There is no queue for the request. */
    public data object NoSuchQueue : CallerAnswer

    /** The caller has no API key that is valid for the queue. The request has no effect. */
    public data object Unauthorized : CallerAnswer

    /** The queue has no job with the requested id. */
    public data object NoSuchJob : CallerAnswer

    /** The cancellation is stored. */
    public data object CancelStored : CallerAnswer

    /** The state of a job. */
    public data class State(public val phase: JobPhase) : CallerAnswer

    /** Number of jobs of a queue of which no task has been started yet. */
    public data class Pending(public val count: Int) : CallerAnswer

    /** The request is malformed. [what] names the invalid part. */
    public data class Invalid(public val what: String) : CallerAnswer

    /** Why a request was not served. */
    public enum class Cause { OVERLOADED, NOT_READY }
}

/**
 * Handles the requests of callers. Each call replies exactly once, from any thread, within `deadlineMillis`
 * milliseconds. `workspace` is the caller's; null where the queue is open to all callers. Jobs of other workspaces do
 * not exist for the caller.
 */
public interface JobRequestHandler {
    /** Finds the queue that serves [path] at [host]. */
    public fun route(host: String, path: String): RouteResult

    /** Submits [job]. The call is idempotent: submitting a job with the same id again creates no second job. */
    public fun submit(queue: Queue, job: BatchJob, deadlineMillis: Long, reply: (CallerAnswer) -> Unit)

    /** Replies with the state of job [id]. */
    public fun queryState(id: JobId, workspace: WorkspaceId?, deadlineMillis: Long, reply: (CallerAnswer) -> Unit)

    /**
     * Cancels job [id]. The reply is [CallerAnswer.CancelStored], or [CallerAnswer.NoSuchJob] if no such job was found,
     * once the cancellation is stored. In both cases a submission that is still under way, or is repeated shortly
     * after, creates no job that runs.
     */
    public fun cancel(
        queue: Queue,
        id: JobId,
        workspace: WorkspaceId?,
        deadlineMillis: Long,
        reply: (CallerAnswer) -> Unit,
    )

    /** Replies with the number of jobs of [queue] of which no task has been started yet. */
    public fun countPending(queue: Queue, deadlineMillis: Long, reply: (CallerAnswer) -> Unit)
}
