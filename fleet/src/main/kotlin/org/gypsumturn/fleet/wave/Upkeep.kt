// Upkeep of the whole fleet, beside the waves: gives reservations back where losses ask for it, carries on moves and
// the reboots of operators, and ends what its owner left behind. It needs nothing but the view, so any process can do
// it.

package org.gypsumturn.fleet.wave

import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.command.canReturn
import org.gypsumturn.fleet.command.isUnfinished
import org.gypsumturn.fleet.command.reservationsToRelease
import org.gypsumturn.fleet.command.usageByPool
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.ReservationPurpose

/** Time after which a reboot that belongs to no unfinished wave counts as lost. */
public const val OPERATOR_REBOOT_TIMEOUT_MILLIS: Long = 600_000

/**
 * The commands that keep every pool's budget after losses, carry drained instances on into their reboot or their new
 * pool, return what an ended wave has drained, and end overdue reboots. Instances in work for an unfinished wave are
 * left to [planWave], but for returns that a budget asks for.
 */
public fun planUpkeep(view: FleetView, nowMillis: Long): List<FleetCommand> {
    val reserved = view.instances.values.filter { it.reservation != null }
    val released = releasedIn(view, nowMillis)
    val own = reserved.filterNot { hasUnfinishedWave(view, it) }
    return (reserved.filter { it.id in released } + own.filter { isAbandoned(it) }).distinct().map { returnOf(it) } +
        own.filter { it.id !in released && !isAbandoned(it) }.mapNotNull { nextStep(it, nowMillis) }
}

private fun releasedIn(view: FleetView, nowMillis: Long): Set<InstanceId> = usageByPool(view).values
    .flatMap { usage ->
        val budget = view.pools[usage.pool]?.budget ?: return@flatMap emptyList()
        reservationsToRelease(usage, budget, nowMillis)
    }
    .toSet()

private fun hasUnfinishedWave(view: FleetView, instance: Instance): Boolean =
    instance.reservation?.wave?.let { view.waves[it] }?.isUnfinished == true

/** Whether an ended wave has drained the instance. */
private fun isAbandoned(instance: Instance): Boolean = instance.reservation?.wave != null && instance.canReturn

private fun returnOf(instance: Instance): FleetCommand = FleetCommand.ReturnInstance(instance.id, instance.revision)

private fun nextStep(instance: Instance, nowMillis: Long): FleetCommand? {
    val overdue = nowMillis - instance.stateSinceMillis > OPERATOR_REBOOT_TIMEOUT_MILLIS
    val next = when {
        instance.state == InstanceState.REBOOTING && overdue -> InstanceState.LOST
        instance.state != InstanceState.DRAINED -> null
        instance.reservation?.purpose == ReservationPurpose.REBOOT -> InstanceState.REBOOTING
        instance.reservation?.purpose == ReservationPurpose.MOVE -> InstanceState.WARMING
        else -> null
    }
    return next?.let { FleetCommand.AdvanceInstance(instance.id, it, instance.revision) }
}
