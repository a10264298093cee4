// What a target's exchanges tell about it. A silent exchange is first blamed on its connection; errors and refused
// connections are blamed on the target.

package org.gypsumturn.request

/** Weight of the newest exchange in the moving error rate. */
private const val NEWEST_WEIGHT = 0.2

/** Error rate from which a target is an outlier, if the rest of its pool does clearly better. */
private const val OUTLIER_ERROR_RATE = 0.6

/** Silent exchanges without a success between them after which the target itself is suspected. */
private const val MAX_SILENT = 3

/** Growth of the ejection time with each ejection that follows another without a success between them. */
private const val MAX_EJECTION_FACTOR = 6

/** Health of one target as seen by this entry. */
internal class TargetHealth {
    /** Moving share of exchanges that failed through the target's fault. */
    var errorRate: Double = 0.0
        private set

    /** Silent exchanges since the last answer. */
    var silentSinceAnswer: Int = 0
        private set

    /** Time of the last silent exchange. */
    var lastSilentMillis: Long = Long.MIN_VALUE / 2
        private set

    /** Until when the target gets nothing; in the past if it is not ejected. */
    var ejectedUntilMillis: Long = Long.MIN_VALUE / 2
        private set

    private var ejections = 0

    val suspectedSilent: Boolean get() = silentSinceAnswer >= MAX_SILENT

    val suspectedFaulty: Boolean get() = errorRate >= OUTLIER_ERROR_RATE

    fun isEjected(nowMillis: Long): Boolean = nowMillis < ejectedUntilMillis

    fun answered() {
        silentSinceAnswer = 0
        ejections = 0
        errorRate -= errorRate * NEWEST_WEIGHT
    }

    fun failed() {
        errorRate += (1.0 - errorRate) * NEWEST_WEIGHT
    }

    fun silent(nowMillis: Long) {
        silentSinceAnswer++
        lastSilentMillis = nowMillis
    }

    fun eject(nowMillis: Long, ejectionMillis: Long) {
        ejections = minOf(ejections + 1, MAX_EJECTION_FACTOR)
        ejectedUntilMillis = nowMillis + ejectionMillis * ejections
        errorRate = 0.0
        silentSinceAnswer = 0
    }

    /** Takes back an ejection that was for silence, since the path turned out to be at fault. */
    fun acquit(nowMillis: Long) {
        ejectedUntilMillis = minOf(ejectedUntilMillis, nowMillis)
    }
}
