// Counts the open requests of each team at this entry. The counts distinguish a team that has reached its own limit
// from a fleet that lacks capacity.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.TeamId

/** Numbers of open requests at this entry by team. A request without a team is not counted. Not thread-safe. */
internal class TeamRequestCounts {
    private val requestCounts = HashMap<TeamId, Int>()

    /** Counts an arrived request of [team]. */
    fun add(team: TeamId?) {
        if (team != null) requestCounts.merge(team, 1, Int::plus)
    }

    /** Removes a finished request of [team] from the count. */
    fun remove(team: TeamId?) {
        if (team != null) requestCounts.computeIfPresent(team) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /**
     * Whether [team] has more open requests than [view] allows. The current request is counted already, so the limit is
     * exceeded when the other requests have reached it. A team without a limit is never over it.
     */
    fun isOverLimit(team: TeamId?, view: FleetView?): Boolean {
        val limit = team?.let { view?.teams?.get(it) }?.maxRequestsInFlight ?: return false
        return requestCounts.getOrDefault(team, 0) > limit
    }
}
