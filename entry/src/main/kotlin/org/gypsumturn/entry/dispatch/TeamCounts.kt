// Counts the requests of each team at this entry, to tell a team's own limit from a lack of capacity.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.TeamId

/** Requests at this entry by team. */
internal class TeamCounts {
    private val counts = HashMap<TeamId, Int>()

    /** A request of [team] arrived. */
    fun add(team: TeamId?) {
        if (team != null) counts.merge(team, 1, Int::plus)
    }

    /** A request of [team] is over. */
    fun remove(team: TeamId?) {
        if (team != null) counts.computeIfPresent(team) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Whether [team] has, besides the present request, as many as [view] allows it. */
    fun atLimit(team: TeamId?, view: FleetView?): Boolean {
        val limit = team?.let { view?.teams?.get(it) }?.maxRequestsInFlight ?: return false
        return counts.getOrDefault(team, 0) > limit
    }
}
