// What teams hold and may hold, over all pools of one owner and, as last heard, of the other owners.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Team
import org.gypsumturn.model.TeamId

/** Capacity held by each team, against its quota and share. */
public class TeamLedger {
    private val held = HashMap<TeamId, Capacity>()
    private var elsewhere: Map<TeamId, Capacity> = emptyMap()
    private var teams: Map<TeamId, Team> = emptyMap()

    /** Sets the teams' quotas and shares. */
    public fun setTeams(current: Map<TeamId, Team>) {
        teams = current
    }

    /** Sets what the teams hold with other owners. */
    public fun setElsewhere(current: Map<TeamId, Capacity>) {
        elsewhere = current
    }

    /** What the teams hold with this owner. */
    public fun heldHere(): Map<TeamId, Capacity> = held.filterValues { it != Capacity.ZERO }

    /** Whether [team] may hold [need] more. A team without a quota, or unknown, has no bound. */
    public fun allows(team: TeamId, need: Capacity): Boolean {
        val quota = teams[team]?.jobQuota ?: return true
        return (total(team) + need).fitsIn(quota)
    }

    /** What [team] holds by its share: teams with less go first. */
    public fun weight(team: TeamId): Double {
        val total = total(team)
        val share = (teams[team]?.share ?: 1.0).coerceAtLeast(MIN_SHARE)
        return (total.processorsMilli + total.accelerators * ACCELERATOR_MILLI) / share
    }

    internal fun add(team: TeamId, capacity: Capacity) {
        held[team] = (held[team] ?: Capacity.ZERO) + capacity
    }

    internal fun subtract(team: TeamId, capacity: Capacity) {
        held[team] = (held[team] ?: Capacity.ZERO) - capacity
    }

    private fun total(team: TeamId): Capacity = (held[team] ?: Capacity.ZERO) + (elsewhere[team] ?: Capacity.ZERO)

    private companion object {
        const val MIN_SHARE = 0.001

        /** Processors that one accelerator weighs. */
        const val ACCELERATOR_MILLI = 16_000L
    }
}
