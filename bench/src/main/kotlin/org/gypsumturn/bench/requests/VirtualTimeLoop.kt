// An event loop in virtual time. Actions run in the order of their times; actions with the same time run in the order
// in which they were scheduled.

package org.gypsumturn.bench.requests

import java.util.PriorityQueue

/** Runs scheduled actions in virtual time. */
internal class VirtualTimeLoop {
    private class ScheduledAction(val atMicros: Long, val sequence: Long, val run: () -> Unit)

    private val actions = PriorityQueue(compareBy<ScheduledAction> { it.atMicros }.thenBy { it.sequence })
    private var lastSequence = 0L

    /** The current virtual time. */
    var nowMicros: Long = 0
        private set

    val nowMillis: Long get() = nowMicros / MICROS_PER_MILLI

    /** Schedules [action] after [delayMicros]; a negative delay counts as zero. */
    fun schedule(delayMicros: Long, action: () -> Unit) {
        lastSequence++
        actions.add(ScheduledAction(nowMicros + maxOf(delayMicros, 0), lastSequence, action))
    }

    /** Runs [action] at once and then every [intervalMicros]. */
    fun scheduleEvery(intervalMicros: Long, action: () -> Unit) {
        action()
        schedule(intervalMicros) { scheduleEvery(intervalMicros, action) }
    }

    /** Runs all actions that are due up to [endMicros] and sets the time to [endMicros]. */
    fun runUntil(endMicros: Long) {
        while (true) {
            val next = actions.peek() ?: break
            if (next.atMicros > endMicros) break
            actions.remove()
            nowMicros = next.atMicros
            next.run()
        }
        nowMicros = endMicros
    }
}

internal const val MICROS_PER_MILLI: Long = 1_000L
internal const val MICROS_PER_SECOND: Long = 1_000_000L
