// Watches whether the entries' grants for an executor exceed its slots, and for how long.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.InstanceId

/** Samples the last reported grants of the entries that run. */
internal class GrantWatch(private val world: World) {
    private val excessSince = HashMap<InstanceId, Long>()

    fun sample() {
        if (world.scenario.scheme != Scheme.GRANTED) return
        val reports = world.entries.filter { it.alive && !it.paused }.mapNotNull { it.report }
        world.executors.forEach { executor ->
            val granted = reports.sumOf { it.useByInstance[executor.id]?.granted ?: 0 }
            note(executor.id, granted - SLOTS_PER_EXECUTOR)
        }
    }

    private fun note(id: InstanceId, excess: Int) {
        if (excess <= 0) {
            excessSince.remove(id)
            return
        }
        val since = excessSince.getOrPut(id) { world.simulator.nowMicros }
        world.tally.maxGrantExcess = maxOf(world.tally.maxGrantExcess, excess)
        world.tally.longestExcessMicros =
            maxOf(world.tally.longestExcessMicros, world.simulator.nowMicros - since)
    }
}
