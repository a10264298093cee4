// Builds small fleets for tests and applies commands to them.

package org.gypsumturn.fleet

import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.fleet.command.CommandDecision
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.command.decideCommand
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Change
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId

internal val PRINT = PoolId("print")
internal val PROOF = PoolId("proof")

internal fun pool(id: PoolId, maxUnavailable: Int = 1, perDataCentre: Int? = null): Pool =
    Pool(id, PoolRole.SERVING, AvailabilityBudget(maxUnavailable, perDataCentre))

/** Returns instance [number] of [pool]. Data centres take turns among three, and a rack holds two instances. */
internal fun instance(pool: PoolId, number: Int): Instance = Instance(
    InstanceId("$pool-$number"),
    pool,
    FailureDomain(RegionId("r"), DataCentreId("dc${number % 3}"), RackId("dc${number % 3}-rack${number / 6}")),
    Address("10.0.0.$number", 8080),
    Capacity(8_000, 16_384),
    slots = 8,
    connections = 64,
)

internal fun fleetOf(pools: List<Pool>, size: Int): FleetView = FleetView().applied(
    FleetCommand.ApplyConfiguration(
        pools = pools,
        instances = pools.flatMap { pool -> (0 until size).map { instance(pool.id, it) } },
    ),
)

internal fun FleetView.decide(command: FleetCommand, nowMillis: Long = 0): CommandDecision =
    decideCommand(this, command, nowMillis)

/** Returns the view after [command], which must be accepted. */
internal fun FleetView.applied(command: FleetCommand, nowMillis: Long = 0): FleetView {
    val accepted = decide(command, nowMillis).shouldBeInstanceOf<CommandDecision.Accepted>()
    if (accepted.mutations.isEmpty()) return this
    val operation = OperationId("op-$version")
    val change = Change(version.next(), operation, OperatorId("test"), nowMillis, accepted.summary, accepted.mutations)
    return apply(change)
}

/** Returns the view after the instance has gone through [states], each of which must be accepted. */
internal fun FleetView.advanced(id: InstanceId, vararg states: InstanceState, nowMillis: Long = 0): FleetView =
    states.fold(this) { view, state ->
        view.applied(FleetCommand.AdvanceInstance(id, state, view.get(id).revision), nowMillis)
    }

internal fun FleetView.get(id: InstanceId): Instance = instances.getValue(id)

internal fun id(pool: PoolId, number: Int): InstanceId = InstanceId("$pool-$number")
