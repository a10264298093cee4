// The metrics that an entry exports.

package org.gypsumturn.entry

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counters, histograms and gauges of an entry, registered in [registry]. */
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

    /** Exchanges after the first one of a request. */
    val retries: Counter =
        Counter.builder().name("gypsumturn_entry_retries_total").help("Exchanges after the first of a request")
            .register(registry)

    /** Events that were refused because a queue was full, by queue. */
    val ringDrops: Counter =
        Counter.builder().name("gypsumturn_entry_ring_drops_total").help("Events refused by a full ring")
            .labelNames("ring").register(registry)

    /** Connections of callers that were closed on arrival because the connection limit was reached. */
    val connectionsRefused: Counter =
        Counter.builder().name("gypsumturn_entry_connections_refused_total").help("Connections beyond the limit")
            .register(registry)

    /** Outcomes of keyed requests that were given up without being recorded. */
    val outcomesDropped: Counter =
        Counter.builder().name("gypsumturn_entry_outcomes_dropped_total").help("Outcomes that were given up")
            .register(registry)

    /** Rows of keyed requests that were removed because their retention time was over. */
    val rowsSwept: Counter =
        Counter.builder().name("gypsumturn_entry_rows_swept_total").help("Rows of keyed requests removed by age")
            .register(registry)

    /** Counts a request that ended with [verdict] and adds its duration to the histogram. */
    fun recordReply(service: String, verdict: String, durationMillis: Long) {
        requests.labelValues(service, verdict).inc()
        latency.labelValues(service).observe(durationMillis / MILLIS_PER_SECOND)
    }

    /** Counts an exchange that ended with [result]. */
    fun recordExchange(result: String) {
        exchanges.labelValues(result).inc()
    }

    /** Counts an attempt to record an intent that ended with [outcome]. */
    fun recordIntentOutcome(outcome: String) {
        intents.labelValues(outcome).inc()
    }

    /** Registers a gauge whose value is read from [value] at each scrape. */
    fun publishGauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
