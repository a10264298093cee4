// Compares the view with the platform's list: finds instances that are leaving, lost, or back.

package org.gypsumturn.control.fleet

import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.command.stateAfterLoss
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.ports.InstanceListing
import org.gypsumturn.ports.ListedInstance
import org.gypsumturn.ports.ListedState

/** Since when instances of the view have been missing from the list; times of the observer's monotonic clock. */
internal data class MissingSince(val byInstance: Map<InstanceId, Long> = emptyMap()) {
    /** The observation after [listing] was read at [nowMillis]. */
    fun updated(nowMillis: Long, view: FleetView, listing: InstanceListing): MissingSince {
        val listed = listing.instances.mapTo(HashSet()) { it.id }
        val missing = view.instances.keys.filter { it !in listed }
        return MissingSince(missing.associateWith { byInstance[it] ?: nowMillis })
    }
}

/**
 * The commands that bring the states of [view] in line with [listing] at [nowMillis]. Workers in [quarantined] count as
 * lost, though they are listed, until the owner of their pool gives them another chance.
 */
internal fun decideListed(
    nowMillis: Long,
    view: FleetView,
    listing: InstanceListing,
    missing: MissingSince,
    quarantined: Set<InstanceId>,
    lostMillis: Long,
): List<FleetCommand> {
    val listed = listing.instances.associateBy { it.id }
    return view.instances.values.mapNotNull { instance ->
        val found = listed[instance.id]
        val absentSince = missing.byInstance[instance.id]
        when {
            instance.id in quarantined -> lostState(instance)
            found != null -> listedState(instance, found)
            absentSince == null || nowMillis - absentSince <= lostMillis -> null
            else -> lostState(instance)
        }?.let { FleetCommand.AdvanceInstance(instance.id, it, instance.revision) }
    }
}

private fun listedState(instance: Instance, found: ListedInstance): InstanceState? = when {
    found.state == ListedState.LEAVING -> InstanceState.LEAVING.takeIf { canLeave(instance) }
    instance.state == InstanceState.LOST -> stateAfterLoss(instance)
    else -> null
}

private fun canLeave(instance: Instance): Boolean =
    instance.state != InstanceState.LEAVING && instance.state != InstanceState.LOST

// A rebooting instance is expected to be away; its wave's timeout decides when it is lost.
private fun lostState(instance: Instance): InstanceState? =
    InstanceState.LOST.takeIf { instance.state != InstanceState.LOST && instance.state != InstanceState.REBOOTING }
