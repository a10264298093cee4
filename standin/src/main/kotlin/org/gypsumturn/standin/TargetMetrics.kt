// Prometheus metrics of the simulated executors: requests started and refused, and how long an executor that is listed
// as leaving still receives new requests.

package org.gypsumturn.standin

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.model.InstanceId
import java.util.concurrent.ConcurrentHashMap

private const val MILLIS_PER_SECOND = 1_000.0

/** Counts the requests that reach the targets. Thread-safe. [nowMillis] returns the current time in milliseconds. */
internal class TargetMetrics(registry: PrometheusRegistry, private val nowMillis: () -> Long) {
    private val leavingSinceMillis = ConcurrentHashMap<InstanceId, Long>()
    private val requests =
        Counter
            .builder()
            .name("gypsumturn_standin_requests_total")
            .help("Requests that reached a target, by outcome")
            .labelNames("instance", "outcome")
            .register(registry)
    private val lastRequestAfterLeaving =
        Gauge
            .builder()
            .name("gypsumturn_standin_last_request_after_leaving_seconds")
            .help("Time from a target's leaving to the last request that it got")
            .labelNames("instance")
            .register(registry)

    /** Sets whether [instance] is leaving. The time is measured from the first call with true. */
    fun setLeaving(instance: InstanceId, leaving: Boolean) {
        if (leaving) leavingSinceMillis.putIfAbsent(instance, nowMillis()) else leavingSinceMillis.remove(instance)
    }

    /** Counts a request at [instance]; [accepted] is false if it was refused because no slot was free. */
    fun countRequest(instance: InstanceId, accepted: Boolean) {
        requests.labelValues(instance.value, if (accepted) "run" else "overloaded").inc()
        val sinceMillis = leavingSinceMillis[instance] ?: return
        lastRequestAfterLeaving.labelValues(instance.value).set((nowMillis() - sinceMillis) / MILLIS_PER_SECOND)
    }
}
