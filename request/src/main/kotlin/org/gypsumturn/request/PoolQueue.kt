// The requests that are queued at one entry for one pool. Urgent requests go before normal and normal before batch;
// within a priority, each team gets starts in proportion to its share.

package org.gypsumturn.request

import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId

/** Every how many starts the order of the priorities is reversed, so that the lowest priority is not starved. */
private const val LOWEST_FIRST_INTERVAL = 16

/** Queued requests of one pool. [shareOf] gives the weight of a team within a priority. */
internal class PoolQueue(private val shareOf: (TeamId?) -> Double) {
    private val levels = Priority.entries.associateWith { FairQueue(shareOf) }
    private var starts = 0L

    /** Number of queued requests. */
    val size: Int get() = levels.values.sumOf { it.size }

    fun sizeOf(priority: Priority): Int = levels.getValue(priority).size

    fun add(pending: PendingRequest) {
        levels.getValue(pending.request.priority).add(pending)
    }

    /** Returns a request to its former position after an exchange that did not run it or that is to be retried. */
    fun putBack(pending: PendingRequest) {
        levels.getValue(pending.request.priority).putBack(pending)
    }

    fun remove(pending: PendingRequest) {
        levels.getValue(pending.request.priority).remove(pending)
    }

    /** Removes and returns the request that starts next, or null if the queue is empty. */
    fun poll(): PendingRequest? {
        starts++
        val lowestFirst = starts % LOWEST_FIRST_INTERVAL == 0L
        val order = if (lowestFirst) Priority.entries.asReversed() else Priority.entries
        val priority = order.firstOrNull { sizeOf(it) > 0 } ?: return null
        return levels.getValue(priority).poll()
    }

    /**
     * Number of queued requests that are at least as urgent as [priority], which an arrival of that priority cannot
     * displace.
     */
    fun sizeUpTo(priority: Priority): Int = Priority.entries.filter { it <= priority }.sumOf { sizeOf(it) }

    /**
     * Number of queued requests that are less urgent than [priority], which an arrival of that priority can displace.
     */
    fun sizeBelow(priority: Priority): Int = size - sizeUpTo(priority)

    /**
     * Removes and returns the newest request of the lowest queued priority, or null if none is less urgent than
     * [priority].
     */
    fun displace(priority: Priority): PendingRequest? {
        val lowest = Priority.entries.lastOrNull { it > priority && sizeOf(it) > 0 } ?: return null
        return levels.getValue(lowest).removeNewest()
    }

    /** Removes and returns all queued requests, in no particular order. */
    fun drain(): List<PendingRequest> = levels.values.flatMap { it.drain() }
}
