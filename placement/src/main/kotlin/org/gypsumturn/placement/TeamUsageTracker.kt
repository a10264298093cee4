// Tracks the capacity that teams use, over all pools of this owner and, as last reported, over those of the other
// owners.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Team
import org.gypsumturn.model.TeamId

/** Capacity that each team uses, compared with its quota and share. */
public class TeamUsageTracker {
    private val held = HashMap<TeamId, Capacity>()
    private var heldByOtherOwners: Map<TeamId, Capacity> = emptyMap()
    private var teams: Map<TeamId, Team> = emptyMap()

    /** Sets the quotas and shares of the teams. */
    public fun setTeams(current: Map<TeamId, Team>) {
        teams = current
    }

    /** Sets the capacity that the teams use in pools of other owners. */
    public fun setHeldByOtherOwners(current: Map<TeamId, Capacity>) {
        heldByOtherOwners = current
    }

    /** Capacity that the teams use in pools of this owner. Teams that use none are left out. */
    public fun heldByThisOwner(): Map<TeamId, Capacity> = held.filterValues { it != Capacity.ZERO }

    /**
     * Whether [team] stays within its quota if it uses [need] more. A team that is unknown or has no quota is not
     * limited.
     */
    public fun allows(team: TeamId, need: Capacity): Boolean {
        val quota = teams[team]?.jobQuota ?: return true
        return (total(team) + need).fitsIn(quota)
    }

    /** Capacity that [team] uses divided by its share. Teams with a lower value are served first. */
    public fun usagePerShare(team: TeamId): Double {
        val total = total(team)
        val share = (teams[team]?.share ?: 1.0).coerceAtLeast(MIN_SHARE)
        return (total.processorsMilli + total.accelerators * ACCELERATOR_WEIGHT_MILLI) / share
    }

    internal fun add(team: TeamId, capacity: Capacity) {
        held[team] = (held[team] ?: Capacity.ZERO) + capacity
    }

    internal fun subtract(team: TeamId, capacity: Capacity) {
        held[team] = (held[team] ?: Capacity.ZERO) - capacity
    }

    private fun total(team: TeamId): Capacity =
        (held[team] ?: Capacity.ZERO) + (heldByOtherOwners[team] ?: Capacity.ZERO)

    private companion object {
        const val MIN_SHARE = 0.001

        /** Number of processors, in millicores, that one accelerator counts as. */
        const val ACCELERATOR_WEIGHT_MILLI = 16_000L
    }
}
