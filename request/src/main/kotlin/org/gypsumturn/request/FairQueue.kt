// Weighted fair queueing among teams by stride scheduling: each start moves the team's pass forward by the inverse of
// its share, and the team with the smallest pass goes next (Waldspurger and Weihl, 1995).

package org.gypsumturn.request

import org.gypsumturn.model.TeamId

/** The smallest share that counts, so that a stride stays finite. */
private const val MIN_SHARE = 1e-3

/** Requests of one priority, first in first out within each team. */
internal class FairQueue(private val shareOf: (TeamId?) -> Double) {
    private class Lane(var pass: Double) {
        val returned = LinkedHashMap<RequestId, PendingRequest>()
        val waiting = LinkedHashMap<RequestId, PendingRequest>()

        val isEmpty: Boolean get() = returned.isEmpty() && waiting.isEmpty()

        fun poll(): PendingRequest {
            val from = returned.ifEmpty { waiting }
            val first = from.values.first()
            from.remove(first.request.id)
            return first
        }
    }

    private val lanes = LinkedHashMap<TeamId?, Lane>()
    private var currentPass = 0.0

    /** Number of requests that wait. */
    var size: Int = 0
        private set

    fun add(pending: PendingRequest) {
        if (lane(pending).waiting.put(pending.request.id, pending) == null) size++
    }

    /** Puts [pending] before the requests of its team that have not been tried. */
    fun putBack(pending: PendingRequest) {
        if (lane(pending).returned.put(pending.request.id, pending) == null) size++
    }

    fun remove(pending: PendingRequest) {
        val lane = lanes[pending.request.team] ?: return
        val removed = lane.waiting.remove(pending.request.id) ?: lane.returned.remove(pending.request.id) ?: return
        size--
        dropIfEmpty(removed.request.team, lane)
    }

    /** Takes the next request of the team with the smallest pass. */
    fun poll(): PendingRequest? {
        val (team, lane) = lanes.entries.minByOrNull { it.value.pass } ?: return null
        currentPass = lane.pass
        lane.pass += 1.0 / maxOf(shareOf(team), MIN_SHARE)
        size--
        val next = lane.poll()
        dropIfEmpty(team, lane)
        return next
    }

    /** Removes and returns all requests. */
    fun drain(): List<PendingRequest> {
        val all = lanes.values.flatMap { it.returned.values + it.waiting.values }
        lanes.clear()
        size = 0
        return all
    }

    private fun lane(pending: PendingRequest): Lane = lanes.getOrPut(pending.request.team) {
        Lane(currentPass + 1.0 / maxOf(shareOf(pending.request.team), MIN_SHARE))
    }

    private fun dropIfEmpty(team: TeamId?, lane: Lane) {
        if (lane.isEmpty) lanes.remove(team)
    }
}
