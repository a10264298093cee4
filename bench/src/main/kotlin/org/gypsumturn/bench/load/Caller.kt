// Makes one call after the policy: from entry to entry until it has ended.

package org.gypsumturn.bench.load

import org.gypsumturn.runtime.settings.HostAndPort
import java.util.concurrent.TimeUnit

private const val REPEAT_PAUSE_MILLIS = 100L

/**
 * A call that has ended.
 *
 * @property latencyMillis time from when the call fell due to its end
 * @property sentLateMillis part of it in which the call waited for a free sender
 */
public data class FinishedCall(
    public val end: CallEnd,
    public val history: List<Reply>,
    public val latencyMillis: Long,
    public val sentLateMillis: Long = 0,
)

/** Makes calls at [entries]. Thread-safe. */
internal class Caller(
    private val entries: List<HostAndPort>,
    private val http: EntryHttp,
    private val retryWindowMillis: Long,
) {
    /** Makes [call], first at the entry number [first]; [dueNanos] is the time at which it fell due. */
    fun make(call: HttpCall, kind: CallKind, first: Int, dueNanos: Long): FinishedCall {
        val history = mutableListOf<Reply>()
        val sentLateMillis = millisSince(dueNanos)
        while (true) {
            history += http.send(entries[(first + history.size) % entries.size], call)
            val mayAskAgain = millisSince(dueNanos) < retryWindowMillis
            val step = nextStep(kind, history, mayAskAgain)
            if (step is NextStep.Finish) {
                return FinishedCall(step.end, history, millisSince(dueNanos), sentLateMillis)
            }
            if (history.size >= entries.size) Thread.sleep(REPEAT_PAUSE_MILLIS)
        }
    }

    private fun millisSince(nanos: Long) = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos)
}
