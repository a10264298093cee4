// Weighted fair queueing among teams by stride scheduling (Waldspurger and Weihl, 1995): each start advances the pass
// value of the team by the inverse of its share, and the team with the smallest pass value is next.

package org.gypsumturn.request

import org.gypsumturn.model.TeamId
import java.util.TreeMap

/** Smaller shares count as this, so that the stride stays finite. */
private const val MIN_SHARE = 1e-3

/** Queued requests of one priority; first in, first out within each team. */
internal class FairQueue(private val shareOf: (TeamId?) -> Double) {
    private class TeamQueue(var pass: Double) {
        /** Keyed by [PendingRequest.queueNumber]. */
        val waiting = TreeMap<Long, PendingRequest>()
    }

    private val teamQueues = LinkedHashMap<TeamId?, TeamQueue>()
    private var currentPass = 0.0
    private var lastNumber = 0L

    /** Number of queued requests. */
    var size: Int = 0
        private set

    fun add(pending: PendingRequest) {
        lastNumber++
        pending.queueNumber = lastNumber
        putBack(pending)
    }

    /** Returns [pending] to the position that it had before it was taken, ahead of later requests of its team. */
    fun putBack(pending: PendingRequest) {
        if (teamQueue(pending).waiting.put(pending.queueNumber, pending) == null) size++
    }

    fun remove(pending: PendingRequest) {
        val teamQueue = teamQueues[pending.request.team] ?: return
        if (!teamQueue.waiting.remove(pending.queueNumber, pending)) return
        size--
        removeIfEmpty(pending.request.team, teamQueue)
    }

    /**
     * Removes and returns the first request of the team with the smallest pass value, or null if the queue is empty.
     */
    fun poll(): PendingRequest? {
        val (team, teamQueue) = teamQueues.entries.minByOrNull { it.value.pass } ?: return null
        currentPass = teamQueue.pass
        teamQueue.pass += 1.0 / maxOf(shareOf(team), MIN_SHARE)
        size--
        val next = teamQueue.waiting.pollFirstEntry().value
        removeIfEmpty(team, teamQueue)
        return next
    }

    /**
     * Removes and returns the newest request of the team with the most queued requests, or null if the queue is empty.
     */
    fun removeNewest(): PendingRequest? {
        val (_, teamQueue) = teamQueues.entries.maxByOrNull { it.value.waiting.size } ?: return null
        val newest = teamQueue.waiting.lastEntry().value
        remove(newest)
        return newest
    }

    /** Removes and returns all requests. */
    fun drain(): List<PendingRequest> {
        val all = teamQueues.values.flatMap { it.waiting.values }
        teamQueues.clear()
        size = 0
        return all
    }

    private fun teamQueue(pending: PendingRequest): TeamQueue = teamQueues.getOrPut(pending.request.team) {
        TeamQueue(currentPass + 1.0 / maxOf(shareOf(pending.request.team), MIN_SHARE))
    }

    private fun removeIfEmpty(team: TeamId?, teamQueue: TeamQueue) {
        if (teamQueue.waiting.isEmpty()) teamQueues.remove(team)
    }
}
