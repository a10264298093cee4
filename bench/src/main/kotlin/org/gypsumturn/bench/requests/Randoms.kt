// Random draws with the distributions that the simulation needs: exponential, log-normal and the delay of a hop.

package org.gypsumturn.bench.requests

import org.apache.commons.rng.UniformRandomProvider
import kotlin.math.PI
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** Standard deviation of the logarithm of run times: the slowest 1 % take about six times the mean. */
private const val RUN_TIME_SIGMA = 1.0

/** Time to the next event of a Poisson process with [ratePerSecond]. */
internal fun UniformRandomProvider.exponentialMicros(ratePerSecond: Double): Long =
    (-ln(1.0 - nextDouble()) / ratePerSecond * MICROS_PER_SECOND).toLong()

/** A log-normal run time with the given mean. */
internal fun UniformRandomProvider.runTimeMicros(meanMillis: Double): Long {
    // Box-Muller transform.
    val normal = sqrt(-2.0 * ln(1.0 - nextDouble())) * cos(2.0 * PI * nextDouble())
    val logMean = ln(meanMillis) - RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2
    return maxOf(1L, (exp(logMean + RUN_TIME_SIGMA * normal) * MICROS_PER_MILLI).toLong())
}

/** One-way network delay between two processes in the users' data centres: 0.5 to 1 ms. */
internal fun UniformRandomProvider.hopMicros(): Long = 500L + nextInt(500)
