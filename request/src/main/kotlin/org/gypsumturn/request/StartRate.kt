// Learns how fast a backlog shrinks, to tell a new request how long it would wait.

package org.gypsumturn.request

/** Time of backlog before its own rate is trusted. */
private const val MIN_BACKLOG_MILLIS = 500L

/** Time after which what was learned of a backlog counts half. */
private const val HALVING_MILLIS = 5_000L

/** Rate at which the requests of one priority leave their queue while it is never empty. */
internal class StartRate {
    private var sinceMillis: Double? = null
    private var left = 0.0

    /** Notes that a request entered the queue. */
    fun entered(nowMillis: Long) {
        if (sinceMillis == null) sinceMillis = nowMillis.toDouble()
    }

    /** Notes that a request left the queue, in which [remaining] stay. */
    fun left(nowMillis: Long, remaining: Int) {
        val since = sinceMillis ?: return
        if (remaining == 0) {
            sinceMillis = null
            left = 0.0
            return
        }
        left++
        val elapsed = nowMillis - since
        if (elapsed > HALVING_MILLIS) {
            left /= 2
            sinceMillis = nowMillis - elapsed / 2
        }
    }

    /** Time until [ahead] requests have left, or null while too little is known. */
    fun waitMillis(nowMillis: Long, ahead: Int): Double? {
        val elapsed = nowMillis - (sinceMillis ?: return null)
        if (elapsed < MIN_BACKLOG_MILLIS) return null
        return ahead * elapsed / maxOf(left, 1.0)
    }
}
