// Gauges of a control process. Each value is computed when the metrics are scraped.

package org.gypsumturn.control

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.control.job.JobRoundResult
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.WaveState
import org.gypsumturn.peer.ViewReplica

/** Registers the gauges of the view, the fleet, and the jobs of the pools that this process owns. */
internal fun registerGauges(registry: PrometheusRegistry, replica: ViewReplica, lastRound: () -> JobRoundResult) {
    val gauges = GaugeRegistrar(registry)
    gauges.add("gypsumturn_view_version", "version of the view in force") {
        replica.currentView().version.value.toDouble()
    }
    gauges.add("gypsumturn_ready", "1 while the lease of the view holds") {
        if (replica.readiness().ready) 1.0 else 0.0
    }
    gauges.add("gypsumturn_table_reachable", "1 while the platform's table answers") {
        if (replica.tableStatus().reachable) 1.0 else 0.0
    }
    registerFleetGauges(gauges, replica)
    registerJobGauges(gauges, lastRound)
}

private fun registerFleetGauges(gauges: GaugeRegistrar, replica: ViewReplica) {
    gauges.addEach("gypsumturn_instances", "instances of the fleet by state", "state", InstanceState.entries) { state ->
        replica.currentView().instances.values.count { it.state == state }
    }
    gauges.addEach("gypsumturn_waves", "maintenance waves by state", "state", WaveState.entries) { state ->
        replica.currentView().waves.values.count { it.state == state }
    }
}

private fun registerJobGauges(gauges: GaugeRegistrar, lastRound: () -> JobRoundResult) {
    gauges.add("gypsumturn_owned_pools", "pools whose jobs this process runs") {
        lastRound().ownedPools.size.toDouble()
    }
    gauges.add("gypsumturn_open_jobs", "jobs of owned pools that have not ended") {
        lastRound().counts.openJobs.toDouble()
    }
    gauges.add("gypsumturn_waiting_jobs", "jobs of owned pools that wait for a worker") {
        lastRound().counts.waitingJobs.toDouble()
    }
    gauges.add("gypsumturn_pending_job_writes", "job rows that are not yet written to the table") {
        lastRound().counts.pendingWrites.toDouble()
    }
    gauges.add("gypsumturn_quarantined_workers", "workers of owned pools in quarantine") {
        lastRound().counts.quarantinedWorkers.toDouble()
    }
}

private class GaugeRegistrar(private val registry: PrometheusRegistry) {
    fun add(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    fun <E : Enum<E>> addEach(name: String, help: String, label: String, entries: List<E>, count: (E) -> Int) {
        GaugeWithCallback.builder()
            .name(name)
            .help(help)
            .labelNames(label)
            .callback { callback -> entries.forEach { callback.call(count(it).toDouble(), it.name.lowercase()) } }
            .register(registry)
    }
}
