// Reads what a caller asks for out of the request line and the header fields, and checks it.

package org.gypsumturn.entry.http

import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.TeamId

/** What a caller asks for. */
internal sealed interface Route {
    /** A request to a service. */
    class ToService(val request: ServiceRequest) : Route

    /** A job to accept; [body] is its specification. */
    class SubmitJob(val body: String) : Route

    /** The record of a job. */
    class GetJob(val pool: PoolId, val id: JobId) : Route

    /** Whether the process lives. */
    data object Live : Route

    /** Whether the process takes new work. */
    data object Ready : Route

    /** A request that cannot be served. */
    class Rejected(val answer: HttpAnswer) : Route
}

private val NAME = Regex("[A-Za-z0-9._-]{1,128}")
private val KEY = Regex("[A-Za-z0-9._:-]{1,128}")
private val DROPPED_FROM_CALLER = setOf("x-deadline-millis", "x-verdict", "x-overloaded", "traceparent")

/** The route of [request]. */
internal fun routeOf(request: FullHttpRequest): Route {
    if (!request.decoderResult().isSuccess) return undecodable(request.decoderResult().cause())
    val path = request.uri().substringBefore('?')
    val parts = path.removePrefix("/").split('/')
    val method = request.method().name()
    return when {
        !path.startsWith("/") -> invalid("the request target must be a path")
        parts[0] == "services" && parts.size >= 2 -> serviceRoute(request, parts[1])
        path == "/health/live" -> reading(method, Route.Live)
        path == "/health/ready" -> reading(method, Route.Ready)
        path == "/jobs" -> submitRoute(request)
        parts[0] == "jobs" && parts.size == 3 -> jobRoute(method, parts[1], parts[2])
        else -> rejected(HttpStatus.NOT_FOUND, "nothing is served at this path")
    }
}

private fun reading(method: String, route: Route): Route =
    if (method == "GET" || method == "HEAD") route else wrongMethod()

private fun submitRoute(request: FullHttpRequest): Route {
    if (request.method().name() != "POST") return wrongMethod()
    return Route.SubmitJob(request.content().toString(Charsets.UTF_8))
}

private fun jobRoute(method: String, pool: String, id: String): Route {
    if (!NAME.matches(pool) || !NAME.matches(id)) return invalid("a pool or job is named by $NAME")
    return reading(method, Route.GetJob(PoolId(pool), JobId(id)))
}

private fun serviceRoute(request: FullHttpRequest, service: String): Route {
    val headers = request.headers()
    val problem = problemIn(headers, service)
    if (problem != null) return invalid(problem)
    val body = ByteArray(request.content().readableBytes())
    request.content().getBytes(request.content().readerIndex(), body)
    val uri = request.uri().removePrefix("/services/$service")
    return Route.ToService(
        ServiceRequest(
            ServiceId(service),
            request.method().name(),
            if (uri.startsWith("/")) uri else "/$uri",
            endToEndHeaders(headers, DROPPED_FROM_CALLER),
            body,
            headers.get(HeaderNames.TEAM)?.let(::TeamId),
            headers.get(HeaderNames.IDEMPOTENCY_KEY)?.let(::IdempotencyKey),
            headers.get(HeaderNames.DEADLINE)?.toLong(),
        ),
    )
}

private fun problemIn(headers: HttpHeaders, service: String): String? {
    val single = listOf(HeaderNames.IDEMPOTENCY_KEY, HeaderNames.TEAM, HeaderNames.DEADLINE)
    val repeated = single.firstOrNull { headers.getAll(it).size > 1 }
    val key = headers.get(HeaderNames.IDEMPOTENCY_KEY)
    val team = headers.get(HeaderNames.TEAM)
    val wait = headers.get(HeaderNames.DEADLINE)
    return when {
        !NAME.matches(service) -> "a service is named by $NAME"
        repeated != null -> "$repeated is given more than once"
        key != null && !KEY.matches(key) -> "${HeaderNames.IDEMPOTENCY_KEY} must match $KEY"
        team != null && !NAME.matches(team) -> "${HeaderNames.TEAM} must match $NAME"
        wait != null && (wait.toLongOrNull() ?: 0) <= 0 -> "${HeaderNames.DEADLINE} must be a whole number above 0"
        else -> null
    }
}

private fun undecodable(cause: Throwable?): Route = when (cause) {
    is TooLongHttpLineException -> rejected(HttpStatus.URI_TOO_LONG, "the request line is too long", true)
    is TooLongHttpHeaderException -> rejected(HttpStatus.HEADERS_TOO_LARGE, "the header is too large", true)
    is TooLongFrameException -> rejected(HttpStatus.TOO_LARGE, "the request is too large", true)
    else -> rejected(HttpStatus.BAD_REQUEST, "the request is not well-formed HTTP", true)
}

private fun wrongMethod() = rejected(HttpStatus.METHOD_NOT_ALLOWED, "the method is not allowed at this path")

private fun invalid(message: String) = rejected(HttpStatus.BAD_REQUEST, message)

/** A rejection with [status]. */
internal fun rejected(status: Int, message: String, closeAfter: Boolean = false): Route.Rejected =
    Route.Rejected(Answers.notRun(status, Failure(FailureKind.INVALID, message), closeAfter))
