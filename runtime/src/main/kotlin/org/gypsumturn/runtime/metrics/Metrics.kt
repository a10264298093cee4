// The Prometheus registry of a process and the HTTP server at which it is scraped.

package org.gypsumturn.runtime.metrics

import io.prometheus.metrics.exporter.httpserver.HTTPServer
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.runtime.settings.HostAndPort

/** The metrics of one process, held in [registry]. */
public class Metrics(public val registry: PrometheusRegistry = PrometheusRegistry()) {
    /** Serves the metrics over HTTP at [address] until the result is closed. Port 0 selects any free port. */
    public fun serve(address: HostAndPort): MetricsServer {
        JvmMetrics.builder().register(registry)
        val server =
            HTTPServer
                .builder()
                .hostname(address.host)
                .port(address.port)
                .registry(registry)
                .buildAndStart()
        return MetricsServer(server.port, server::close)
    }
}

/** A running metrics server; [port] is the port at which it listens. */
public class MetricsServer internal constructor(public val port: Int, private val onClose: () -> Unit) :
    AutoCloseable {
    override fun close() {
        onClose()
    }
}
