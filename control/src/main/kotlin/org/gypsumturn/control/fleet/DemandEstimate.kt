// Estimates the demand of each pool from the load that entries report in their heartbeats.

package org.gypsumturn.control.fleet

import org.gypsumturn.fleet.capacity.PoolDemand
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.view.NodeHeartbeat
import org.gypsumturn.view.PoolLoad

/**
 * The load of a pool, summed over all entries.
 *
 * @property atMillis time of the sample on the observer's monotonic clock
 * @property finishedByNode requests that have ended since the start of each entry
 */
internal data class PoolSample(
    val atMillis: Long,
    val queued: Int,
    val running: Int,
    val finishedByNode: Map<NodeId, Long>,
)

/** The latest sample of each pool, and the smoothed mean run time of its requests. */
internal data class DemandState(
    val samples: Map<PoolId, PoolSample> = emptyMap(),
    val meanRunMillis: Map<PoolId, Double> = emptyMap(),
)

/** The estimated demand of each pool that has two samples, and the state for the next estimate. */
internal data class DemandEstimate(val demand: List<PoolDemand>, val state: DemandState)

/**
 * Estimates the demand of each pool at [nowMillis] from [heartbeats] and from the state after the [previous] estimate.
 *
 * By Little's law, the mean run time of a request is `running * elapsed / finished`. The arrivals are the finished
 * requests plus the growth of the number of queued and running ones. The offered slots are the arrival rate times the
 * mean run time.
 */
internal fun estimateDemand(nowMillis: Long, heartbeats: List<NodeHeartbeat>, previous: DemandState): DemandEstimate {
    val loadsByPool =
        heartbeats
            .flatMap { heartbeat -> heartbeat.load.map { ReportedLoad(heartbeat.node, it) } }
            .groupBy { it.load.pool }
    val samples = loadsByPool.mapValues { (_, reported) -> sampleOf(nowMillis, reported) }
    val meanRunMillisByPool = samples.mapValues { (pool, sample) -> meanRunMillis(previous, pool, sample) }
    val demand = samples.mapNotNull { (pool, sample) ->
        previous.samples[pool]?.let { demandOf(pool, it, sample, meanRunMillisByPool.getValue(pool)) }
    }
    return DemandEstimate(demand, DemandState(samples, previous.meanRunMillis + meanRunMillisByPool))
}

private data class ReportedLoad(val node: NodeId, val load: PoolLoad)

private fun sampleOf(nowMillis: Long, reported: List<ReportedLoad>): PoolSample = PoolSample(
    nowMillis,
    reported.sumOf { it.load.queued },
    reported.sumOf { it.load.running },
    reported.associate { it.node to it.load.finished },
)

// The count of a restarted node begins at zero again, and a node without a previous sample does not contribute yet.
private fun finishedBetween(previous: PoolSample, after: PoolSample): Long = after.finishedByNode.entries.sumOf {
    val earlier = previous.finishedByNode[it.key] ?: it.value
    maxOf(0L, it.value - earlier)
}

private fun meanRunMillis(previous: DemandState, pool: PoolId, sample: PoolSample): Double {
    val knownMean = previous.meanRunMillis[pool] ?: INITIAL_RUN_MILLIS
    val earlier = previous.samples[pool] ?: return knownMean
    val finished = finishedBetween(earlier, sample)
    if (finished == 0L) return knownMean
    val running = (earlier.running + sample.running) / 2.0
    val measuredMean = running * (sample.atMillis - earlier.atMillis) / finished
    return knownMean + (measuredMean - knownMean) * SMOOTHING
}

private fun demandOf(pool: PoolId, previous: PoolSample, sample: PoolSample, meanRunMillis: Double): PoolDemand {
    val elapsedMillis = (sample.atMillis - previous.atMillis).coerceAtLeast(1)
    val arrived =
        finishedBetween(previous, sample) + sample.queued + sample.running - previous.queued - previous.running
    return PoolDemand(
        pool,
        offeredSlots = maxOf(0L, arrived) * meanRunMillis / elapsedMillis,
        queuedSlotMillis = (sample.queued * meanRunMillis).toLong(),
    )
}

private const val INITIAL_RUN_MILLIS = 100.0
private const val SMOOTHING = 0.3
