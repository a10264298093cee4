// Weighted fair queueing among teams by stride scheduling: each start moves the team's pass forward by the inverse of
// its share, and the team with the smallest pass goes next (Waldspurger and Weihl, 1995).

package org.gypsumturn.request

import org.gypsumturn.model.TeamId
import java.util.TreeMap

/** The smallest share that counts, so that a stride stays finite. */
private const val MIN_SHARE = 1e-3

/** Requests of one priority, first in first out within each team. */
internal class FairQueue(private val shareOf: (TeamId?) -> Double) {
    private class Lane(var pass: Double) {
        /** By [PendingRequest.queueNumber]. */
        val waiting = TreeMap<Long, PendingRequest>()
    }

    private val lanes = LinkedHashMap<TeamId?, Lane>()
    private var currentPass = 0.0
    private var lastNumber = 0L

    /** Number of requests that wait. */
    var size: Int = 0
        private set

    fun add(pending: PendingRequest) {
        lastNumber++
        pending.queueNumber = lastNumber
        putBack(pending)
    }

    /** Puts [pending] where it was before it was taken, ahead of its team's later requests. */
    fun putBack(pending: PendingRequest) {
        if (lane(pending).waiting.put(pending.queueNumber, pending) == null) size++
    }

    fun remove(pending: PendingRequest) {
        val lane = lanes[pending.request.team] ?: return
        if (!lane.waiting.remove(pending.queueNumber, pending)) return
        size--
        dropIfEmpty(pending.request.team, lane)
    }

    /** Takes the next request of the team with the smallest pass. */
    fun poll(): PendingRequest? {
        val (team, lane) = lanes.entries.minByOrNull { it.value.pass } ?: return null
        currentPass = lane.pass
        lane.pass += 1.0 / maxOf(shareOf(team), MIN_SHARE)
        size--
        val next = lane.waiting.pollFirstEntry().value
        dropIfEmpty(team, lane)
        return next
    }

    /** Removes the newest request of the team that has the most waiting. */
    fun removeNewest(): PendingRequest? {
        val (_, lane) = lanes.entries.maxByOrNull { it.value.waiting.size } ?: return null
        val newest = lane.waiting.lastEntry().value
        remove(newest)
        return newest
    }

    /** Removes and returns all requests. */
    fun drain(): List<PendingRequest> {
        val all = lanes.values.flatMap { it.waiting.values }
        lanes.clear()
        size = 0
        return all
    }

    private fun lane(pending: PendingRequest): Lane = lanes.getOrPut(pending.request.team) {
        Lane(currentPass + 1.0 / maxOf(shareOf(pending.request.team), MIN_SHARE))
    }

    private fun dropIfEmpty(team: TeamId?, lane: Lane) {
        if (lane.waiting.isEmpty()) lanes.remove(team)
    }
}
