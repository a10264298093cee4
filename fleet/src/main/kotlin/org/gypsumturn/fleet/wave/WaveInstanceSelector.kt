// Selects the instances that a wave takes out of service next: as many as the limit of the wave, the budgets and the
// demand forecast allow, with as few as possible in the same rack or data centre.

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

/** Selects instances of one wave for one plan. */
internal class WaveInstanceSelector(
    private val view: FleetView,
    private val wave: Wave,
    private val progress: WaveProgress,
    private val nowMillis: Long,
    private val forecast: DemandForecast,
    private val settings: WavePlanSettings,
) {
    private val usages: Map<PoolId, PoolUsage> by lazy { usageByPool(view) }
    private val allowances = HashMap<PoolId, PoolAllowance?>()

    /** Returns the instances to take out of service now, in order. */
    fun select(): List<Instance> {
        var remaining = parallelLimit() - progress.inWork.size
        if (remaining <= 0) return emptyList()
        val selected = mutableListOf<Instance>()
        for (candidate in spreadOverDomains(progress.candidates, progress.inWork)) {
            if (remaining == 0) break
            val allowance = allowances.getOrPut(candidate.pool) { allowanceOf(candidate.pool) } ?: continue
            if (!allowance.tryTake(candidate)) continue
            selected += candidate
            remaining--
        }
        return selected
    }

    private fun parallelLimit(): Int {
        val done = progress.done.size
        val rampLimit = if (done < wave.canaries) 1 else done + 1
        return minOf(wave.maxParallel, rampLimit)
    }

    /** Computes the usage of all pools only for a wave over several pools. */
    private fun usageIn(pool: PoolId): PoolUsage = if (wave.pools.size ==
        1
    ) {
        usageOf(view, pool)
    } else {
        usages.getValue(pool)
    }

    private fun allowanceOf(pool: PoolId): PoolAllowance? {
        val budget = view.pools[pool]?.budget ?: return null
        val usage = usageIn(pool)
        val usesForecast = nowMillis - wave.startedAtMillis < settings.maxForecastWaitMillis
        val needed = if (usesForecast) forecast(pool, nowMillis, nowMillis + wave.rebootTimeoutMillis) else 0
        return PoolAllowance(usage, budget, usage.serving - needed)
    }
}

/** Number of instances that one pool can still spare, reduced by each instance that the plan takes. */
private class PoolAllowance(
    private val usage: PoolUsage,
    private val budget: AvailabilityBudget,
    private var spareInstances: Int,
) {
    private var taken = 0
    private val takenByDataCentre = HashMap<DataCentreId, Int>()

    fun tryTake(instance: Instance): Boolean {
        val dataCentre = instance.domain.dataCentre
        val remainingBudget = AvailabilityBudget(
            budget.maxUnavailable - taken,
            budget.maxUnavailablePerDataCentre?.minus(takenByDataCentre[dataCentre] ?: 0),
        )
        if (spareInstances <= 0 || refusalOf(usage, remainingBudget, dataCentre) != null) return false
        spareInstances--
        taken++
        takenByDataCentre.merge(dataCentre, 1, Int::plus)
        return true
    }
}

/**
 * Orders [candidates] so that each rack, and then each data centre, occurs once before any occurs twice, counting the
 * instances in [out] that are out of service already. Among equals, pools with the most candidates come first, since
 * they finish last, then the instances whose last reboot is the longest ago.
 */
internal fun spreadOverDomains(candidates: List<Instance>, out: List<Instance>): List<Instance> {
    val perRack = out.groupingBy { it.domain.rack }.eachCount().toMutableMap()
    val perDataCentre = out.groupingBy { it.domain.dataCentre }.eachCount().toMutableMap()
    val candidatesPerPool = candidates.groupingBy { it.pool }.eachCount()
    return candidates
        .sortedWith(
            compareByDescending<Instance> { candidatesPerPool[it.pool] }
                .thenBy { it.maintainedAtMillis }
                .thenBy { it.id },
        )
        .map { RankedInstance(it, nextRank(perRack, it.domain.rack), nextRank(perDataCentre, it.domain.dataCentre)) }
        .sortedWith(compareBy<RankedInstance> { it.rackRank }.thenBy { it.dataCentreRank })
        .map { it.instance }
}

private data class RankedInstance(val instance: Instance, val rackRank: Int, val dataCentreRank: Int)

private fun <T> nextRank(counts: MutableMap<T, Int>, key: T): Int = counts.merge(key, 1, Int::plus) ?: 1
