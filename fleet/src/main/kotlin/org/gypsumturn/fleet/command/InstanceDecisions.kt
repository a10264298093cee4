// Decisions on commands for one instance. The change that reserves an instance also takes it out of service, so waves,
// moves and operators' drains share the budget of the pool.

package org.gypsumturn.fleet.command

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Reservation
import org.gypsumturn.model.ReservationPurpose
import org.gypsumturn.model.WaveId
import org.gypsumturn.model.WaveState

internal fun decideAddInstance(view: FleetView, command: FleetCommand.AddInstance, nowMillis: Long): CommandDecision {
    val instance = command.instance
    view.instances[instance.id]?.let { return CommandDecision.Conflict("instance ${it.id}", it.revision) }
    val problems = problemsOfNew(instance, "instance", view.pools.keys)
    if (problems.isNotEmpty()) return CommandDecision.Invalid(problems)
    return accepted(
        "add instance ${instance.id} to ${instance.pool}",
        Mutation.PutInstance(withEntryTimes(instance, nowMillis)),
    )
}

internal fun decideRemoveInstance(view: FleetView, command: FleetCommand.RemoveInstance): CommandDecision {
    val what = "instance ${command.id}"
    val instance = view.instances[command.id]
    checkRevision(what, command.expected, instance?.revision)?.let { return it }
    if (instance == null || !instance.isRemovable) {
        return CommandDecision.WrongState("$what is ${instance?.state}; it must be drained by an operator or gone")
    }
    return accepted("remove $what", Mutation.RemoveInstance(command.id))
}

/** A drained instance with a pending reboot or move belongs to that operation and cannot be removed. */
private val Instance.isRemovable: Boolean
    get() = state == InstanceState.LOST || state == InstanceState.LEAVING ||
        (state == InstanceState.DRAINED && reservation?.purpose == ReservationPurpose.OPERATOR_DRAIN)

internal fun decideDrain(view: FleetView, command: FleetCommand.DrainInstance, nowMillis: Long): CommandDecision {
    val instance = view.instances[command.id]
    checkRevision("instance ${command.id}", command.expected, instance?.revision)?.let { return it }
    val reservation = Reservation(ReservationPurpose.OPERATOR_DRAIN, drainVersion = view.version.next())
    return reserveAndDrain(view, checkNotNull(instance), reservation, nowMillis)
}

internal fun decideReboot(view: FleetView, command: FleetCommand.RebootInstance, nowMillis: Long): CommandDecision {
    val instance = view.instances[command.id]
    checkRevision("instance ${command.id}", command.expected, instance?.revision)?.let { return it }
    checkNotNull(instance)
    command.wave?.let { wave -> waveRefusal(view, wave, instance)?.let { return it } }
    val reservation = Reservation(ReservationPurpose.REBOOT, command.wave, drainVersion = view.version.next())
    return reserveAndDrain(view, instance, reservation, nowMillis)
}

/** Returns why the wave [id] may not reboot [instance] now, or null. Overlapping waves reboot an instance only once. */
private fun waveRefusal(view: FleetView, id: WaveId, instance: Instance): CommandDecision? {
    val wave = view.waves[id] ?: return CommandDecision.NotFound("wave $id")
    val inWork = view.instances.values.count { it.reservation?.wave == id }
    return when {
        wave.state != WaveState.RUNNING -> CommandDecision.WrongState("wave $id is ${wave.state}")

        instance.pool !in wave.pools -> CommandDecision.WrongState("wave $id does not cover pool ${instance.pool}")

        instance.maintainedAtMillis >= wave.startedAtMillis ->
            CommandDecision.WrongState("instance ${instance.id} was rebooted since wave $id started")

        instance.id in wave.failed -> CommandDecision.WrongState("instance ${instance.id} failed in wave $id")

        inWork >= wave.maxParallel ->
            CommandDecision.WrongState("wave $id has $inWork of ${wave.maxParallel} instances in work")

        else -> null
    }
}

internal fun decideMove(view: FleetView, command: FleetCommand.MoveInstance, nowMillis: Long): CommandDecision {
    val instance = view.instances[command.id]
    checkRevision("instance ${command.id}", command.expected, instance?.revision)?.let { return it }
    checkNotNull(instance)
    val usages = usagesOf(view, setOf(instance.pool, command.destination))
    destinationRefusal(view, instance, command.destination, usages)?.let { return it }
    val reservation = Reservation(
        ReservationPurpose.MOVE,
        destination = command.destination,
        drainVersion = view.version.next(),
    )
    return reserveAndDrain(view, instance, reservation, nowMillis, usages.getValue(instance.pool))
}

/** Checks the destination's budget too: a move counts as an absence in both pools, so the arrival needs no check. */
private fun destinationRefusal(
    view: FleetView,
    instance: Instance,
    destination: PoolId,
    usages: Map<PoolId, PoolUsage>,
): CommandDecision? {
    val pool = view.pools[destination] ?: return CommandDecision.NotFound("pool $destination")
    if (destination == instance.pool) return invalid("destination", "is the instance's own pool: $destination")
    stateRefusal(instance)?.let { return it }
    poolSizeRefusal(view, usages.getValue(instance.pool), usages.getValue(destination))?.let { return it }
    return refusalOf(usages.getValue(destination), pool.budget, instance.domain.dataCentre)
        ?.let { CommandDecision.BudgetExhausted(destination, it) }
}

private fun poolSizeRefusal(view: FleetView, from: PoolUsage, to: PoolUsage): CommandDecision? {
    val remaining = from.members.count { it.inboundTo == null } - 1
    val arriving = to.members.size + to.inbound.size + 1
    val minInstances = view.pools[from.pool]?.minInstances ?: 0
    val maxInstances = view.pools[to.pool]?.maxInstances ?: Int.MAX_VALUE
    return when {
        remaining < minInstances ->
            CommandDecision.WrongState("pool ${from.pool} would fall to $remaining instances")

        arriving > maxInstances ->
            CommandDecision.WrongState("pool ${to.pool} would rise to $arriving instances")

        else -> null
    }
}

private fun stateRefusal(instance: Instance): CommandDecision? {
    if (instance.isAvailable) return null
    val purpose = instance.reservation?.purpose
    return CommandDecision.WrongState("instance ${instance.id} is ${instance.state}, reserved for $purpose")
}

/** Reserves a serving instance and starts its drain, if one more absence fits the budget of its pool. */
private fun reserveAndDrain(
    view: FleetView,
    instance: Instance,
    reservation: Reservation,
    nowMillis: Long,
    usage: PoolUsage = usageOf(view, instance.pool),
): CommandDecision {
    stateRefusal(instance)?.let { return it }
    val pool = view.pools[instance.pool] ?: return CommandDecision.NotFound("pool ${instance.pool}")
    val detail = refusalOf(usage, pool.budget, instance.domain.dataCentre)
    if (detail != null) return CommandDecision.BudgetExhausted(pool.id, detail)
    val draining = instance.copy(
        state = InstanceState.DRAINING,
        reservation = reservation,
        stateSinceMillis = nowMillis,
    )
    return accepted("drain instance ${instance.id} for ${reservation.purpose}", Mutation.PutInstance(draining))
}

internal fun decideReturn(view: FleetView, command: FleetCommand.ReturnInstance, nowMillis: Long): CommandDecision {
    val what = "instance ${command.id}"
    val instance = view.instances[command.id]
    checkRevision(what, command.expected, instance?.revision)?.let { return it }
    checkNotNull(instance)
    if (instance.canReturn) {
        val serving = instance.copy(
            state = InstanceState.SERVING,
            reservation = null,
            stateSinceMillis = nowMillis,
        )
        return accepted("return $what into service", Mutation.PutInstance(serving))
    }
    val lostWithReservation = instance.state == InstanceState.LOST && instance.reservation != null
    if (!lostWithReservation) return CommandDecision.WrongState("$what is ${instance.state}")
    return accepted("release $what, which is lost", Mutation.PutInstance(instance.copy(reservation = null)))
}
