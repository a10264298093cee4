// Requests and answers as the entry holds them: complete, in memory, independent of the connection that carried them.

package org.gypsumturn.entry.http

import io.netty.handler.codec.http.HttpHeaders
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.TeamId

/** One header field. */
internal data class Header(val name: String, val value: String)

/** A complete answer. [closeAfter] tells that the connection cannot carry further requests. */
internal class HttpAnswer(
    val status: Int,
    val headers: List<Header>,
    val body: ByteArray,
    val closeAfter: Boolean = false,
)

/**
 * A complete request to a service.
 *
 * @property uri path and query below the service's own path
 * @property waitMillis how long the caller is willing to wait; null if it did not say
 */
internal class ServiceRequest(
    val service: ServiceId,
    val method: String,
    val uri: String,
    val headers: List<Header>,
    val body: ByteArray,
    val team: TeamId?,
    val key: IdempotencyKey?,
    val waitMillis: Long?,
) {
    /** Whether the method promises that a repeat does no harm. */
    val safe: Boolean get() = method in SAFE_METHODS
}

internal val SAFE_METHODS: Set<String> = setOf("GET", "HEAD", "OPTIONS")

/** Names of the header fields that belong to the system. */
internal object HeaderNames {
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val TEAM = "X-Team"
    const val DEADLINE = "X-Deadline-Millis"
    const val VERDICT = "X-Verdict"
    const val OVERLOADED = "X-Overloaded"
    const val TRACE_PARENT = "traceparent"
    const val RETRY_AFTER = "Retry-After"
}

private val CONNECTION_HEADERS =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )

/** The fields of [headers] that concern more than one connection, without those in [dropped] (lower case). */
internal fun endToEndHeaders(headers: HttpHeaders, dropped: Set<String>): List<Header> {
    val named =
        headers.getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }.toSet()
    return headers
        .map { Header(it.key, it.value) }
        .filter { it.name.lowercase() !in CONNECTION_HEADERS + named + dropped }
}
