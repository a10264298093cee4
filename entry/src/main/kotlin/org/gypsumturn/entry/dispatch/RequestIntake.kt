// Accepts callers' requests on the event loops: looks up the service, sets the deadline and queues the request for the
// dispatch thread.

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

/** Passes requests from callers' connections to the dispatch thread. Thread-safe. */
internal class RequestIntake(
    private val view: () -> FleetView,
    private val readiness: () -> Readiness,
    private val dispatch: DispatchLoop,
    private val tracing: EntryTracing,
    private val nowMillis: () -> Long,
) {
    private val lastId = AtomicLong()

    /**
     * Queues [request], or answers it at once if it cannot be accepted. [reply] gets the answer.
     *
     * @return a function to call when the caller closes its connection before it has the answer
     */
    fun submit(request: ServiceRequest, traceParent: String?, reply: (HttpAnswer) -> Unit): () -> Unit {
        val service = view().services[request.service]
        if (service == null) {
            reply(unknownServiceAnswer(request))
            return {}
        }
        val now = nowMillis()
        val waitMillis = minOf(service.timeoutMillis, request.waitMillis ?: Long.MAX_VALUE)
        val id = RequestId(lastId.incrementAndGet())
        val trace = tracing.startTrace(service.id, traceParent)
        val call = ServiceCall(id, request, service, now, now + waitMillis, trace, reply)
        if (!dispatch.offer(call)) {
            trace.end("not-run")
            reply(Answers.notRun(Failure(FailureKind.OVERLOADED, "this entry holds all the requests it can")))
            return {}
        }
        return { dispatch.post(DispatchInput.CallerLeft(id)) }
    }

    // Without a valid view, the entry cannot know whether the service exists.
    private fun unknownServiceAnswer(request: ServiceRequest): HttpAnswer {
        val currentReadiness = readiness()
        if (!currentReadiness.ready) return Answers.notRun(Failure(FailureKind.NOT_READY, currentReadiness.reason))
        val failure = Failure(FailureKind.INVALID, "unknown service ${request.service}")
        return Answers.notRun(HttpStatus.NOT_FOUND, failure)
    }
}
