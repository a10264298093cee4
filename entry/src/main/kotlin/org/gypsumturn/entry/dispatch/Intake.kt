// Takes callers' requests in on the event loops: looks the service up, sets the deadline, and hands the request over.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.EntryTracing
import org.gypsumturn.entry.http.Answers
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.HttpStatus
import org.gypsumturn.entry.http.ServiceRequest
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.FleetView
import org.gypsumturn.request.RequestId
import java.util.concurrent.atomic.AtomicLong

/** The way from callers' connections to the dispatch thread. Thread-safe. */
internal class Intake(
    private val view: () -> FleetView,
    private val dispatch: DispatchDuty,
    private val tracing: EntryTracing,
    private val nowMillis: () -> Long,
) {
    private val lastId = AtomicLong()

    /** Takes [request]; the result tells that the caller has left. */
    fun submit(request: ServiceRequest, traceParent: String?, reply: (HttpAnswer) -> Unit): () -> Unit {
        val service = view().services[request.service]
        if (service == null) {
            val failure = Failure(FailureKind.INVALID, "unknown service ${request.service}")
            reply(Answers.notRun(HttpStatus.NOT_FOUND, failure))
            return {}
        }
        val now = nowMillis()
        val waitMillis = minOf(service.timeoutMillis, request.waitMillis ?: Long.MAX_VALUE)
        val id = RequestId(lastId.incrementAndGet())
        val trace = tracing.received(service.id, traceParent)
        val call = ServiceCall(id, request, service, now, now + waitMillis, trace, reply)
        if (!dispatch.offer(call)) {
            trace.ended("not-run")
            reply(Answers.notRun(Failure(FailureKind.OVERLOADED, "this entry holds all the requests it can")))
            return {}
        }
        return { dispatch.post(DispatchInput.CallerLeft(id)) }
    }
}
