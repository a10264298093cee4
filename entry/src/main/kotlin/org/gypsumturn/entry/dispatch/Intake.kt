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
import org.gypsumturn.view.Readiness
import java.util.concurrent.atomic.AtomicLong

/** The way from callers' connections to the dispatch thread. Thread-safe. */
internal class Intake(
    private val view: () -> FleetView,
    private val readiness: () -> Readiness,
    private val dispatch: DispatchDuty,
    private val tracing: EntryTracing,
    private val nowMillis: () -> Long,
) {
    private val lastId = AtomicLong()

    /** Takes [request]; the result tells that the caller has left. */
    fun submit(request: ServiceRequest, traceParent: String?, reply: (HttpAnswer) -> Unit): () -> Unit {
        val service = view().services[request.service]
        if (service == null) {
            reply(unknown(request))
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

    // Only a view that is in force can tell that there is no such service.
    private fun unknown(request: ServiceRequest): HttpAnswer {
        val state = readiness()
        if (!state.ready) return Answers.notRun(Failure(FailureKind.NOT_READY, state.reason))
        val failure = Failure(FailureKind.INVALID, "unknown service ${request.service}")
        return Answers.notRun(HttpStatus.NOT_FOUND, failure)
    }
}
