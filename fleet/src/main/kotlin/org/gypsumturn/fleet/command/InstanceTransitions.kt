// The state machine of an instance. A single mutation takes a moving instance out of its source pool and into the
// destination, so the instance is a member of exactly one pool even if a process stops between two transitions.

package org.gypsumturn.fleet.command

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Reservation
import org.gypsumturn.model.ReservationPurpose
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveState

internal fun decideAdvance(view: FleetView, command: FleetCommand.AdvanceInstance, nowMillis: Long): CommandDecision {
    val what = "instance ${command.id}"
    val instance = view.instances[command.id]
    checkRevision(what, command.expected, instance?.revision)?.let { return it }
    checkNotNull(instance)
    if (instance.state == command.state) return unchanged(what)
    return when (command.state) {
        InstanceState.LOST, InstanceState.LEAVING -> decideLoss(view, instance, command.state, nowMillis)
        InstanceState.DRAINED -> decideDrained(instance, nowMillis)
        InstanceState.REBOOTING -> decideRebooting(view, instance, nowMillis)
        InstanceState.WARMING -> decideWarming(view, instance, nowMillis)
        InstanceState.SERVING -> decideServing(instance, nowMillis)
        InstanceState.DRAINING -> wrongTransition(instance, command.state)
    }
}

/** Returns the state that a lost instance enters when it comes back. An operator's drain survives the loss. */
public fun stateAfterLoss(instance: Instance): InstanceState =
    if (instance.reservation == null) InstanceState.WARMING else InstanceState.DRAINED

private fun wrongTransition(instance: Instance, state: InstanceState): CommandDecision =
    CommandDecision.WrongState("instance ${instance.id} cannot go from ${instance.state} to $state")

private fun withState(instance: Instance, state: InstanceState, nowMillis: Long, reservation: Reservation?): Instance =
    instance.copy(state = state, reservation = reservation, stateSinceMillis = nowMillis)

private fun acceptedPut(instance: Instance): CommandDecision =
    accepted("instance ${instance.id} is ${instance.state} in ${instance.pool}", Mutation.PutInstance(instance))

/**
 * Records that an instance is lost or leaving, which every state except LOST allows. It ends a move or a reboot. If it
 * interrupts a reboot of a wave, the same change records the failure in the wave, so that the failure stays recorded if
 * the process that noticed it dies.
 */
private fun decideLoss(view: FleetView, instance: Instance, state: InstanceState, nowMillis: Long): CommandDecision {
    if (instance.state == InstanceState.LOST) return wrongTransition(instance, state)
    val keptDrain = instance.reservation?.takeIf { it.purpose == ReservationPurpose.OPERATOR_DRAIN }
    val mutations = mutableListOf<Mutation>(Mutation.PutInstance(withState(instance, state, nowMillis, keptDrain)))
    waveToMarkFailed(view, instance)?.let { mutations += Mutation.PutWave(it.copy(failed = it.failed + instance.id)) }
    return CommandDecision.Accepted(mutations, "instance ${instance.id} is $state, was ${instance.state}")
}

/** Returns the wave that must record [instance] as failed if it is lost now, or null. */
private fun waveToMarkFailed(view: FleetView, instance: Instance): Wave? {
    val inReboot = instance.state == InstanceState.REBOOTING || instance.state == InstanceState.WARMING
    if (!inReboot) return null
    return instance.reservation?.wave?.let { view.waves[it] }?.takeIf { it.isUnfinished && instance.id !in it.failed }
}

private fun decideDrained(instance: Instance, nowMillis: Long): CommandDecision {
    val returnsFromLoss = instance.state == InstanceState.LOST && stateAfterLoss(instance) == InstanceState.DRAINED
    if (instance.state != InstanceState.DRAINING && !returnsFromLoss) {
        return wrongTransition(instance, InstanceState.DRAINED)
    }
    return acceptedPut(withState(instance, InstanceState.DRAINED, nowMillis, instance.reservation))
}

/** Starts a reboot. It cannot be undone, so the pool must be within its budget and the wave must be running. */
private fun decideRebooting(view: FleetView, instance: Instance, nowMillis: Long): CommandDecision {
    val reservation = instance.reservation
    if (instance.state != InstanceState.DRAINED || reservation?.purpose != ReservationPurpose.REBOOT) {
        return wrongTransition(instance, InstanceState.REBOOTING)
    }
    val waveState = reservation.wave?.let { view.waves[it]?.state ?: WaveState.ABORTED }
    if (waveState != null && waveState != WaveState.RUNNING) {
        return CommandDecision.WrongState("wave ${reservation.wave} is $waveState")
    }
    budgetRefusal(view, instance.pool)?.let { return it }
    return acceptedPut(withState(instance, InstanceState.REBOOTING, nowMillis, reservation))
}

private fun budgetRefusal(view: FleetView, id: PoolId): CommandDecision? {
    val pool = view.pools[id] ?: return CommandDecision.NotFound("pool $id")
    val unavailable = usageOf(view, id).unavailable
    if (unavailable <= pool.budget.maxUnavailable) return null
    val detail = "$unavailable instances are unavailable, ${pool.budget.maxUnavailable} may be"
    return CommandDecision.BudgetExhausted(id, detail)
}

private fun decideWarming(view: FleetView, instance: Instance, nowMillis: Long): CommandDecision = when {
    instance.state == InstanceState.REBOOTING -> acceptedPut(
        withState(instance, InstanceState.WARMING, nowMillis, instance.reservation)
            .copy(maintainedAtMillis = maintainedAt(view, instance, nowMillis)),
    )

    instance.state == InstanceState.LOST && stateAfterLoss(instance) == InstanceState.WARMING ->
        acceptedPut(withState(instance, InstanceState.WARMING, nowMillis, null))

    instance.state == InstanceState.DRAINED && instance.inboundTo != null -> decideArrival(view, instance, nowMillis)

    else -> wrongTransition(instance, InstanceState.WARMING)
}

/** Returns the time of the reboot, at least the start of its wave, which another process's clock may have set. */
private fun maintainedAt(view: FleetView, instance: Instance, nowMillis: Long): Long {
    val wave = instance.reservation?.wave?.let { view.waves[it] }
    return maxOf(nowMillis, wave?.startedAtMillis ?: nowMillis)
}

/**
 * Puts a moved instance into its destination. Its reservation already counts as an absence there, so the arrival adds
 * none. It is refused while losses keep the destination above its budget.
 */
private fun decideArrival(view: FleetView, instance: Instance, nowMillis: Long): CommandDecision {
    val destination = checkNotNull(instance.inboundTo)
    budgetRefusal(view, destination)?.let { return it }
    val arrived = withState(instance, InstanceState.WARMING, nowMillis, instance.reservation).copy(pool = destination)
    return acceptedPut(arrived)
}

private fun decideServing(instance: Instance, nowMillis: Long): CommandDecision {
    if (instance.state != InstanceState.WARMING) return wrongTransition(instance, InstanceState.SERVING)
    return acceptedPut(withState(instance, InstanceState.SERVING, nowMillis, null))
}
