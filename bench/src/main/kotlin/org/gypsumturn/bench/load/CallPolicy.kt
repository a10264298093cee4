// What a careful caller does after each reply: it asks again only where that cannot make a request run twice against
// its will, and calls a request lost only if it never got a verdict that it was owed.

package org.gypsumturn.bench.load

/** Kinds of calls, by what makes a repeat harmless. */
public enum class CallKind {
    /** A request of a service whose requests may be repeated. */
    IDEMPOTENT,

    /** A request that must not run twice; its idempotency key makes a repeat harmless. */
    KEYED,

    /** The submission of a job; the job's id makes a repeat harmless. */
    JOB,
}

/** What one attempt at a call gave. */
public sealed interface Reply {
    /** The call ran; [body] is the answer. */
    public data class Ran(public val body: String) : Reply

    /** The entry said that the call was not run. */
    public data class NotRun(public val reason: String) : Reply

    /** The entry said that the call may have run. */
    public data class MayHaveRun(public val reason: String) : Reply

    /** No connection was made, so nothing was sent. */
    public data class NoConnection(public val reason: String) : Reply

    /** The connection broke, timed out or gave no verdict after something may have been sent. */
    public data class Broken(public val reason: String) : Reply
}

/** How a call ended for its caller. */
public enum class CallEnd { ANSWERED, NOT_RUN, MAY_HAVE_RUN, LOST }

/** What to do next. */
public sealed interface NextStep {
    /** The call is over. */
    public data class Finish(public val end: CallEnd) : NextStep

    /** Ask the next entry, under the same key and id. */
    public data object AskNext : NextStep
}

private const val MAX_KEYED_REPEATS = 3

/** What to do after [history], the newest reply last; [mayAskAgain] tells that the time for repeats still lasts. */
public fun nextStep(kind: CallKind, history: List<Reply>, mayAskAgain: Boolean): NextStep {
    val last = history.last()
    val step =
        when {
            last is Reply.Ran -> CallEnd.ANSWERED
            last is Reply.NotRun && !isAmbiguous(history) -> CallEnd.NOT_RUN
            kind == CallKind.KEYED && history.count { it is Reply.MayHaveRun } >= MAX_KEYED_REPEATS -> endOf(history)
            mayAskAgain -> return NextStep.AskNext
            else -> endOf(history)
        }
    return NextStep.Finish(step)
}

private fun isAmbiguous(history: List<Reply>) = history.any { it is Reply.MayHaveRun || it is Reply.Broken }

private fun endOf(history: List<Reply>): CallEnd = when {
    !isAmbiguous(history) -> CallEnd.NOT_RUN
    history.any { it is Reply.MayHaveRun || it is Reply.NotRun } -> CallEnd.MAY_HAVE_RUN
    else -> CallEnd.LOST
}
