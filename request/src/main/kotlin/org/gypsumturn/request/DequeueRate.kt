// Measures how fast a backlog of queued requests shrinks, to estimate how long a new request would wait.

package org.gypsumturn.request

/** A backlog must have lasted this long before its measured rate is used. */
private const val MIN_BACKLOG_MILLIS = 500L

/** Measurement time after which the earlier measurements count half. */
private const val HALVING_MILLIS = 5_000L

/** Rate at which requests of one priority leave their queue while it is not empty. */
internal class DequeueRate {
    private var backlogSinceMillis: Double? = null
    private var dequeued = 0.0

    fun recordEnqueued(nowMillis: Long) {
        if (backlogSinceMillis == null) backlogSinceMillis = nowMillis.toDouble()
    }

    /** Records that a request left the queue, in which [remaining] requests stay. */
    fun recordDequeued(nowMillis: Long, remaining: Int) {
        val since = backlogSinceMillis ?: return
        if (remaining == 0) {
            backlogSinceMillis = null
            dequeued = 0.0
            return
        }
        dequeued++
        val elapsed = nowMillis - since
        if (elapsed > HALVING_MILLIS) {
            dequeued /= 2
            backlogSinceMillis = nowMillis - elapsed / 2
        }
    }

    /**
     * Estimated time until [ahead] requests have left the queue, or null if the backlog is too short to estimate it.
     */
    fun estimatedWaitMillis(nowMillis: Long, ahead: Int): Double? {
        val elapsed = nowMillis - (backlogSinceMillis ?: return null)
        if (elapsed < MIN_BACKLOG_MILLIS) return null
        return ahead * elapsed / maxOf(dequeued, 1.0)
    }
}
