// Finds the requests whose deadline has passed without looking at all of them.

package org.gypsumturn.request

import java.util.PriorityQueue

/** Requests in the order of their deadlines. Requests that ended earlier stay until their deadline has passed. */
internal class DeadlineIndex {
    private val byDeadline = PriorityQueue<PendingRequest>(compareBy { it.request.deadlineMillis })

    fun add(pending: PendingRequest) {
        byDeadline.add(pending)
    }

    /** Removes and returns the requests whose deadline is at or before [nowMillis]. */
    fun expired(nowMillis: Long): List<PendingRequest> {
        val expired = ArrayList<PendingRequest>()
        while (true) {
            val first = byDeadline.peek() ?: break
            if (first.request.deadlineMillis > nowMillis) break
            expired += byDeadline.remove()
        }
        return expired
    }
}
