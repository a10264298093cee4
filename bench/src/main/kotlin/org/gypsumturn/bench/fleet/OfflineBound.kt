// Computes the cost of an ideal planner that knows the whole demand in advance, moves instances instantly and always
// finds a spare instance.

package org.gypsumturn.bench.fleet

import org.gypsumturn.fleet.capacity.CapacityWeights

private const val TICKS_PER_STEP = 12
private const val STEP_HOURS = TICKS_PER_STEP * TICK_MILLIS / 3_600_000.0

/**
 * A lower bound on the cost of any policy for [trace], by dynamic programming over the size of each pool on its own.
 *
 * Each pool except the spare ones pays for its idle instances and for the load above its size. It pays half a move for
 * each change of its size by one, since a move changes two pools. Back-office work, which the spare pools do, costs
 * nothing.
 */
internal fun offlineBound(site: Site, trace: DemandTrace, weights: CapacityWeights): Double = site.poolSizes.indices
    .filter { it % site.groupSize != site.groupSize - 1 }
    .sumOf { poolBound(trace.loads[it], site.poolSizes[it], weights) }

private fun poolBound(loads: DoubleArray, size: Int, weights: CapacityWeights): Double {
    val steps = loads.size / TICKS_PER_STEP
    val largest = maxOf(size, loads.max().toInt() + 1)
    var costs = DoubleArray(largest + 1) { kotlin.math.abs(it - size) * weights.costPerMove / 2 }
    for (step in 0 until steps) {
        val load = (0 until TICKS_PER_STEP).sumOf { loads[step * TICKS_PER_STEP + it] } / TICKS_PER_STEP
        costs = cheapestAfterMoves(costs, weights.costPerMove / 2)
        costs.indices.forEach { costs[it] += stepCost(it, load, weights) }
    }
    return costs.min()
}

/**
 * The lowest cost of reaching each size from any size in [costs], where changing the size by one costs [unitCost].
 * The results for neighbouring sizes differ by at most [unitCost].
 */
private fun cheapestAfterMoves(costs: DoubleArray, unitCost: Double): DoubleArray {
    val cheapest = costs.copyOf()
    for (size in 1..cheapest.lastIndex) cheapest[size] = minOf(cheapest[size], cheapest[size - 1] + unitCost)
    for (size in cheapest.lastIndex - 1 downTo 0) cheapest[size] = minOf(cheapest[size], cheapest[size + 1] + unitCost)
    return cheapest
}

private fun stepCost(size: Int, load: Double, weights: CapacityWeights): Double {
    val idle = maxOf(0.0, size - load) * weights.idleCostPerInstanceHour
    val late = maxOf(0.0, load - size) * weights.lateCostPerInstanceHour
    return (idle + late) * STEP_HOURS
}
