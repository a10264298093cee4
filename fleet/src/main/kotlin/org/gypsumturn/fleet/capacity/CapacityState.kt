// What capacity decisions remember of each pool. The state is explicit; a process that takes over starts with an
// empty one and holds every instance until it has seen it idle for long enough.

package org.gypsumturn.fleet.capacity

import org.gypsumturn.model.PoolId
import kotlin.math.ceil
import kotlin.math.exp

/** Largest number of instances of one pool whose idle times are told apart. */
private const val MAX_RANKS = 256

/** Idle times that are remembered of each rank. */
private const val MAX_GAPS = 8

/**
 * The n-th instance of a pool, which is needed whenever the pool needs at least n.
 *
 * @property idleHours time since it was last needed
 * @property gapHours the latest idle times that ended because it was needed again
 */
public data class RankState(public val idleHours: Double = 0.0, public val gapHours: List<Double> = emptyList())

/**
 * What is remembered of one pool.
 *
 * @property fastLoad average load in instances, with the fast time constant
 * @property slowLoad average load in instances, with the slow time constant
 * @property peakLoad largest slow average, forgotten over days
 * @property expectedLoad load in instances by the time a borrowed one would serve
 * @property need instances that keep the expected load below the highest utilization
 * @property shortageCost cost of the work that became late for want of instances, in this shortage
 */
public data class PoolCapacityState(
    public val pool: PoolId,
    public val fastLoad: Double = 0.0,
    public val slowLoad: Double = 0.0,
    public val peakLoad: Double = 0.0,
    public val expectedLoad: Double = 0.0,
    public val need: Int = 0,
    public val shortageCost: Double = 0.0,
    public val ranks: List<RankState> = emptyList(),
)

/** What is remembered of all pools since the decision at [atMillis]. */
public data class CapacityState(
    public val atMillis: Long? = null,
    public val pools: List<PoolCapacityState> = emptyList(),
)

/**
 * Load of one pool, in instances.
 *
 * @property instances members that serve, or will after a warm-up or an arriving move
 * @property offered instances that arriving work keeps busy
 * @property backlogHours work that waits, in hours of one instance
 * @property patienceMillis time for which work may wait without being late
 * @property moveWidth instances that may be on their way into the pool at once
 */
public data class PoolLoad(
    public val pool: PoolId,
    public val isSpare: Boolean,
    public val instances: Int,
    public val minInstances: Int,
    public val offered: Double,
    public val backlogHours: Double,
    public val patienceMillis: Long = 0,
    public val moveWidth: Int = 1,
)

/** The state of a pool after [elapsedMillis] with [load]; the first report sets the averages. */
internal fun PoolCapacityState.observe(
    load: PoolLoad,
    elapsedMillis: Long?,
    settings: CapacitySettings,
): PoolCapacityState {
    val hours = (elapsedMillis ?: 0) / MILLIS_PER_HOUR
    val averaged = averaged(load, elapsedMillis, settings)
    val expected = averaged.expectedLoad(load, settings)
    val needed = maxOf(load.minInstances, ceil(expected / settings.maxUtilization).toInt())
    val lost = (expected - load.instances) * hours * settings.weights.latePerInstanceHour
    val size = minOf(MAX_RANKS, maxOf(needed, load.instances, ranks.size))
    val observed = List(size) { index ->
        val rank = ranks.getOrNull(index) ?: RankState()
        if (index < needed) rank.used(settings) else rank.copy(idleHours = rank.idleHours + hours)
    }
    return averaged.copy(
        expectedLoad = expected,
        need = needed,
        shortageCost = if (lost > 0) shortageCost + lost else shortageCost / 2,
        ranks = observed,
    )
}

/** Time constant with which past peaks are forgotten. */
private const val PEAK_MEMORY_HOURS = 72.0

private fun kept(hours: Double): Double = exp(-hours / PEAK_MEMORY_HOURS)

private fun PoolCapacityState.averaged(
    load: PoolLoad,
    elapsedMillis: Long?,
    settings: CapacitySettings,
): PoolCapacityState {
    if (elapsedMillis == null) return copy(fastLoad = load.offered, slowLoad = load.offered)
    val fast = average(fastLoad, load.offered, elapsedMillis, settings.fastMillis)
    val slow = average(slowLoad, load.offered, elapsedMillis, settings.slowMillis)
    return copy(
        fastLoad = fast,
        slowLoad = slow,
        peakLoad = maxOf(slow, peakLoad * kept(elapsedMillis / MILLIS_PER_HOUR)),
    )
}

private fun average(old: Double, sample: Double, elapsedMillis: Long, constantMillis: Long): Double =
    old + (sample - old) * (1 - exp(-elapsedMillis.toDouble() / constantMillis))

/** Part of its patience within which work that may wait is done. */
private const val PATIENCE_PART = 0.75

/**
 * Load in instances by the time a borrowed one would serve.
 *
 * Averages with time constants f and s lag a load that rises by r a second by r·f and r·s, so their difference gives
 * r. A rise is not followed beyond past peaks. Where work may wait, the load is what clears the backlog in time.
 */
private fun PoolCapacityState.expectedLoad(load: PoolLoad, settings: CapacitySettings): Double {
    if (load.patienceMillis >= settings.patientMillis) {
        return load.backlogHours / (load.patienceMillis * PATIENCE_PART / MILLIS_PER_HOUR)
    }
    val lags = (settings.slowMillis - settings.fastMillis).toDouble()
    val rise = maxOf(0.0, fastLoad - slowLoad) * (settings.fastMillis + settings.leadMillis) / lags
    return minOf(fastLoad + rise, maxOf(fastLoad, peakLoad))
}

/** Gaps shorter than the shortest hold are noise and are not remembered. */
private fun RankState.used(settings: CapacitySettings): RankState = when {
    idleHours == 0.0 -> this
    idleHours * MILLIS_PER_HOUR < settings.minHoldMillis -> copy(idleHours = 0.0)
    else -> RankState(gapHours = (gapHours + idleHours).takeLast(MAX_GAPS))
}
