// Determines the route of a request from its request line and header fields, and validates them.

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

/** What a request of a caller addresses. */
internal sealed interface Route {
    /** A request to a service. */
    class ToService(val request: ServiceRequest) : Route

    /** The submission of a job; [body] is its specification in JSON. */
    class SubmitJob(val body: String) : Route

    /** A query for the record of a job. */
    class GetJob(val pool: PoolId, val id: JobId) : Route

    /** The liveness check. */
    data object Live : Route

    /** The readiness check, which tells whether this entry takes new work. */
    data object Ready : Route

    /** A request that is answered with an error, without being run. */
    class Rejected(val answer: HttpAnswer) : Route
}

private val NAME_REGEX = Regex("[A-Za-z0-9._-]{1,128}")
private val KEY_PATTERN = Regex("[A-Za-z0-9._:-]{1,128}")
private val HEADERS_NOT_FORWARDED = setOf("x-deadline-millis", "x-verdict", "x-overloaded", "traceparent")

/** The route of [request]. A malformed or unknown request gives [Route.Rejected]. */
internal fun routeOf(request: FullHttpRequest): Route {
    if (!request.decoderResult().isSuccess) return rejectUndecodable(request.decoderResult().cause())
    val path = request.uri().substringBefore('?')
    val parts = path.removePrefix("/").split('/')
    val method = request.method().name()
    return when {
        !path.startsWith("/") -> badRequest("the request target must be a path")
        parts[0] == "services" && parts.size >= 2 -> serviceRoute(request, parts[1])
        path == "/health/live" -> readOnlyRoute(method, Route.Live)
        path == "/health/ready" -> readOnlyRoute(method, Route.Ready)
        path == "/jobs" -> submitJobRoute(request)
        parts[0] == "jobs" && parts.size == 3 -> getJobRoute(method, parts[1], parts[2])
        else -> rejected(HttpStatus.NOT_FOUND, "nothing is served at this path")
    }
}

private fun readOnlyRoute(method: String, route: Route): Route =
    if (method == "GET" || method == "HEAD") route else methodNotAllowed()

private fun submitJobRoute(request: FullHttpRequest): Route {
    if (request.method().name() != "POST") return methodNotAllowed()
    return Route.SubmitJob(request.content().toString(Charsets.UTF_8))
}

private fun getJobRoute(method: String, pool: String, id: String): Route {
    if (!NAME_REGEX.matches(pool) || !NAME_REGEX.matches(id)) return badRequest("a pool or job is named by $NAME_REGEX")
    return readOnlyRoute(method, Route.GetJob(PoolId(pool), JobId(id)))
}

private fun serviceRoute(request: FullHttpRequest, service: String): Route {
    val headers = request.headers()
    val problem = headerProblem(headers, service)
    if (problem != null) return badRequest(problem)
    val body = ByteArray(request.content().readableBytes())
    request.content().getBytes(request.content().readerIndex(), body)
    val uri = request.uri().removePrefix("/services/$service")
    return Route.ToService(
        ServiceRequest(
            ServiceId(service),
            request.method().name(),
            if (uri.startsWith("/")) uri else "/$uri",
            endToEndHeaders(headers, HEADERS_NOT_FORWARDED),
            body,
            headers.get(HeaderNames.TEAM)?.let(::TeamId),
            headers.get(HeaderNames.IDEMPOTENCY_KEY)?.let(::IdempotencyKey),
            headers.get(HeaderNames.DEADLINE)?.toLong(),
        ),
    )
}

private fun headerProblem(headers: HttpHeaders, service: String): String? {
    val singleValued = listOf(HeaderNames.IDEMPOTENCY_KEY, HeaderNames.TEAM, HeaderNames.DEADLINE)
    val repeated = singleValued.firstOrNull { headers.getAll(it).size > 1 }
    val key = headers.get(HeaderNames.IDEMPOTENCY_KEY)
    val team = headers.get(HeaderNames.TEAM)
    val wait = headers.get(HeaderNames.DEADLINE)
    return when {
        !NAME_REGEX.matches(service) -> "a service is named by $NAME_REGEX"
        repeated != null -> "$repeated is given more than once"
        key != null && !KEY_PATTERN.matches(key) -> "${HeaderNames.IDEMPOTENCY_KEY} must match $KEY_PATTERN"
        team != null && !NAME_REGEX.matches(team) -> "${HeaderNames.TEAM} must match $NAME_REGEX"
        wait != null && (wait.toLongOrNull() ?: 0) <= 0 -> "${HeaderNames.DEADLINE} must be a whole number above 0"
        else -> null
    }
}

private fun rejectUndecodable(cause: Throwable?): Route = when (cause) {
    is TooLongHttpLineException -> rejected(HttpStatus.URI_TOO_LONG, "the request line is too long", true)
    is TooLongHttpHeaderException -> rejected(HttpStatus.HEADERS_TOO_LARGE, "the header is too large", true)
    is TooLongFrameException -> rejected(HttpStatus.TOO_LARGE, "the request is too large", true)
    else -> rejected(HttpStatus.BAD_REQUEST, "the request is not well-formed HTTP", true)
}

private fun methodNotAllowed() = rejected(HttpStatus.METHOD_NOT_ALLOWED, "the method is not allowed at this path")

private fun badRequest(message: String) = rejected(HttpStatus.BAD_REQUEST, message)

/** A route whose answer has [status] and states that the request was not run because it is invalid. */
internal fun rejected(status: Int, message: String, closeAfter: Boolean = false): Route.Rejected =
    Route.Rejected(Answers.notRun(status, Failure(FailureKind.INVALID, message), closeAfter))
