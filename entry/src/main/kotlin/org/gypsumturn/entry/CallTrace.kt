// The trace spans of one request at its entry: `receive` covers its whole time at the entry, `queue` the time until it
// is sent, and `exchange` one exchange with a target. The trace context is forwarded to the target.

package org.gypsumturn.entry

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import org.gypsumturn.entry.http.Header
import org.gypsumturn.entry.http.HeaderNames
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.ServiceId
import org.gypsumturn.runtime.trace.Tracing

/** Creates the spans of requests. */
internal class EntryTracing(tracing: Tracing) {
    private val openTelemetry: OpenTelemetry = tracing.openTelemetry
    private val tracer: Tracer = tracing.tracer

    /** Starts the trace of a request to [service] that arrived with the header field [traceParent]. */
    fun startTrace(service: ServiceId, traceParent: String?): CallTrace {
        val parent = openTelemetry.propagators.textMapPropagator.extract(Context.root(), traceParent, TraceParentGetter)
        val receiveSpan = span("entry.receive", SpanKind.SERVER, parent)
        receiveSpan.setAttribute("service", service.value)
        return CallTrace(this, receiveSpan, traceParent)
    }

    internal fun span(name: String, kind: SpanKind, parent: Context): Span =
        tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan()

    internal fun header(span: Span): Header? {
        val carrier = HashMap<String, String>()
        val context = Context.root().with(span)
        openTelemetry.propagators.textMapPropagator.inject(context, carrier) { map, key, value -> map?.put(key, value) }
        return carrier[HeaderNames.TRACE_PARENT]?.let { Header(HeaderNames.TRACE_PARENT, it) }
    }

    private object TraceParentGetter : TextMapGetter<String?> {
        override fun keys(carrier: String?): Iterable<String> = listOf(HeaderNames.TRACE_PARENT)

        override fun get(carrier: String?, key: String): String? =
            carrier.takeIf { key.equals(HeaderNames.TRACE_PARENT, ignoreCase = true) }
    }
}

/** The spans of one request. */
internal class CallTrace(
    private val tracing: EntryTracing,
    private val receiveSpan: Span,
    private val traceParent: String?,
) {
    private val context: Context = Context.root().with(receiveSpan)
    private var queueSpan: Span? = null

    val traceId: String get() = receiveSpan.spanContext.traceId

    /** Starts the span that measures the wait of the request in the queue. */
    fun startQueueSpan() {
        queueSpan = tracing.span("entry.queue", SpanKind.INTERNAL, context)
    }

    /** Ends the queue span and starts the span of an exchange with [target]. */
    fun startExchangeSpan(target: InstanceId): ExchangeTrace {
        queueSpan?.end()
        queueSpan = null
        val span = tracing.span("entry.exchange", SpanKind.CLIENT, context)
        span.setAttribute("instance", target.value)
        return ExchangeTrace(span, tracing.header(span) ?: traceParent?.let { Header(HeaderNames.TRACE_PARENT, it) })
    }

    /** Ends the spans of the request, whose result is [verdict]. */
    fun end(verdict: String) {
        queueSpan?.end()
        receiveSpan.setAttribute("verdict", verdict)
        receiveSpan.end()
    }
}

/** The span of one exchange. [header] is the trace context to send to the target, if there is one. */
internal class ExchangeTrace(private val span: Span, val header: Header?) {
    /** Ends the span. It is marked as an error if the exchange was not [answered]. */
    fun end(answered: Boolean) {
        if (!answered) span.setStatus(StatusCode.ERROR)
        span.end()
    }
}
