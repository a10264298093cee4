// Generates the demand of a site's pools over time. Within a group the pools peak in turn. A pool spends about a fifth
// of the time at five times its mean load, which exceeds the pool's capacity, and the rest at a twentieth of the mean.

package org.gypsumturn.bench.fleet

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.JDKRandomBridge
import org.apache.commons.rng.simple.RandomSource
import kotlin.math.exp

internal const val TICK_MILLIS = 5 * SECOND_MILLIS

private const val MEAN_LOAD_SHARE = 0.3
private const val PEAK_FACTOR = 5.0
private const val QUIET_FACTOR = 0.05
private const val CYCLE_MILLIS = 75.0 * MINUTE_MILLIS
private const val PEAK_SHARE_OF_CYCLE = 0.19
private const val RAMP_MILLIS = 60.0 * SECOND_MILLIS
private const val JITTER = 0.25
private const val NOISE = 0.15
private const val NOISE_PERSISTENCE = 0.8
private const val FALSE_PEAK_FACTOR = 2.0
private const val FALSE_PEAKS_PER_TICK = 1.0 / 1_440
private const val FALSE_PEAK_TICKS = 6

/** The load of each pool at each tick, as the number of instances that it keeps busy. */
internal class DemandTrace(val loads: List<DoubleArray>) {
    val ticks: Int get() = loads.first().size
}

/** Generates the demand of [site] over [durationMillis]; equal seeds give equal traces. */
internal fun generateDemandTrace(site: Site, durationMillis: Long, seed: Long): DemandTrace {
    val random = RandomSource.XO_SHI_RO_256_PP.create(seed)
    val ticks = (durationMillis / TICK_MILLIS).toInt()
    val loads = site.poolSizes.mapIndexed { index, size ->
        val cycleOffsetShare = index % site.groupSize / site.groupSize.toDouble()
        PoolLoadGenerator(random, size * MEAN_LOAD_SHARE, cycleOffsetShare * CYCLE_MILLIS).loads(ticks)
    }
    return DemandTrace(loads)
}

private class PoolLoadGenerator(
    private val random: UniformRandomProvider,
    private val meanLoad: Double,
    private var cycleStartMillis: Double,
) {
    private val gaussian = JDKRandomBridge(RandomSource.XO_SHI_RO_256_PP, random.nextLong())
    private var peakMillis = withJitter(CYCLE_MILLIS * PEAK_SHARE_OF_CYCLE)
    private var cycleMillis = withJitter(CYCLE_MILLIS)
    private var noise = 0.0
    private var falsePeakTicks = 0

    fun loads(ticks: Int): DoubleArray = DoubleArray(ticks) { tick ->
        val now = tick * TICK_MILLIS.toDouble()
        if (now >= cycleStartMillis + cycleMillis) startNextCycle()
        noise = noise * NOISE_PERSISTENCE + gaussian.nextGaussian() * NOISE * (1 - NOISE_PERSISTENCE)
        meanLoad * (peakFactor(now - cycleStartMillis) + falsePeakFactor()) * exp(noise)
    }

    private fun withJitter(millis: Double): Double = millis * (1 + JITTER * (2 * random.nextDouble() - 1))

    private fun startNextCycle() {
        cycleStartMillis += cycleMillis
        cycleMillis = withJitter(CYCLE_MILLIS)
        peakMillis = withJitter(CYCLE_MILLIS * PEAK_SHARE_OF_CYCLE)
    }

    private fun peakFactor(sinceMillis: Double): Double {
        val rising = (sinceMillis / RAMP_MILLIS).coerceIn(0.0, 1.0)
        val falling = ((peakMillis - sinceMillis) / RAMP_MILLIS).coerceIn(0.0, 1.0)
        return QUIET_FACTOR + (PEAK_FACTOR - QUIET_FACTOR) * minOf(rising, falling)
    }

    private fun falsePeakFactor(): Double {
        if (falsePeakTicks == 0 && random.nextDouble() < FALSE_PEAKS_PER_TICK) falsePeakTicks = FALSE_PEAK_TICKS
        if (falsePeakTicks == 0) return 0.0
        falsePeakTicks--
        return FALSE_PEAK_FACTOR
    }
}
