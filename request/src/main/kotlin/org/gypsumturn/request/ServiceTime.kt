// Tracks the mean duration of the exchanges of a pool.

package org.gypsumturn.request

/** Weight of the newest exchange in the moving mean. */
private const val NEWEST_WEIGHT = 1.0 / 32

/** Exponentially weighted mean of the exchange times of a pool. */
internal class ServiceTime {
    private var samples = 0L

    /** The mean, or zero before the first exchange. */
    var meanMillis: Double = 0.0
        private set

    fun add(millis: Long) {
        samples++
        val weight = maxOf(NEWEST_WEIGHT, 1.0 / samples)
        meanMillis += (millis - meanMillis) * weight
    }
}
