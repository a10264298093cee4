// Learns how long exchanges of a pool take.

package org.gypsumturn.request

/** Weight of the newest exchange in the moving mean. */
private const val NEWEST_WEIGHT = 1.0 / 32

/** Exponentially weighted mean of a pool's exchange times, in milliseconds. */
internal class ServiceTime {
    private var samples = 0L

    /** The mean, or zero while nothing is known. */
    var meanMillis: Double = 0.0
        private set

    fun add(millis: Long) {
        samples++
        val weight = maxOf(NEWEST_WEIGHT, 1.0 / samples)
        meanMillis += (millis - meanMillis) * weight
    }
}
