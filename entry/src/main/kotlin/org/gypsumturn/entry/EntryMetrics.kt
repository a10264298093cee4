// The metrics of an entry.

package org.gypsumturn.entry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counters and histograms of an entry, in [registry]. */
internal class EntryMetrics(private val registry: PrometheusRegistry) {
    private val requests =
        Counter.builder().name("gypsumturn_entry_requests_total").help("Requests by service and verdict")
            .labelNames("service", "verdict").register(registry)

    private val latency =
        Histogram.builder().name("gypsumturn_entry_request_seconds").help("Time from arrival to reply, in seconds")
            .labelNames("service").classicOnly()
            .classicUpperBounds(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
            .register(registry)

    private val exchanges =
        Counter.builder().name("gypsumturn_entry_exchanges_total").help("Exchanges with targets by result")
            .labelNames("result").register(registry)

    private val intents =
        Counter.builder().name("gypsumturn_entry_intents_total").help("Intents of keyed requests by outcome")
            .labelNames("outcome").register(registry)

    /** Requests that were sent again. */
    val retries: Counter =
        Counter.builder().name("gypsumturn_entry_retries_total").help("Exchanges after the first of a request")
            .register(registry)

    /** Events that a full ring refused. */
    val ringDrops: Counter =
        Counter.builder().name("gypsumturn_entry_ring_drops_total").help("Events refused by a full ring")
            .labelNames("ring").register(registry)

    /** Connections of callers that were closed at once because too many were open. */
    val connectionsRefused: Counter =
        Counter.builder().name("gypsumturn_entry_connections_refused_total").help("Connections beyond the limit")
            .register(registry)

    /** Outcomes that could not be recorded. */
    val outcomesDropped: Counter =
        Counter.builder().name("gypsumturn_entry_outcomes_dropped_total").help("Outcomes that were given up")
            .register(registry)

    /** Rows removed after their retention time. */
    val rowsSwept: Counter =
        Counter.builder().name("gypsumturn_entry_rows_swept_total").help("Rows of keyed requests removed by age")
            .register(registry)

    /** A request got its reply. */
    fun replied(service: String, verdict: String, millis: Long) {
        requests.labelValues(service, verdict).inc()
        latency.labelValues(service).observe(millis / MILLIS_PER_SECOND)
    }

    /** An exchange ended. */
    fun exchanged(result: String) {
        exchanges.labelValues(result).inc()
    }

    /** The attempt to record an intent ended. */
    fun intentEnded(outcome: String) {
        intents.labelValues(outcome).inc()
    }

    /** Publishes [value] as a gauge. */
    fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
