// Compares the view with the platform's list of instances, and plans commands for instances that are leaving, lost or
// present again.

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

/**
 * The instances of the view that the platform's list does not contain.
 *
 * @property sinceMillisByInstance time, on the observer's monotonic clock, since which each instance has been missing
 */
internal data class MissingInstances(val sinceMillisByInstance: Map<InstanceId, Long> = emptyMap()) {
    /** The missing instances after [listing] was read at [nowMillis]. */
    fun afterListing(nowMillis: Long, view: FleetView, listing: InstanceListing): MissingInstances {
        val listed = listing.instances.mapTo(HashSet()) { it.id }
        val missing = view.instances.keys.filter { it !in listed }
        return MissingInstances(missing.associateWith { sinceMillisByInstance[it] ?: nowMillis })
    }
}

/**
 * The commands that bring the instance states of [view] in line with [listing] at [nowMillis]. An instance counts as
 * lost when it has been missing for longer than [lostMillis]. Workers in [quarantined] count as lost although they are
 * listed, until the owner of their pool ends the quarantine.
 */
internal fun decideListingCommands(
    nowMillis: Long,
    view: FleetView,
    listing: InstanceListing,
    missing: MissingInstances,
    quarantined: Set<InstanceId>,
    lostMillis: Long,
): List<FleetCommand> {
    val listed = listing.instances.associateBy { it.id }
    return view.instances.values.mapNotNull { instance ->
        val listedInstance = listed[instance.id]
        val missingSinceMillis = missing.sinceMillisByInstance[instance.id]
        when {
            instance.id in quarantined -> stateWhenLost(instance)
            listedInstance != null -> stateFromListing(instance, listedInstance)
            missingSinceMillis == null || nowMillis - missingSinceMillis <= lostMillis -> null
            else -> stateWhenLost(instance)
        }?.let { FleetCommand.AdvanceInstance(instance.id, it, instance.revision) }
    }
}

private fun stateFromListing(instance: Instance, listedInstance: ListedInstance): InstanceState? = when {
    listedInstance.state == ListedState.LEAVING -> InstanceState.LEAVING.takeIf { canLeave(instance) }
    instance.state == InstanceState.LOST -> stateAfterLoss(instance)
    else -> null
}

private fun canLeave(instance: Instance): Boolean =
    instance.state != InstanceState.LEAVING && instance.state != InstanceState.LOST

// A rebooting instance is expected to be missing. The reboot timeout of its wave decides when it counts as lost.
private fun stateWhenLost(instance: Instance): InstanceState? =
    InstanceState.LOST.takeIf { instance.state != InstanceState.LOST && instance.state != InstanceState.REBOOTING }
