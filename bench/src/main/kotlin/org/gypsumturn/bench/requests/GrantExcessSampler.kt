// Checks whether the slots of an executor that the entries grant themselves exceed its real slots, and for how long.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.InstanceId

/** Samples the grants in the last slot reports of the entries that run. */
internal class GrantExcessSampler(private val simulation: RequestSimulation) {
    private val excessSinceMicros = HashMap<InstanceId, Long>()

    fun sample() {
        if (simulation.scenario.scheme != Scheme.GRANTED) return
        val reports = simulation.entries.filter { it.isAlive && !it.isPaused }.mapNotNull { it.report }
        simulation.executors.forEach { executor ->
            val granted = reports.sumOf { it.useByInstance[executor.id]?.granted ?: 0 }
            recordExcess(executor.id, granted - SLOTS_PER_EXECUTOR)
        }
    }

    private fun recordExcess(id: InstanceId, excess: Int) {
        if (excess <= 0) {
            excessSinceMicros.remove(id)
            return
        }
        val sinceMicros = excessSinceMicros.getOrPut(id) { simulation.eventLoop.nowMicros }
        simulation.statistics.maxGrantExcess = maxOf(simulation.statistics.maxGrantExcess, excess)
        simulation.statistics.longestGrantExcessMicros =
            maxOf(simulation.statistics.longestGrantExcessMicros, simulation.eventLoop.nowMicros - sinceMicros)
    }
}
