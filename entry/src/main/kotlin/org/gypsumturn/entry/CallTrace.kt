// The spans of one request at its entry: receive (whole stay), queue (until it is sent) and exchange (one for each
// attempt at a target). The trace context goes on to the target.

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

/** Starts the spans of requests. */
internal class EntryTracing(tracing: Tracing) {
    private val openTelemetry: OpenTelemetry = tracing.openTelemetry
    private val tracer: Tracer = tracing.tracer

    /** The trace of a request that arrived with the header field [traceParent]. */
    fun received(service: ServiceId, traceParent: String?): CallTrace {
        val parent = openTelemetry.propagators.textMapPropagator.extract(Context.root(), traceParent, TraceParentGetter)
        val receive = span("entry.receive", SpanKind.SERVER, parent)
        receive.setAttribute("service", service.value)
        return CallTrace(this, receive, traceParent)
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
    private val receive: Span,
    private val traceParent: String?,
) {
    private val context: Context = Context.root().with(receive)
    private var queue: Span? = null

    /** Trace id of the request. */
    val traceId: String get() = receive.spanContext.traceId

    /** The request waits from now on. */
    fun queued() {
        queue = tracing.span("entry.queue", SpanKind.INTERNAL, context)
    }

    /** The request is sent to [target]. */
    fun sent(target: InstanceId): ExchangeTrace {
        queue?.end()
        queue = null
        val span = tracing.span("entry.exchange", SpanKind.CLIENT, context)
        span.setAttribute("instance", target.value)
        return ExchangeTrace(span, tracing.header(span) ?: traceParent?.let { Header(HeaderNames.TRACE_PARENT, it) })
    }

    /** The request has its [verdict]. */
    fun ended(verdict: String) {
        queue?.end()
        receive.setAttribute("verdict", verdict)
        receive.end()
    }
}

/** The span of one exchange; [header] carries it to the target. */
internal class ExchangeTrace(private val span: Span, val header: Header?) {
    /** The exchange is over. */
    fun ended(answered: Boolean) {
        if (!answered) span.setStatus(StatusCode.ERROR)
        span.end()
    }
}
