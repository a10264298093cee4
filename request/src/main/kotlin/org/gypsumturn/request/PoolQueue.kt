// The requests that wait at one entry for one pool: urgent before normal before batch, and within a priority each team
// in proportion to its share.

package org.gypsumturn.request

import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId

/** Every how many starts the lowest waiting priority goes first, so that it is never starved. */
private const val LOWEST_FIRST_INTERVAL = 16

/** Waiting requests of one pool. [shareOf] gives the weight of a team within its priority. */
internal class PoolQueue(private val shareOf: (TeamId?) -> Double) {
    private val levels = Priority.entries.associateWith { FairQueue(shareOf) }
    private var starts = 0L

    /** Number of requests that wait. */
    val size: Int get() = levels.values.sumOf { it.size }

    fun sizeOf(priority: Priority): Int = levels.getValue(priority).size

    fun add(pending: PendingRequest) {
        levels.getValue(pending.request.priority).add(pending)
    }

    /** Puts back a request whose exchange ended without running it. */
    fun putBack(pending: PendingRequest) {
        levels.getValue(pending.request.priority).putBack(pending)
    }

    fun remove(pending: PendingRequest) {
        levels.getValue(pending.request.priority).remove(pending)
    }

    /** Takes the request that starts next, or null if none waits. */
    fun poll(): PendingRequest? {
        starts++
        val lowestFirst = starts % LOWEST_FIRST_INTERVAL == 0L
        val order = if (lowestFirst) Priority.entries.asReversed() else Priority.entries
        val priority = order.firstOrNull { sizeOf(it) > 0 } ?: return null
        return levels.getValue(priority).poll()
    }

    /** Number of requests that an arrival of [priority] may not displace. */
    fun sizeUpTo(priority: Priority): Int = Priority.entries.filter { it <= priority }.sumOf { sizeOf(it) }

    /** Number of requests that an arrival of [priority] may displace. */
    fun sizeBelow(priority: Priority): Int = size - sizeUpTo(priority)

    /** Removes the newest request of the least urgent priority below [priority], or null if there is none. */
    fun displace(priority: Priority): PendingRequest? {
        val lowest = Priority.entries.lastOrNull { it > priority && sizeOf(it) > 0 } ?: return null
        return levels.getValue(lowest).removeNewest()
    }

    /** Removes and returns all waiting requests, in no particular order. */
    fun drain(): List<PendingRequest> = levels.values.flatMap { it.drain() }
}
