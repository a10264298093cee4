// Decides which instances move to another pool, from the view, the reported demand and the state of earlier decisions.

package org.gypsumturn.fleet.capacity

import org.gypsumturn.fleet.command.CommandDecision
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.command.PoolUsage
import org.gypsumturn.fleet.command.decideCommand
import org.gypsumturn.fleet.command.inboundTo
import org.gypsumturn.fleet.command.isAvailable
import org.gypsumturn.fleet.command.usageByPool
import org.gypsumturn.fleet.wave.progressOf
import org.gypsumturn.model.Change
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.WaveState

/** The moves to request now, and the state to pass to the next decision. */
public data class CapacityDecision(public val moves: List<FleetCommand.MoveInstance>, public val state: CapacityState)

/**
 * Decides the moves at [nowMillis].
 *
 * Pools without an entry in [demand] neither give nor receive instances. A pool that is short receives idle instances
 * of other pools and instances that spare pools have above their minimum. Surplus instances of a pool go to a spare
 * pool. Every move fits the availability budgets of both pools in [view]. Pools in [rollingOut] and pools in the middle
 * of a wave receive nothing unless their shortage has cost [CapacitySettings.rolloutShortageFactor] times as much as a
 * move.
 */
public fun decideMoves(
    nowMillis: Long,
    view: FleetView,
    demand: List<PoolDemand>,
    state: CapacityState,
    settings: CapacitySettings,
    policy: MovePolicy = LEARNED_HOLD_POLICY,
    rollingOut: Set<PoolId> = emptySet(),
): CapacityDecision {
    val usages = usageByPool(view)
    val remembered = state.pools.associateBy { it.pool }
    val elapsedMillis = state.atMillis?.let { nowMillis - it }
    val evaluations = demand.mapNotNull { reported ->
        val pool = view.pools[reported.pool] ?: return@mapNotNull null
        val load = loadOf(pool, usages.getValue(pool.id), reported)
        val before = remembered[pool.id] ?: PoolCapacityState(pool.id)
        val observed = before.observe(load, elapsedMillis.takeIf { pool.id in remembered }, settings)
        PoolEvaluation(load, observed, policy(load, observed, settings))
    }
    val restrictedPools = rollingOut + poolsInWaves(view)
    val moves = MoveMatching(view, usages, evaluations, settings, restrictedPools, nowMillis).moves()
    return CapacityDecision(moves, CapacityState(nowMillis, evaluations.map { it.state }))
}

internal data class PoolEvaluation(val load: PoolLoad, val state: PoolCapacityState, val target: PoolTarget)

private fun loadOf(pool: Pool, usage: PoolUsage, demand: PoolDemand): PoolLoad {
    val slots = usage.members.firstOrNull()?.slots?.coerceAtLeast(1) ?: 1
    val staying = usage.members.count { it.isAvailable || (it.state == InstanceState.WARMING && it.inboundTo == null) }
    return PoolLoad(
        pool.id,
        pool.role == PoolRole.SPARE,
        staying + usage.inbound.size,
        pool.minInstances,
        demand.offeredSlots / slots,
        demand.queuedSlotMillis / MILLIS_PER_HOUR / slots,
        demand.patienceMillis,
        pool.budget.maxUnavailable,
    )
}

/** Returns the pools that a running or halted wave has started on and not yet completed. */
private fun poolsInWaves(view: FleetView): Set<PoolId> = view.waves.values
    .filter { it.state == WaveState.RUNNING || it.state == WaveState.HALTED }
    .flatMap { wave ->
        val progress = progressOf(view, wave)
        val started = (progress.done + progress.inWork).map { it.pool }.toSet()
        val remaining = (progress.candidates + progress.inWork + progress.waiting).map { it.pool }.toSet()
        started intersect remaining
    }
    .toSet()

/** Matches pools that are short with pools that can give an instance. Each match is applied to the private view. */
private class MoveMatching(
    private var view: FleetView,
    usages: Map<PoolId, PoolUsage>,
    private val evaluations: List<PoolEvaluation>,
    private val settings: CapacitySettings,
    private val restrictedPools: Set<PoolId>,
    private val nowMillis: Long,
) {
    private val instanceCounts = evaluations.associate { it.load.pool to it.load.instances }.toMutableMap()
    private val available = view.instances.values.filter { it.isAvailable }.groupBy { it.pool }.toMutableMap()
    private val moves = mutableListOf<FleetCommand.MoveInstance>()

    /** Number of further absences that the budget of each pool allows. */
    private val remainingAbsences = usages.mapValuesTo(HashMap()) { (id, usage) ->
        view.pools.getValue(id).budget.maxUnavailable - usage.unavailable
    }

    fun moves(): List<FleetCommand.MoveInstance> {
        evaluations.filter { !it.load.isSpare && mayReceive(it) }
            .sortedByDescending { it.state.shortageCost }
            .forEach { receiveInstances(it, evaluations.filter { donor -> donor.load.isSpare || isIdle(donor) }) }
        evaluations.filter { it.load.isSpare && isShort(it) && it.load.pool !in restrictedPools }
            .sortedByDescending { it.state.neededInstances - instanceCount(it) }
            .forEach { receiveInstances(it, evaluations.filter { donor -> !donor.load.isSpare && isIdle(donor) }) }
        evaluations.filter { !it.load.isSpare }.forEach { returnSurplus(it) }
        return moves
    }

    private fun instanceCount(evaluation: PoolEvaluation): Int = instanceCounts.getValue(evaluation.load.pool)

    /**
     * Compares with the size before this round's moves, so that a spare pool that has just given instances to others
     * does not count as short for that reason.
     */
    private fun isShort(evaluation: PoolEvaluation): Boolean = evaluation.target.instances > evaluation.load.instances

    /** Whether the pool's budget allows one more absence. A move needs one in both pools. */
    private fun hasBudgetLeft(evaluation: PoolEvaluation): Boolean = (remainingAbsences[evaluation.load.pool] ?: 0) > 0

    private fun isIdle(evaluation: PoolEvaluation): Boolean =
        instanceCount(evaluation) > evaluation.target.donationFloor

    private fun mayReceive(evaluation: PoolEvaluation): Boolean {
        val threshold = settings.weights.costPerMove * settings.rolloutShortageFactor
        return evaluation.load.pool !in restrictedPools || evaluation.state.shortageCost >= threshold
    }

    /**
     * Order in which donors are asked, lowest first: pools that return instances anyway, so that one move serves both
     * pools; spare pools with more than they need; pools with idle instances; spare pools that need their instances.
     */
    private fun donorPriority(donor: PoolEvaluation): Int = when {
        instanceCount(donor) > donor.target.instances && !donor.load.isSpare -> 0
        donor.load.isSpare && instanceCount(donor) > donor.state.neededInstances -> 1
        !donor.load.isSpare -> 2
        else -> 3
    }

    private fun receiveInstances(receiver: PoolEvaluation, donors: List<PoolEvaluation>) {
        while (instanceCount(receiver) < receiver.target.instances && hasBudgetLeft(receiver)) {
            val moved = donors
                .filter { it.load.pool != receiver.load.pool && hasBudgetLeft(it) && canGive(it) }
                .sortedWith(
                    compareBy<PoolEvaluation> { donorPriority(it) }
                        .thenByDescending { instanceCount(it) - it.target.donationFloor },
                )
                .any { moveOneInstance(it.load.pool, receiver.load.pool) }
            if (!moved) return
        }
    }

    private fun canGive(donor: PoolEvaluation): Boolean {
        val floor = if (donor.load.isSpare) donor.load.minInstances else donor.target.donationFloor
        return instanceCount(donor) > maxOf(floor, donor.load.minInstances)
    }

    private fun returnSurplus(donor: PoolEvaluation) {
        while (instanceCount(donor) > donor.target.instances && hasBudgetLeft(donor)) {
            val moved = evaluations
                .filter { it.load.isSpare && it.load.pool !in restrictedPools && hasBudgetLeft(it) }
                .sortedBy { instanceCount(it) - it.state.neededInstances }
                .any { moveOneInstance(donor.load.pool, it.load.pool) }
            if (!moved) return
        }
    }

    /** Moves the instance that leaves both pools spread best over the data centres; false if no move is accepted. */
    private fun moveOneInstance(from: PoolId, to: PoolId): Boolean {
        val members = available[from].orEmpty()
        val perDataCentre = members.groupBy { it.domain.dataCentre }
        val arrivals = available[to].orEmpty().groupingBy { it.domain.dataCentre }.eachCount()
        return perDataCentre.entries
            .sortedWith(compareByDescending { it.value.size - (arrivals[it.key] ?: 0) })
            .map { entry -> entry.value.minBy { it.id } }
            .any { tryMove(it, to) }
    }

    private fun tryMove(instance: Instance, to: PoolId): Boolean {
        val command = FleetCommand.MoveInstance(instance.id, to, instance.revision)
        val decision = decideCommand(view, command, nowMillis) as? CommandDecision.Accepted ?: return false
        view = view.apply(
            Change(
                view.version.next(),
                PLANNED_OPERATION,
                CAPACITY_PLANNER,
                nowMillis,
                decision.summary,
                decision.mutations,
            ),
        )
        available[instance.pool] = available[instance.pool].orEmpty() - instance
        instanceCounts.merge(instance.pool, -1, Int::plus)
        instanceCounts.merge(to, 1, Int::plus)
        remainingAbsences.merge(instance.pool, -1, Int::plus)
        remainingAbsences.merge(to, -1, Int::plus)
        moves += command
        return true
    }

    private companion object {
        val PLANNED_OPERATION = OperationId("planned")
        val CAPACITY_PLANNER = OperatorId("capacity")
    }
}
