// Estimates the demand of pools from what the entries report in their beats.

package org.gypsumturn.control.fleet

import org.gypsumturn.fleet.capacity.PoolDemand
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.view.NodeHeartbeat
import org.gypsumturn.view.PoolLoad

/** The sum of what all entries reported for a pool at [atMillis] of the observer's monotonic clock. */
internal data class PoolSample(
    val atMillis: Long,
    val queued: Int,
    val running: Int,
    val finishedByNode: Map<NodeId, Long>,
)

/** The latest sample of each pool, and the mean run time seen so far. */
internal data class DemandState(
    val samples: Map<PoolId, PoolSample> = emptyMap(),
    val meanRunMillis: Map<PoolId, Double> = emptyMap(),
)

/** Demands, and the state for the next estimate. */
internal data class DemandEstimate(val demand: List<PoolDemand>, val state: DemandState)

/**
 * Estimates demand at [nowMillis] from [beats].
 *
 * Little's law gives the mean run time of a request as `running * elapsed / finished`; arrivals are what finished plus
 * what the queue grew by; offered slots are arrivals per time, times the mean run time.
 */
internal fun estimateDemand(nowMillis: Long, beats: List<NodeHeartbeat>, before: DemandState): DemandEstimate {
    val loads = beats.flatMap { beat -> beat.load.map { ReportedLoad(beat.node, it) } }.groupBy { it.load.pool }
    val samples = loads.mapValues { (_, reported) -> sampleOf(nowMillis, reported) }
    val means = samples.mapValues { (pool, sample) -> meanRunMillis(before, pool, sample) }
    val demand = samples.mapNotNull { (pool, sample) ->
        before.samples[pool]?.let { demandOf(pool, it, sample, means.getValue(pool)) }
    }
    return DemandEstimate(demand, DemandState(samples, before.meanRunMillis + means))
}

private data class ReportedLoad(val node: NodeId, val load: PoolLoad)

private fun sampleOf(nowMillis: Long, reported: List<ReportedLoad>): PoolSample = PoolSample(
    nowMillis,
    reported.sumOf { it.load.queued },
    reported.sumOf { it.load.running },
    reported.associate { it.node to it.load.finished },
)

// A node that started anew counts from zero; one that was not seen before adds nothing yet.
private fun finishedBetween(before: PoolSample, after: PoolSample): Long = after.finishedByNode.entries.sumOf {
    val earlier = before.finishedByNode[it.key] ?: it.value
    maxOf(0L, it.value - earlier)
}

private fun meanRunMillis(before: DemandState, pool: PoolId, sample: PoolSample): Double {
    val known = before.meanRunMillis[pool] ?: INITIAL_RUN_MILLIS
    val earlier = before.samples[pool] ?: return known
    val finished = finishedBetween(earlier, sample)
    if (finished == 0L) return known
    val running = (earlier.running + sample.running) / 2.0
    val measured = running * (sample.atMillis - earlier.atMillis) / finished
    return known + (measured - known) * SMOOTHING
}

private fun demandOf(pool: PoolId, before: PoolSample, sample: PoolSample, meanRunMillis: Double): PoolDemand {
    val elapsedMillis = (sample.atMillis - before.atMillis).coerceAtLeast(1)
    val arrived = finishedBetween(before, sample) + sample.queued + sample.running - before.queued - before.running
    return PoolDemand(
        pool,
        offeredSlots = maxOf(0L, arrived) * meanRunMillis / elapsedMillis,
        queuedSlotMillis = (sample.queued * meanRunMillis).toLong(),
    )
}

private const val INITIAL_RUN_MILLIS = 100.0
private const val SMOOTHING = 0.3
