// Builds HTTP answers from verdicts. The status code and the header X-Verdict tell the caller whether its request ran.

package org.gypsumturn.entry.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict

/** Values of the header X-Verdict, which are also the label values of the request metrics. */
internal object VerdictNames {
    const val RAN = "ran"
    const val NOT_RUN = "not-run"
    const val MAY_HAVE_RUN = "may-have-run"
}

/** JSON body of an answer to a request that failed. */
@Serializable
internal data class FailureBody(val verdict: String, val kind: String, val message: String)

/** Builds answers from verdicts. */
internal object Answers {
    private const val MILLIS_PER_SECOND = 1_000L
    private const val DEFAULT_RETRY_AFTER_MILLIS = 1_000L
    private const val JSON_CONTENT_TYPE = "application/json"
    private val json = Json { encodeDefaults = true }

    /** A target's [answer] with the verdict header added. */
    fun ran(answer: HttpAnswer): HttpAnswer =
        HttpAnswer(answer.status, answer.headers + Header(HeaderNames.VERDICT, VerdictNames.RAN), answer.body)

    /** An answer that states that the request was certainly not run. The status follows from the kind of [failure]. */
    fun notRun(failure: Failure): HttpAnswer =
        failureAnswer(statusOfNotRun(failure.kind), VerdictNames.NOT_RUN, failure)

    /** Like the other [notRun], with the given [status]. */
    fun notRun(status: Int, failure: Failure, closeAfter: Boolean = false): HttpAnswer =
        failureAnswer(status, VerdictNames.NOT_RUN, failure, closeAfter)

    /** An answer that states that the request may have run. */
    fun mayHaveRun(failure: Failure): HttpAnswer {
        val status = if (failure.kind == FailureKind.BROKEN_ANSWER || failure.kind == FailureKind.UNREACHABLE) {
            HttpStatus.BAD_GATEWAY
        } else {
            HttpStatus.GATEWAY_TIMEOUT
        }
        return failureAnswer(status, VerdictNames.MAY_HAVE_RUN, failure)
    }

    /** The answer to a request for which this entry has no target's answer to forward. */
    fun withoutTargetAnswer(verdict: Verdict<*>): HttpAnswer = when (verdict) {
        is Verdict.NotRun -> notRun(verdict.failure)
        is Verdict.MayHaveRun -> mayHaveRun(verdict.failure)
        is Verdict.Ran -> mayHaveRun(Failure(FailureKind.BROKEN_ANSWER, "the answer was not kept"))
    }

    /** An answer of the entry itself with the JSON text [body]. */
    fun json(status: Int, body: String, verdict: String? = null): HttpAnswer {
        val headers = listOfNotNull(
            Header("Content-Type", JSON_CONTENT_TYPE),
            verdict?.let { Header(HeaderNames.VERDICT, it) },
        )
        return HttpAnswer(status, headers, body.toByteArray())
    }

    private fun failureAnswer(status: Int, verdict: String, failure: Failure, closeAfter: Boolean = false): HttpAnswer {
        val body = json.encodeToString(FailureBody(verdict, failure.kind.name.lowercase(), failure.message))
        val headers = mutableListOf(Header("Content-Type", JSON_CONTENT_TYPE), Header(HeaderNames.VERDICT, verdict))
        if (status == HttpStatus.UNAVAILABLE || status == HttpStatus.TOO_MANY_REQUESTS) {
            headers += Header(HeaderNames.RETRY_AFTER, retryAfterSeconds(failure).toString())
        }
        return HttpAnswer(status, headers, body.toByteArray(), closeAfter)
    }

    private fun retryAfterSeconds(failure: Failure): Long {
        val millis = failure.retryAfterMillis ?: DEFAULT_RETRY_AFTER_MILLIS
        return maxOf(1L, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)
    }

    private fun statusOfNotRun(kind: FailureKind): Int = when (kind) {
        FailureKind.INVALID -> HttpStatus.BAD_REQUEST

        FailureKind.CONFLICT -> HttpStatus.CONFLICT

        FailureKind.FORBIDDEN -> HttpStatus.FORBIDDEN

        FailureKind.UNREACHABLE,
        FailureKind.TIMEOUT,
        FailureKind.OVERLOADED,
        FailureKind.NOT_READY,
        FailureKind.BROKEN_ANSWER,
        -> HttpStatus.UNAVAILABLE
    }
}

/** HTTP status codes of the answers that the entry itself gives. */
internal object HttpStatus {
    const val OK = 200
    const val ACCEPTED = 202
    const val BAD_REQUEST = 400
    const val FORBIDDEN = 403
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val REQUEST_TIMEOUT = 408
    const val CONFLICT = 409
    const val TOO_LARGE = 413
    const val URI_TOO_LONG = 414
    const val TOO_MANY_REQUESTS = 429
    const val HEADERS_TOO_LARGE = 431
    const val BAD_GATEWAY = 502
    const val UNAVAILABLE = 503
    const val GATEWAY_TIMEOUT = 504
}
