// Plans the next steps of reserved instances that no wave takes care of: releases reservations where losses have used
// up a budget, continues moves and reboots by operators, and cleans up after waves that have ended. The plan depends
// only on the view, so any control process can make it.

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

/** Time after which an instance counts as lost if it does not come back from a reboot outside an unfinished wave. */
public const val OPERATOR_REBOOT_TIMEOUT_MILLIS: Long = 600_000

/**
 * Returns the commands that restore each pool's budget after losses, take drained instances on to their reboot or their
 * new pool, return instances that an ended wave has drained, and mark instances with overdue reboots as lost. Instances
 * reserved for an unfinished wave are left to [planWave], except for returns that a budget requires.
 */
public fun planReservationSteps(view: FleetView, nowMillis: Long): List<FleetCommand> {
    val reserved = view.instances.values.filter { it.reservation != null }
    val toRelease = reservationsToReleaseIn(view, nowMillis)
    val outsideWaves = reserved.filterNot { hasUnfinishedWave(view, it) }
    return (reserved.filter { it.id in toRelease } + outsideWaves.filter { isAbandoned(it) })
        .distinct()
        .map { returnCommand(it) } +
        outsideWaves.filter { it.id !in toRelease && !isAbandoned(it) }.mapNotNull { nextCommand(it, nowMillis) }
}

private fun reservationsToReleaseIn(view: FleetView, nowMillis: Long): Set<InstanceId> = usageByPool(view).values
    .flatMap { usage ->
        val budget = view.pools[usage.pool]?.budget ?: return@flatMap emptyList()
        reservationsToRelease(usage, budget, nowMillis)
    }
    .toSet()

private fun hasUnfinishedWave(view: FleetView, instance: Instance): Boolean =
    instance.reservation?.wave?.let { view.waves[it] }?.isUnfinished == true

/** Whether a wave has drained the instance; callers have left out the instances of unfinished waves. */
private fun isAbandoned(instance: Instance): Boolean = instance.reservation?.wave != null && instance.canReturn

private fun returnCommand(instance: Instance): FleetCommand =
    FleetCommand.ReturnInstance(instance.id, instance.revision)

private fun nextCommand(instance: Instance, nowMillis: Long): FleetCommand? {
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
