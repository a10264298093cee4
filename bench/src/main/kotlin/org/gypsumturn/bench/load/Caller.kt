// Makes one call, with retries at other entries, until the retry policy ends it.

package org.gypsumturn.bench.load

import org.gypsumturn.runtime.settings.HostAndPort
import java.util.concurrent.TimeUnit

private const val RETRY_PAUSE_MILLIS = 100L

/**
 * A call that has ended.
 *
 * @property history the replies to all attempts, oldest first
 * @property latencyMillis time from when the call fell due to its end
 * @property sendDelayMillis part of the latency in which the call waited for a free sender thread
 */
public data class FinishedCall(
    public val outcome: CallOutcome,
    public val history: List<Reply>,
    public val latencyMillis: Long,
    public val sendDelayMillis: Long = 0,
)

/** Makes calls at [entries], with retries for [retryWindowMillis] after a call fell due. Thread-safe. */
internal class Caller(
    private val entries: List<HostAndPort>,
    private val http: EntryHttp,
    private val retryWindowMillis: Long,
) {
    /**
     * Makes [call] and returns its outcome. The first attempt goes to the entry at the index [firstEntry], modulo the
     * number of entries, and each retry to the next one. [dueNanos] is the reading of [System.nanoTime] at which the
     * call fell due. Blocks until the call has ended.
     */
    fun makeCall(call: HttpCall, kind: CallKind, firstEntry: Int, dueNanos: Long): FinishedCall {
        val history = mutableListOf<Reply>()
        val sendDelayMillis = millisSince(dueNanos)
        while (true) {
            history += http.send(entries[(firstEntry + history.size) % entries.size], call)
            val mayRetry = millisSince(dueNanos) < retryWindowMillis
            val step = nextStep(kind, history, mayRetry)
            if (step is NextStep.Finish) {
                return FinishedCall(step.outcome, history, millisSince(dueNanos), sendDelayMillis)
            }
            if (history.size >= entries.size) Thread.sleep(RETRY_PAUSE_MILLIS)
        }
    }

    private fun millisSince(nanos: Long) = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos)
}
