// The state that an entry keeps for each pool, apart from the targets.

package org.gypsumturn.request

import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId

/** Share of the remaining time after which an exchange is abandoned if it can be retried. */
private const val ATTEMPT_SHARE = 0.5

/**
 * The time-out of an exchange is shortened to leave time for a retry only if it stays above this multiple of the mean
 * exchange time.
 */
private const val MIN_ATTEMPT_FACTOR = 8.0

/** Nearly all exchanges end within this multiple of the mean exchange time. */
private const val TAIL_FACTOR = 3.0

/** Queue, retry budget and mean exchange time of one pool. */
internal class PoolState(settings: DispatchSettings, shareOf: (TeamId?) -> Double) {
    val queue = PoolQueue(shareOf)
    val budget = RetryBudget(settings.retryBudgetShare)
    val serviceTime = ServiceTime()

    /** Number of exchanges of this entry that are running for the pool. */
    var running: Int = 0

    private val dequeueRates = Priority.entries.associateWith { DequeueRate() }

    fun dequeueRate(priority: Priority): DequeueRate = dequeueRates.getValue(priority)

    /** The load that admission control checks for a request of [priority]. */
    fun load(nowMillis: Long, priority: Priority): QueueLoad {
        val queuedAhead = queue.sizeUpTo(priority)
        val modelledWaitMillis = queuedAhead * serviceTime.meanMillis / maxOf(running, 1)
        // Batch requests are held back only while a burst of more urgent requests lasts, so their current dequeue rate
        // does not predict how long they wait.
        val measuredWaitMillis = if (priority == Priority.BATCH) {
            null
        } else {
            dequeueRate(priority).estimatedWaitMillis(nowMillis, queue.sizeOf(priority))
        }
        return QueueLoad(queuedAhead, maxOf(measuredWaitMillis ?: 0.0, modelledWaitMillis), tailMillis)
    }

    private val tailMillis: Double get() = serviceTime.meanMillis * TAIL_FACTOR

    /** Time-out of an exchange. It is shorter than [remainingMillis] if the exchange can be followed by a retry. */
    fun attemptMillis(remainingMillis: Long, mayRetry: Boolean): Long {
        val shortenedMillis = (remainingMillis * ATTEMPT_SHARE).toLong()
        val longEnough = shortenedMillis > serviceTime.meanMillis * MIN_ATTEMPT_FACTOR
        return if (mayRetry && longEnough) maxOf(shortenedMillis, 1) else remainingMillis
    }

    /**
     * Whether a request with [remainingMillis] left can probably not finish in time, so that starting it would only
     * delay the requests behind it.
     */
    fun isTooLate(remainingMillis: Long): Boolean =
        remainingMillis <= 0 || (queue.size > 0 && remainingMillis < tailMillis)
}
