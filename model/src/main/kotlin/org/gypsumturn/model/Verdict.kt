// Result of a request to another process. It states whether the request may have run: after [Verdict.NotRun] any
// request may be retried, after [Verdict.MayHaveRun] only an idempotent one.

package org.gypsumturn.model

/** Outcome of a request as far as its sender knows it. */
public sealed interface Verdict<out T> {
    /** The request did not run and never will. */
    public data class NotRun(public val failure: Failure) : Verdict<Nothing>

    /** The request may have run, completely or in part; its answer is unknown. */
    public data class MayHaveRun(public val failure: Failure) : Verdict<Nothing>

    /** The request ran and [value] is its complete answer. */
    public data class Ran<T>(public val value: T) : Verdict<T>
}

/**
 * The reason why a request has no answer.
 *
 * @property kind category on which programs decide
 * @property message explanation for people
 * @property retryAfterMillis time after which a retry may succeed; null if unknown
 */
public data class Failure(
    public val kind: FailureKind,
    public val message: String,
    public val retryAfterMillis: Long? = null,
)

/** Categories of failure that callers can distinguish. */
public enum class FailureKind {
    /** The other process could not be reached, or refused the connection. */
    UNREACHABLE,

    /** The deadline passed before an answer arrived. */
    TIMEOUT,

    /** A queue, quota or rate limit is exhausted. */
    OVERLOADED,

    /** The request is malformed, or refers to something that does not exist. */
    INVALID,

    /** A concurrent change was accepted first, or an idempotency key was reused with a different payload. */
    CONFLICT,

    /** The process may not act now: its lease expired, its view is stale, or it is shutting down. */
    NOT_READY,

    /** The answer was truncated, malformed, or larger than allowed. */
    BROKEN_ANSWER,

    /** The caller is not allowed to make this request. */
    FORBIDDEN,
}

/** Applies [transform] to the answer of a request that ran; other outcomes are returned unchanged. */
public inline fun <T, R> Verdict<T>.map(transform: (T) -> R): Verdict<R> = when (this) {
    is Verdict.Ran -> Verdict.Ran(transform(value))
    is Verdict.NotRun -> this
    is Verdict.MayHaveRun -> this
}

/** The answer of a request that ran; null otherwise. */
public fun <T> Verdict<T>.valueOrNull(): T? = (this as? Verdict.Ran)?.value

/** The failure of a request without an answer; null if the request ran. */
public fun Verdict<*>.failureOrNull(): Failure? = when (this) {
    is Verdict.Ran -> null
    is Verdict.NotRun -> failure
    is Verdict.MayHaveRun -> failure
}

/**
 * The answer of a request that ran. Otherwise calls [onFailure] with the outcome; it must leave the calling function,
 * usually by returning the outcome.
 */
public inline fun <T> Verdict<T>.valueOr(onFailure: (Verdict<Nothing>) -> Nothing): T = when (this) {
    is Verdict.Ran -> value
    is Verdict.NotRun -> onFailure(this)
    is Verdict.MayHaveRun -> onFailure(this)
}
