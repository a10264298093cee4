// The retry policy of the callers of the load tool. A call is repeated only where that can't make a request run more
// often than its caller allows, and a call counts as lost only if it got no verdict at all although it may have run.

package org.gypsumturn.bench.load

/** Kinds of calls, by the reason for which they may safely be repeated. */
public enum class CallKind {
    /** A request to a service whose requests are idempotent. */
    IDEMPOTENT,

    /** A request that must run at most once, which its idempotency key ensures when it is repeated. */
    KEYED,

    /** The submission of a job, which the job's id identifies when it is repeated. */
    JOB,
}

/** The result of one attempt at a call. */
public sealed interface Reply {
    /** The entry's verdict is that the call ran; [body] is the answer. */
    public data class Ran(public val body: String) : Reply

    /** The entry's verdict is that the call was not run. */
    public data class NotRun(public val reason: String) : Reply

    /** The entry's verdict is that the call may have run. */
    public data class MayHaveRun(public val reason: String) : Reply

    /** No connection was made, so nothing was sent. */
    public data class NoConnection(public val reason: String) : Reply

    /** The connection broke or timed out, or the answer had no verdict, when the call may already have been sent. */
    public data class Broken(public val reason: String) : Reply
}

/** The outcome of a call for its caller, over all attempts. */
public enum class CallOutcome { ANSWERED, NOT_RUN, MAY_HAVE_RUN, LOST }

/** What the caller does after an attempt. */
public sealed interface NextStep {
    /** Ends the call with [outcome]. */
    public data class Finish(public val outcome: CallOutcome) : NextStep

    /** Repeats the call at the next entry, with the same key and id. */
    public data object RetryAtNextEntry : NextStep
}

/** A keyed call is not repeated after this many replies that it may have run. */
private const val MAX_MAY_HAVE_RUN_REPLIES = 3

/**
 * Decides what the caller does after the replies in [history], the newest of which is the last. [mayRetry] is false
 * once the time for retries has elapsed.
 */
public fun nextStep(kind: CallKind, history: List<Reply>, mayRetry: Boolean): NextStep {
    val last = history.last()
    val outcome =
        when {
            last is Reply.Ran -> CallOutcome.ANSWERED

            last is Reply.NotRun && !mayHaveRun(history) -> CallOutcome.NOT_RUN

            kind == CallKind.KEYED && history.count { it is Reply.MayHaveRun } >= MAX_MAY_HAVE_RUN_REPLIES ->
                finalOutcome(history)

            mayRetry -> return NextStep.RetryAtNextEntry

            else -> finalOutcome(history)
        }
    return NextStep.Finish(outcome)
}

private fun mayHaveRun(history: List<Reply>) = history.any { it is Reply.MayHaveRun || it is Reply.Broken }

private fun finalOutcome(history: List<Reply>): CallOutcome = when {
    !mayHaveRun(history) -> CallOutcome.NOT_RUN
    history.any { it is Reply.MayHaveRun || it is Reply.NotRun } -> CallOutcome.MAY_HAVE_RUN
    else -> CallOutcome.LOST
}
