// What an entry keeps for each pool besides its targets.

package org.gypsumturn.request

import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId

/** Share of the remaining time after which an exchange that may be repeated is given up. */
private const val ATTEMPT_SHARE = 0.5

/** Multiple of the mean exchange time below which an exchange is not given up early. */
private const val MIN_ATTEMPT_FACTOR = 8.0

/** Multiple of the mean exchange time within which nearly all exchanges end. */
private const val TAIL_FACTOR = 3.0

/** Queue, retry budget and learned exchange time of one pool. */
internal class PoolState(settings: DispatchSettings, shareOf: (TeamId?) -> Double) {
    val queue = PoolQueue(shareOf)
    val budget = RetryBudget(settings.retryBudgetShare)
    val serviceTime = ServiceTime()

    /** Exchanges of this entry that run for the pool. */
    var running: Int = 0

    private val rates = Priority.entries.associateWith { StartRate() }

    fun rate(priority: Priority): StartRate = rates.getValue(priority)

    /** What admission has to know for a request of [priority]. */
    fun load(nowMillis: Long, priority: Priority): PoolLoad {
        val ahead = queue.sizeUpTo(priority)
        val modelled = ahead * serviceTime.meanMillis / maxOf(running, 1)
        // More urgent requests hold batch back only while a burst lasts, so its present rate says little of its wait.
        val learned = if (priority ==
            Priority.BATCH
        ) {
            null
        } else {
            rate(priority).waitMillis(nowMillis, queue.sizeOf(priority))
        }
        return PoolLoad(ahead, maxOf(learned ?: 0.0, modelled), tailMillis)
    }

    private val tailMillis: Double get() = serviceTime.meanMillis * TAIL_FACTOR

    /** Time that an exchange gets; shorter than [remainingMillis] where a retry could follow it. */
    fun attemptMillis(remainingMillis: Long, mayRetry: Boolean): Long {
        val early = (remainingMillis * ATTEMPT_SHARE).toLong()
        val longEnough = early > serviceTime.meanMillis * MIN_ATTEMPT_FACTOR
        return if (mayRetry && longEnough) maxOf(early, 1) else remainingMillis
    }

    /** Whether starting a request with [remainingMillis] left would only delay those behind it. */
    fun isTooLate(remainingMillis: Long): Boolean =
        remainingMillis <= 0 || (queue.size > 0 && remainingMillis < tailMillis)
}
