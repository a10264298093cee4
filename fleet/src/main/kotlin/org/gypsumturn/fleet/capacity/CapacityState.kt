// The state that capacity decisions carry from one decision to the next. Callers pass it in and get the new one back. A
// process that takes over starts with an empty state, so it moves no instance before it has seen it idle long enough.

package org.gypsumturn.fleet.capacity

import org.gypsumturn.model.PoolId
import kotlin.math.ceil
import kotlin.math.exp

/** Number of instances of one pool for which idle times are recorded, a bound on the size of the state. */
private const val MAX_RANKS = 256

/** Number of past idle times that are kept for each rank. */
private const val MAX_PAST_IDLE_TIMES = 8

/**
 * Idle times of one rank of a pool. Rank n stands for the n-th instance, which is in use while the pool needs at least
 * n instances; ranks are not tied to particular instances.
 *
 * @property idleHours time since the rank was last needed
 * @property pastIdleHours the latest idle times that ended because the rank was needed again
 */
public data class RankState(public val idleHours: Double = 0.0, public val pastIdleHours: List<Double> = emptyList())

/**
 * Capacity state of one pool.
 *
 * @property fastLoad average load in instances, with the fast time constant
 * @property slowLoad average load in instances, with the slow time constant
 * @property peakLoad largest slow average so far, which decays over days
 * @property expectedLoad expected load in instances at the time when an instance that is moved now would serve
 * @property neededInstances instances that keep the expected load at or below the highest utilization
 * @property shortageCost cost of the late work in the present shortage; halved at each report without a shortage
 */
public data class PoolCapacityState(
    public val pool: PoolId,
    public val fastLoad: Double = 0.0,
    public val slowLoad: Double = 0.0,
    public val peakLoad: Double = 0.0,
    public val expectedLoad: Double = 0.0,
    public val neededInstances: Int = 0,
    public val shortageCost: Double = 0.0,
    public val ranks: List<RankState> = emptyList(),
)

/** State of all pools after the decision at [atMillis]; null before the first decision. */
public data class CapacityState(
    public val atMillis: Long? = null,
    public val pools: List<PoolCapacityState> = emptyList(),
)

/**
 * Load of one pool, in instances.
 *
 * @property instances members that serve or warm up, and instances that are being moved into the pool
 * @property offeredLoad number of instances that the arriving work keeps busy
 * @property backlogHours queued work, as the time in hours that one instance takes to do it
 * @property patienceMillis time for which work may wait before it counts as late
 * @property maxInboundMoves largest number of instances that may be moving into the pool at the same time
 */
public data class PoolLoad(
    public val pool: PoolId,
    public val isSpare: Boolean,
    public val instances: Int,
    public val minInstances: Int,
    public val offeredLoad: Double,
    public val backlogHours: Double,
    public val patienceMillis: Long = 0,
    public val maxInboundMoves: Int = 1,
)

/**
 * Returns the state of the pool after [elapsedMillis] with [load]. A null [elapsedMillis] marks the first report of the
 * pool, which sets the averages.
 */
internal fun PoolCapacityState.observe(
    load: PoolLoad,
    elapsedMillis: Long?,
    settings: CapacitySettings,
): PoolCapacityState {
    val hours = (elapsedMillis ?: 0) / MILLIS_PER_HOUR
    val updated = withUpdatedAverages(load, elapsedMillis, settings)
    val expected = updated.expectedLoad(load, settings)
    val needed = maxOf(load.minInstances, ceil(expected / settings.maxUtilization).toInt())
    val lost = (expected - load.instances) * hours * settings.weights.lateCostPerInstanceHour
    val size = minOf(MAX_RANKS, maxOf(needed, load.instances, ranks.size))
    val observed = List(size) { index ->
        val rank = ranks.getOrNull(index) ?: RankState()
        if (index < needed) rank.withIdleTimeEnded(settings) else rank.copy(idleHours = rank.idleHours + hours)
    }
    return updated.copy(
        expectedLoad = expected,
        neededInstances = needed,
        shortageCost = if (lost > 0) shortageCost + lost else shortageCost / 2,
        ranks = observed,
    )
}

/** Time constant of the decay of past peaks. */
private const val PEAK_MEMORY_HOURS = 72.0

private fun peakDecay(hours: Double): Double = exp(-hours / PEAK_MEMORY_HOURS)

private fun PoolCapacityState.withUpdatedAverages(
    load: PoolLoad,
    elapsedMillis: Long?,
    settings: CapacitySettings,
): PoolCapacityState {
    if (elapsedMillis == null) return copy(fastLoad = load.offeredLoad, slowLoad = load.offeredLoad)
    val fast = average(fastLoad, load.offeredLoad, elapsedMillis, settings.fastAverageMillis)
    val slow = average(slowLoad, load.offeredLoad, elapsedMillis, settings.slowAverageMillis)
    return copy(
        fastLoad = fast,
        slowLoad = slow,
        peakLoad = maxOf(slow, peakLoad * peakDecay(elapsedMillis / MILLIS_PER_HOUR)),
    )
}

private fun average(old: Double, sample: Double, elapsedMillis: Long, constantMillis: Long): Double =
    old + (sample - old) * (1 - exp(-elapsedMillis.toDouble() / constantMillis))

/** Fraction of the patience within which the backlog should be cleared. */
private const val PATIENCE_FRACTION = 0.75

/**
 * Returns the expected load in instances at the time when an instance that is moved now would serve.
 *
 * Averages with time constants f and s lag behind a load that rises by r per second by r·f and r·s, so r is their
 * difference divided by s - f. The extrapolated rise is capped at the past peak. For work that may wait long enough,
 * the result is instead the number of instances that clears the backlog in time.
 */
private fun PoolCapacityState.expectedLoad(load: PoolLoad, settings: CapacitySettings): Double {
    if (load.patienceMillis >= settings.backlogSizingPatienceMillis) {
        return load.backlogHours / (load.patienceMillis * PATIENCE_FRACTION / MILLIS_PER_HOUR)
    }
    val lags = (settings.slowAverageMillis - settings.fastAverageMillis).toDouble()
    val rise = maxOf(0.0, fastLoad - slowLoad) * (settings.fastAverageMillis + settings.moveLeadMillis) / lags
    return minOf(fastLoad + rise, maxOf(fastLoad, peakLoad))
}

/** Ends the idle time of a rank. Idle times shorter than the shortest hold are noise and are not recorded. */
private fun RankState.withIdleTimeEnded(settings: CapacitySettings): RankState = when {
    idleHours == 0.0 -> this
    idleHours * MILLIS_PER_HOUR < settings.minHoldMillis -> copy(idleHours = 0.0)
    else -> RankState(pastIdleHours = (pastIdleHours + idleHours).takeLast(MAX_PAST_IDLE_TIMES))
}
