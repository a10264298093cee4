// OpenTelemetry configuration. Trace context is passed between processes in W3C form, and spans are exported to the log
// or to an OTLP collector.

package org.gypsumturn.runtime.trace

import io.opentelemetry.api.OpenTelemetry
import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.propagation.ContextPropagators
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.OpenTelemetrySdk
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import io.opentelemetry.sdk.trace.samplers.Sampler
import org.gypsumturn.runtime.settings.CommonSettings
import org.gypsumturn.runtime.settings.Settings
import org.slf4j.LoggerFactory

/** Tracing of one process. Closing it exports the spans that are still buffered. */
public class Tracing internal constructor(public val openTelemetry: OpenTelemetry, private val onClose: () -> Unit) :
    AutoCloseable {
    /** Creates the spans of this process. */
    public val tracer: Tracer = openTelemetry.getTracer("gypsumturn")

    override fun close() {
        onClose()
    }

    public companion object {
        /** Returns tracing that records no spans. */
        public fun none(): Tracing = Tracing(OpenTelemetry.noop()) {}

        /** Returns tracing with the exporter and sample share that [settings] select. */
        public fun of(settings: Settings): Tracing = when (settings[CommonSettings.traceExporter]) {
            "log" -> exportingTo(LogSpanExporter(), settings)
            "otlp" -> exportingTo(otlpExporter(settings), settings)
            else -> none()
        }

        private fun otlpExporter(settings: Settings): SpanExporter =
            OtlpHttpSpanExporter.builder().setEndpoint(settings[CommonSettings.traceEndpoint]).build()

        private fun exportingTo(exporter: SpanExporter, settings: Settings): Tracing {
            val serviceName = AttributeKey.stringKey("service.name")
            val resource = Resource.builder().put(serviceName, settings[CommonSettings.nodeName]).build()
            val provider =
                SdkTracerProvider
                    .builder()
                    .setResource(resource)
                    .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(settings[CommonSettings.traceShare])))
                    .addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
                    .build()
            val sdk =
                OpenTelemetrySdk
                    .builder()
                    .setTracerProvider(provider)
                    .setPropagators(ContextPropagators.create(W3CTraceContextPropagator.getInstance()))
                    .build()
            return Tracing(sdk, sdk::close)
        }
    }
}

/** Writes each finished span as a log line. */
internal class LogSpanExporter : SpanExporter {
    private val log = LoggerFactory.getLogger("org.gypsumturn.spans")

    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        spans.forEach { span ->
            log
                .atInfo()
                .addKeyValue("trace", span.traceId)
                .addKeyValue("span", span.spanId)
                .addKeyValue("parent", span.parentSpanId)
                .addKeyValue("micros", (span.endEpochNanos - span.startEpochNanos) / NANOS_PER_MICRO)
                .addKeyValue("attributes", span.attributes.asMap().toString())
                .log("span {}", span.name)
        }
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private companion object {
        const val NANOS_PER_MICRO = 1_000L
    }
}
