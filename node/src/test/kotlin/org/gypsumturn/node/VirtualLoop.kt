// An event loop in virtual time for the tests of the node.

package org.gypsumturn.node

import java.util.PriorityQueue

internal class VirtualLoop {
    private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var eventCount = 0L

    var nowMillis = 0L
        private set

    fun runAfter(delayMillis: Long, action: () -> Unit) {
        events += Event(nowMillis + delayMillis, eventCount++, action)
    }

    fun runUntil(endMillis: Long) {
        while (true) {
            val next = events.peek()?.takeIf { it.atMillis <= endMillis } ?: break
            events.remove()
            nowMillis = next.atMillis
            next.action()
        }
        nowMillis = endMillis
    }
}
