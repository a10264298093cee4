// Finds the requests whose deadline has passed without a scan over all requests.

package org.gypsumturn.request

import java.util.PriorityQueue

/** Requests ordered by deadline. A request that ended earlier stays in the index until its deadline has passed. */
internal class DeadlineIndex {
    private val byDeadline = PriorityQueue<PendingRequest>(compareBy { it.request.deadlineMillis })

    fun add(pending: PendingRequest) {
        byDeadline.add(pending)
    }

    /** Removes and returns the requests whose deadline is at or before [nowMillis]. */
    fun removeExpired(nowMillis: Long): List<PendingRequest> {
        val expired = ArrayList<PendingRequest>()
        while (true) {
            val first = byDeadline.peek() ?: break
            if (first.request.deadlineMillis > nowMillis) break
            expired += byDeadline.remove()
        }
        return expired
    }
}
