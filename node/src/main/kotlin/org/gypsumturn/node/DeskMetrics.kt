// Counters and latencies of what callers ask.

package org.gypsumturn.node

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.batch.desk.DeskAnswer

private const val MILLIS_PER_SECOND = 1_000.0

/** Metrics of the desk in [registry]. */
public class DeskMetrics(registry: PrometheusRegistry) {
    private val answers =
        Counter.builder()
            .name("gypsumturn_node_answers_total")
            .help("Answers to callers by call and outcome.")
            .labelNames("call", "outcome")
            .register(registry)

    private val seconds =
        Histogram.builder()
            .name("gypsumturn_node_answer_seconds")
            .help("Time from a caller's request to its answer.")
            .labelNames("call")
            .classicOnly()
            .register(registry)

    /** Counts an answer. */
    public fun answered(call: String, answer: DeskAnswer, tookMillis: Long) {
        answers.labelValues(call, answer.javaClass.simpleName).inc()
        seconds.labelValues(call).observe(tookMillis / MILLIS_PER_SECOND)
    }
}
