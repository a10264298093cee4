// Simulates a site under a demand trace in virtual time, and adds up the cost of a move policy. Moves are decided, and
// budgets enforced, by the same code as in production.

package org.gypsumturn.bench.fleet

import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.fleet.capacity.CapacitySettings
import org.gypsumturn.fleet.capacity.CapacityState
import org.gypsumturn.fleet.capacity.CapacityWeights
import org.gypsumturn.fleet.capacity.MovePolicy
import org.gypsumturn.fleet.capacity.PoolDemand
import org.gypsumturn.fleet.capacity.decideMoves
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.wave.planReservationSteps
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.ReservationPurpose

private const val DECISION_TICKS = 2
private const val DRAIN_MILLIS = 15 * SECOND_MILLIS
private const val WARM_MILLIS = 40 * SECOND_MILLIS
private const val REPAIR_MILLIS = 10 * MINUTE_MILLIS
private const val LATE_MILLIS = 10 * SECOND_MILLIS
private const val BACK_OFFICE_LATE_MILLIS = HOUR_MILLIS
private const val MOVE_PLANNER_CRASHES_PER_TICK = 1.0 / 4_320
private const val MOVE_PLANNER_DOWN_MILLIS = 60 * SECOND_MILLIS
private const val LOSSES_PER_INSTANCE_AND_TICK = 92.0 / 6_200 / (DAY_MILLIS / TICK_MILLIS)
private const val START_MILLIS = 1_000 * DAY_MILLIS

/** The cost of a policy. Idle time counts in all pools except the spare ones, and while an instance is being moved. */
internal data class CapacityCost(val idleInstanceHours: Double, val moves: Double, val lateInstanceHours: Double) {
    fun total(weights: CapacityWeights): Double = idleInstanceHours * weights.idleCostPerInstanceHour +
        moves * weights.costPerMove +
        lateInstanceHours * weights.lateCostPerInstanceHour

    operator fun plus(other: CapacityCost): CapacityCost = CapacityCost(
        idleInstanceHours + other.idleInstanceHours,
        moves + other.moves,
        lateInstanceHours + other.lateInstanceHours,
    )
}

internal class CapacitySimulation(
    private val site: Site,
    private val trace: DemandTrace,
    private val settings: CapacitySettings,
    private val policy: MovePolicy,
    seed: Long,
    private val audit: BudgetAudit,
) {
    private val random = RandomSource.XO_SHI_RO_256_PP.create(seed)
    private val pools = site.poolSizes.indices.map { poolId(it) }
    private val isSpare = site.poolSizes.indices.map { it % site.groupSize == site.groupSize - 1 }
    private val queues = isSpare.map {
        if (it) PoolQueue(BACK_OFFICE_LATE_MILLIS, dropsLate = false) else PoolQueue(LATE_MILLIS, dropsLate = true)
    }
    private var view: FleetView = site.initialView(START_MILLIS)
    private var state = CapacityState()
    private var movePlannerDownUntilMillis = 0L
    private var idleMillis = 0.0
    private var moves = 0

    fun run(): CapacityCost {
        var now = START_MILLIS
        for (tick in 0 until trace.ticks) {
            now = START_MILLIS + tick * TICK_MILLIS
            injectFailures(now)
            advanceInstances(now)
            serveDemand(tick, now)
            if (tick % DECISION_TICKS == 0) submitPlannedCommands(tick, now)
        }
        queues.forEach { it.countLateWorkAtEnd(now) }
        val lateInstanceMillis = queues.sumOf { it.lateInstanceMillis }
        return CapacityCost(idleMillis / HOUR_MILLIS, moves.toDouble(), lateInstanceMillis / HOUR_MILLIS)
    }

    private fun submit(command: FleetCommand, now: Long, instance: Instance) {
        val after = view.afterCommand(command, now)
        audit.checkChange(view, after, listOf(instance.id))
        view = after
    }

    private fun advance(instance: Instance, state: InstanceState, now: Long) {
        submit(FleetCommand.AdvanceInstance(instance.id, state, instance.revision), now, instance)
    }

    private fun injectFailures(now: Long) {
        val losses = site.instanceCount * LOSSES_PER_INSTANCE_AND_TICK
        if (random.nextDouble() < losses) {
            val lostInstance = view.instances.values.elementAt(random.nextInt(view.instances.size))
            advance(lostInstance, InstanceState.LOST, now)
        }
        if (random.nextDouble() < MOVE_PLANNER_CRASHES_PER_TICK) {
            movePlannerDownUntilMillis = now + MOVE_PLANNER_DOWN_MILLIS
            state = CapacityState()
        }
    }

    private fun advanceInstances(now: Long) {
        view.instances.values.filter { it.state != InstanceState.SERVING }.forEach { instance ->
            val since = now - instance.stateSinceMillis
            when (instance.state) {
                InstanceState.DRAINING -> if (since >= DRAIN_MILLIS) advance(instance, InstanceState.DRAINED, now)
                InstanceState.WARMING -> if (since >= WARM_MILLIS) advance(instance, InstanceState.SERVING, now)
                InstanceState.LOST -> if (since >= REPAIR_MILLIS) advance(instance, InstanceState.WARMING, now)
                else -> Unit
            }
        }
    }

    private fun serveDemand(tick: Int, now: Long) {
        val serving = IntArray(pools.size)
        var moving = 0
        val indexOf = pools.withIndex().associate { it.value to it.index }
        view.instances.values.forEach { instance ->
            if (instance.state == InstanceState.SERVING) serving[indexOf.getValue(instance.pool)]++
            if (instance.reservation?.purpose == ReservationPurpose.MOVE) moving++
        }
        idleMillis += moving * TICK_MILLIS
        pools.indices.forEach { index ->
            val capacityInstanceMillis = serving[index] * TICK_MILLIS.toDouble()
            val doneInstanceMillis = queues[index]
                .processTick(now, trace.loads[index][tick] * TICK_MILLIS, capacityInstanceMillis)
            if (!isSpare[index]) idleMillis += capacityInstanceMillis - doneInstanceMillis
        }
    }

    private fun submitPlannedCommands(tick: Int, now: Long) {
        if (now < movePlannerDownUntilMillis) return
        planReservationSteps(view, now).forEach { command ->
            instanceOf(command)?.let { submit(command, now, it) }
        }
        val demand = pools.mapIndexed { index, pool ->
            PoolDemand(
                pool,
                trace.loads[index][tick] * SLOTS_PER_INSTANCE,
                (queues[index].queuedInstanceMillis * SLOTS_PER_INSTANCE).toLong(),
                if (isSpare[index]) BACK_OFFICE_LATE_MILLIS else LATE_MILLIS,
            )
        }
        val decision = decideMoves(now, view, demand, state, settings, policy)
        state = decision.state
        decision.moves.forEach { move ->
            val before = view
            submit(move, now, view.instances.getValue(move.id))
            if (view !== before) moves++
        }
    }

    private fun instanceOf(command: FleetCommand): Instance? = when (command) {
        is FleetCommand.AdvanceInstance -> view.instances[command.id]
        is FleetCommand.ReturnInstance -> view.instances[command.id]
        else -> null
    }
}
