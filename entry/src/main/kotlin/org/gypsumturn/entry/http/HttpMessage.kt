// Complete HTTP requests and answers in memory, independent of the connections that carry them.

package org.gypsumturn.entry.http

import io.netty.handler.codec.http.HttpHeaders
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.TeamId

internal data class Header(val name: String, val value: String)

/** A complete answer. If [closeAfter] is true, the connection is closed after the answer. */
internal class HttpAnswer(
    val status: Int,
    val headers: List<Header>,
    val body: ByteArray,
    val closeAfter: Boolean = false,
)

/**
 * A complete request to a service.
 *
 * @property uri path and query relative to the path of the service; starts with a slash
 * @property team the team on whose behalf the caller sends the request, if it names one
 * @property key the idempotency key, if the caller gives one
 * @property waitMillis how long the caller waits at most, in milliseconds; null if it gives no deadline
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
    /** Whether the method is safe, so that the request may be repeated. */
    val safe: Boolean get() = method in SAFE_METHODS
}

internal val SAFE_METHODS: Set<String> = setOf("GET", "HEAD", "OPTIONS")

/** Names of the header fields that Gypsumturn reads or sets. */
internal object HeaderNames {
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val TEAM = "X-Team"
    const val DEADLINE = "X-Deadline-Millis"
    const val VERDICT = "X-Verdict"
    const val OVERLOADED = "X-Overloaded"
    const val TRACE_PARENT = "traceparent"
    const val RETRY_AFTER = "Retry-After"
}

private val HOP_BY_HOP_HEADERS =
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

/** The end-to-end fields of [headers], without those named in [droppedNames], which are in lower case. */
internal fun endToEndHeaders(headers: HttpHeaders, droppedNames: Set<String>): List<Header> {
    val namedByConnectionHeader =
        headers.getAll("Connection").flatMap { it.split(',') }.map { it.trim().lowercase() }.toSet()
    return headers
        .map { Header(it.key, it.value) }
        .filter { it.name.lowercase() !in HOP_BY_HOP_HEADERS + namedByConnectionHeader + droppedNames }
}
