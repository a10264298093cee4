// What the simulated targets see, as Prometheus metrics: requests begun and refused, and for how long a target that was
// listed as leaving still got new work.

package org.gypsumturn.standin

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.model.InstanceId
import java.util.concurrent.ConcurrentHashMap

private const val MILLIS_PER_SECOND = 1_000.0

/** Counts what reaches the targets. Thread-safe. */
internal class TargetMetrics(registry: PrometheusRegistry, private val nowMillis: () -> Long) {
    private val leavingSinceMillis = ConcurrentHashMap<InstanceId, Long>()
    private val requests =
        Counter
            .builder()
            .name("gypsumturn_standin_requests_total")
            .help("Requests that reached a target, by outcome")
            .labelNames("instance", "outcome")
            .register(registry)
    private val lastAfterLeaving =
        Gauge
            .builder()
            .name("gypsumturn_standin_last_request_after_leaving_seconds")
            .help("Time from a target's leaving to the last request that it got")
            .labelNames("instance")
            .register(registry)

    /** Notes that [instance] is, or is no longer, leaving. */
    fun setLeaving(instance: InstanceId, leaving: Boolean) {
        if (leaving) leavingSinceMillis.putIfAbsent(instance, nowMillis()) else leavingSinceMillis.remove(instance)
    }

    /** Counts a request at [instance]; [accepted] tells whether it found a free slot. */
    fun request(instance: InstanceId, accepted: Boolean) {
        requests.labelValues(instance.value, if (accepted) "run" else "overloaded").inc()
        val since = leavingSinceMillis[instance] ?: return
        lastAfterLeaving.labelValues(instance.value).set((nowMillis() - since) / MILLIS_PER_SECOND)
    }
}
