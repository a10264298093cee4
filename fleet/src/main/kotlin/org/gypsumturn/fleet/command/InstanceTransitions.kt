// The state machine of an instance. A move changes the pool in the one mutation that also ends its stay in the source
// pool, so whatever stops between two transitions, the instance is a member of exactly one pool.

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

/** The state that an instance enters when it is back from a loss: an operator's drain outlasts it. */
public fun stateAfterLoss(instance: Instance): InstanceState =
    if (instance.reservation == null) InstanceState.WARMING else InstanceState.DRAINED

private fun wrongTransition(instance: Instance, state: InstanceState): CommandDecision =
    CommandDecision.WrongState("instance ${instance.id} cannot go from ${instance.state} to $state")

private fun entered(instance: Instance, state: InstanceState, nowMillis: Long, reservation: Reservation?): Instance =
    instance.copy(state = state, reservation = reservation, stateSinceMillis = nowMillis)

private fun put(instance: Instance): CommandDecision =
    accepted("instance ${instance.id} is ${instance.state} in ${instance.pool}", Mutation.PutInstance(instance))

/**
 * A loss is recorded from every state and never refused. It ends a move or a reboot; a wave's reboot that it
 * interrupts counts as failed in the same change, so the failure survives the process that noticed it.
 */
private fun decideLoss(view: FleetView, instance: Instance, state: InstanceState, nowMillis: Long): CommandDecision {
    if (instance.state == InstanceState.LOST) return wrongTransition(instance, state)
    val kept = instance.reservation?.takeIf { it.purpose == ReservationPurpose.OPERATOR_DRAIN }
    val mutations = mutableListOf<Mutation>(Mutation.PutInstance(entered(instance, state, nowMillis, kept)))
    waveThatFailed(view, instance)?.let { mutations += Mutation.PutWave(it.copy(failed = it.failed + instance.id)) }
    return CommandDecision.Accepted(mutations, "instance ${instance.id} is $state, was ${instance.state}")
}

/** The wave that has to record [instance] as failed if it is lost now, or null. */
private fun waveThatFailed(view: FleetView, instance: Instance): Wave? {
    val inReboot = instance.state == InstanceState.REBOOTING || instance.state == InstanceState.WARMING
    if (!inReboot) return null
    return instance.reservation?.wave?.let { view.waves[it] }?.takeIf { it.isUnfinished && instance.id !in it.failed }
}

private fun decideDrained(instance: Instance, nowMillis: Long): CommandDecision {
    val backFromLoss = instance.state == InstanceState.LOST && stateAfterLoss(instance) == InstanceState.DRAINED
    if (instance.state != InstanceState.DRAINING && !backFromLoss) {
        return wrongTransition(instance, InstanceState.DRAINED)
    }
    return put(entered(instance, InstanceState.DRAINED, nowMillis, instance.reservation))
}

/** A reboot cannot be taken back, so it starts only while the pool is within its budget and its wave runs. */
private fun decideRebooting(view: FleetView, instance: Instance, nowMillis: Long): CommandDecision {
    val reservation = instance.reservation
    if (instance.state != InstanceState.DRAINED || reservation?.purpose != ReservationPurpose.REBOOT) {
        return wrongTransition(instance, InstanceState.REBOOTING)
    }
    val waveState = reservation.wave?.let { view.waves[it]?.state ?: WaveState.ABORTED }
    if (waveState != null && waveState != WaveState.RUNNING) {
        return CommandDecision.WrongState("wave ${reservation.wave} is $waveState")
    }
    overBudget(view, instance.pool)?.let { return it }
    return put(entered(instance, InstanceState.REBOOTING, nowMillis, reservation))
}

private fun overBudget(view: FleetView, id: PoolId): CommandDecision? {
    val pool = view.pools[id] ?: return CommandDecision.NotFound("pool $id")
    val unavailable = usageOf(view, id).unavailable
    if (unavailable <= pool.budget.maxUnavailable) return null
    val detail = "$unavailable instances are unavailable, ${pool.budget.maxUnavailable} may be"
    return CommandDecision.BudgetExhausted(id, detail)
}

private fun decideWarming(view: FleetView, instance: Instance, nowMillis: Long): CommandDecision = when {
    instance.state == InstanceState.REBOOTING -> put(
        entered(instance, InstanceState.WARMING, nowMillis, instance.reservation)
            .copy(maintainedAtMillis = maintainedAt(view, instance, nowMillis)),
    )

    instance.state == InstanceState.LOST && stateAfterLoss(instance) == InstanceState.WARMING ->
        put(entered(instance, InstanceState.WARMING, nowMillis, null))

    instance.state == InstanceState.DRAINED && instance.inboundTo != null -> decideArrival(view, instance, nowMillis)

    else -> wrongTransition(instance, InstanceState.WARMING)
}

/** Not before the start of its wave, which another process's clock may have recorded. */
private fun maintainedAt(view: FleetView, instance: Instance, nowMillis: Long): Long {
    val wave = instance.reservation?.wave?.let { view.waves[it] }
    return maxOf(nowMillis, wave?.startedAtMillis ?: nowMillis)
}

/**
 * Ends a move. The reservation already counts as an absence of the destination, so the arrival adds none; it
 * waits while losses hold the destination above its budget.
 */
private fun decideArrival(view: FleetView, instance: Instance, nowMillis: Long): CommandDecision {
    val destination = checkNotNull(instance.inboundTo)
    overBudget(view, destination)?.let { return it }
    val arrived = entered(instance, InstanceState.WARMING, nowMillis, instance.reservation).copy(pool = destination)
    return put(arrived)
}

private fun decideServing(instance: Instance, nowMillis: Long): CommandDecision {
    if (instance.state != InstanceState.WARMING) return wrongTransition(instance, InstanceState.SERVING)
    return put(entered(instance, InstanceState.SERVING, nowMillis, null))
}
