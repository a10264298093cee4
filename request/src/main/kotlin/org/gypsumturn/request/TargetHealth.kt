// Tracks the results of exchanges with one target. A single silent exchange is attributed to its connection; errors and
// refused connections are attributed to the target.

package org.gypsumturn.request

/** Weight of the newest exchange in the moving error rate. */
private const val NEWEST_WEIGHT = 0.2

/** Error rate from which a target may be ejected, if the rest of its pool does clearly better. */
private const val OUTLIER_ERROR_RATE = 0.6

/** Number of silent exchanges without an answer in between after which the target itself is suspected. */
private const val MAX_SILENT = 3

/**
 * Largest multiple of the base ejection time. The multiple grows by one with each ejection until an exchange succeeds.
 */
private const val MAX_EJECTION_FACTOR = 6

/** Health of one target as this entry observes it. */
internal class TargetHealth {
    /** Moving average of the share of exchanges that failed through the fault of the target. */
    var errorRate: Double = 0.0
        private set

    /** Number of silent exchanges since the last answer. */
    var silentSinceAnswer: Int = 0
        private set

    /** Time of the last silent exchange. */
    var lastSilentMillis: Long = Long.MIN_VALUE / 2
        private set

    /** Until when the target gets no exchanges; a time in the past if it is not ejected. */
    var ejectedUntilMillis: Long = Long.MIN_VALUE / 2
        private set

    private var ejections = 0

    val isSuspectedSilent: Boolean get() = silentSinceAnswer >= MAX_SILENT

    val isSuspectedFaulty: Boolean get() = errorRate >= OUTLIER_ERROR_RATE

    fun isEjected(nowMillis: Long): Boolean = nowMillis < ejectedUntilMillis

    fun recordSuccess() {
        silentSinceAnswer = 0
        ejections = 0
        errorRate -= errorRate * NEWEST_WEIGHT
    }

    fun recordFailure() {
        errorRate += (1.0 - errorRate) * NEWEST_WEIGHT
    }

    fun recordSilence(nowMillis: Long) {
        silentSinceAnswer++
        lastSilentMillis = nowMillis
    }

    fun eject(nowMillis: Long, ejectionMillis: Long) {
        ejections = minOf(ejections + 1, MAX_EJECTION_FACTOR)
        ejectedUntilMillis = nowMillis + ejectionMillis * ejections
        errorRate = 0.0
        silentSinceAnswer = 0
    }

    /** Ends an ejection for silence early, because the network path turned out to be at fault. */
    fun cancelEjection(nowMillis: Long) {
        ejectedUntilMillis = minOf(ejectedUntilMillis, nowMillis)
    }
}
