// The verdict on anything that is asked of another process: it says whether the request may have run. A caller may
// repeat a request freely after [Verdict.NotRun], and after [Verdict.MayHaveRun] only if the request is idempotent.

package org.gypsumturn.model

/** Outcome of a request, from the point of view of the one who sent it. */
public sealed interface Verdict<out T> {
    /** The request was certainly not run, and will not be. */
    public data class NotRun(public val failure: Failure) : Verdict<Nothing>

    /** The request may have run, in part or as a whole; its answer is not known. */
    public data class MayHaveRun(public val failure: Failure) : Verdict<Nothing>

    /** The request ran and [value] is its complete answer. */
    public data class Ran<T>(public val value: T) : Verdict<T>
}

/** Why a request has no answer: a [kind] for programs, and a [message] for people. */
public data class Failure(
    public val kind: FailureKind,
    public val message: String,
    public val retryAfterMillis: Long? = null,
)

/** Kinds of failure that callers can tell apart. */
public enum class FailureKind {
    /** The other side could not be reached, or refused the connection. */
    UNREACHABLE,

    /** The deadline passed before an answer arrived. */
    TIMEOUT,

    /** A queue, quota or rate limit is exhausted. */
    OVERLOADED,

    /** The request itself is malformed or names something unknown. */
    INVALID,

    /** Another change came first, or a key was used with another payload. */
    CONFLICT,

    /** This process may not act: its lease lapsed, its view is stale, or it is shutting down. */
    NOT_READY,

    /** The answer was cut short, malformed, or larger than allowed. */
    BROKEN_ANSWER,

    /** The caller may not do this. */
    FORBIDDEN,
}

/** Applies [transform] to the answer of a request that ran. */
public inline fun <T, R> Verdict<T>.map(transform: (T) -> R): Verdict<R> = when (this) {
    is Verdict.Ran -> Verdict.Ran(transform(value))
    is Verdict.NotRun -> this
    is Verdict.MayHaveRun -> this
}

/** The answer of a request that ran, or null. */
public fun <T> Verdict<T>.valueOrNull(): T? = (this as? Verdict.Ran)?.value

/** The failure of a request without an answer, or null. */
public fun Verdict<*>.failureOrNull(): Failure? = when (this) {
    is Verdict.Ran -> null
    is Verdict.NotRun -> failure
    is Verdict.MayHaveRun -> failure
}

/** The answer of a request that ran; otherwise [leave] is called with the verdict, to return it from the caller. */
public inline fun <T> Verdict<T>.valueOr(leave: (Verdict<Nothing>) -> Nothing): T = when (this) {
    is Verdict.Ran -> value
    is Verdict.NotRun -> leave(this)
    is Verdict.MayHaveRun -> leave(this)
}
