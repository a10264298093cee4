// Virtual time: actions run in the order of their times, and actions of one time in the order in which they were set.

package org.gypsumturn.bench.requests

import java.util.PriorityQueue

/** Runs actions in virtual time. */
internal class Simulator {
    private class Action(val atMicros: Long, val number: Long, val run: () -> Unit)

    private val actions = PriorityQueue(compareBy<Action> { it.atMicros }.thenBy { it.number })
    private var lastNumber = 0L

    /** The present virtual time. */
    var nowMicros: Long = 0
        private set

    val nowMillis: Long get() = nowMicros / MICROS_PER_MILLI

    /** Runs [action] after [delayMicros]. */
    fun after(delayMicros: Long, action: () -> Unit) {
        lastNumber++
        actions.add(Action(nowMicros + maxOf(delayMicros, 0), lastNumber, action))
    }

    /** Runs [action] at once and then every [intervalMicros]. */
    fun every(intervalMicros: Long, action: () -> Unit) {
        action()
        after(intervalMicros) { every(intervalMicros, action) }
    }

    /** Runs all actions up to [endMicros]. */
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
