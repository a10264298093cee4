// Which instances a wave takes out next: as many as its width, the budgets and the demand forecast leave room for,
// spread so that the instances out at one time share as few racks and data centres as possible.

package org.gypsumturn.fleet.wave

import org.gypsumturn.fleet.command.PoolUsage
import org.gypsumturn.fleet.command.refusalOf
import org.gypsumturn.fleet.command.usageByPool
import org.gypsumturn.fleet.command.usageOf
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Wave

internal class WaveRoom(
    private val view: FleetView,
    private val wave: Wave,
    private val progress: WaveProgress,
    private val nowMillis: Long,
    private val forecast: DemandForecast,
    private val settings: WavePlanSettings,
) {
    private val usages: Map<PoolId, PoolUsage> by lazy { usageByPool(view) }
    private val rooms = HashMap<PoolId, PoolRoom?>()

    /** The instances to take out now, in order. */
    fun select(): List<Instance> {
        var width = width() - progress.inWork.size
        if (width <= 0) return emptyList()
        val selected = mutableListOf<Instance>()
        for (candidate in spread(progress.candidates, progress.inWork)) {
            if (width == 0) break
            val room = rooms.getOrPut(candidate.pool) { roomOf(candidate.pool) } ?: continue
            if (!room.take(candidate)) continue
            selected += candidate
            width--
        }
        return selected
    }

    private fun width(): Int {
        val done = progress.done.size
        val ramp = if (done < wave.canaries) 1 else done + 1
        return minOf(wave.maxParallel, ramp)
    }

    /** A wave over one pool needs no usage of the others. */
    private fun usageIn(pool: PoolId): PoolUsage = if (wave.pools.size ==
        1
    ) {
        usageOf(view, pool)
    } else {
        usages.getValue(pool)
    }

    private fun roomOf(pool: PoolId): PoolRoom? {
        val budget = view.pools[pool]?.budget ?: return null
        val usage = usageIn(pool)
        val waits = nowMillis - wave.startedAtMillis < settings.forecastPatienceMillis
        val needed = if (waits) forecast(pool, nowMillis, nowMillis + wave.rebootTimeoutMillis) else 0
        return PoolRoom(usage, budget, usage.serving - needed)
    }
}

/** What one pool can spare beyond what the view shows, counted down by each instance that a plan takes. */
private class PoolRoom(
    private val usage: PoolUsage,
    private val budget: AvailabilityBudget,
    private var spareInstances: Int,
) {
    private var taken = 0
    private val takenIn = HashMap<DataCentreId, Int>()

    fun take(instance: Instance): Boolean {
        val dataCentre = instance.domain.dataCentre
        val remaining = AvailabilityBudget(
            budget.maxUnavailable - taken,
            budget.maxUnavailablePerDataCentre?.minus(takenIn[dataCentre] ?: 0),
        )
        if (spareInstances <= 0 || refusalOf(usage, remaining, dataCentre) != null) return false
        spareInstances--
        taken++
        takenIn.merge(dataCentre, 1, Int::plus)
        return true
    }
}

/**
 * [candidates] in an order in which each rack, and then each data centre, comes once before any comes twice, counting
 * the instances that are out already. The pools with the most left to do come first, as they end last, and of a pool
 * the instances that are the longest without maintenance.
 */
internal fun spread(candidates: List<Instance>, out: List<Instance>): List<Instance> {
    val perRack = out.groupingBy { it.domain.rack }.eachCount().toMutableMap()
    val perDataCentre = out.groupingBy { it.domain.dataCentre }.eachCount().toMutableMap()
    val left = candidates.groupingBy { it.pool }.eachCount()
    return candidates
        .sortedWith(
            compareByDescending<Instance> { left[it.pool] }.thenBy { it.maintainedAtMillis }.thenBy { it.id },
        )
        .map { RankedInstance(it, rank(perRack, it.domain.rack), rank(perDataCentre, it.domain.dataCentre)) }
        .sortedWith(compareBy<RankedInstance> { it.rackRank }.thenBy { it.dataCentreRank })
        .map { it.instance }
}

private data class RankedInstance(val instance: Instance, val rackRank: Int, val dataCentreRank: Int)

private fun <T> rank(counts: MutableMap<T, Int>, key: T): Int = counts.merge(key, 1, Int::plus) ?: 1
