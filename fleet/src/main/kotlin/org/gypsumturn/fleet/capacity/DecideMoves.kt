// Decides which instances change pools, from the view, the demand and what earlier decisions remembered.

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

/** Moves to ask for now, and the state for the next decision. */
public data class CapacityDecision(public val moves: List<FleetCommand.MoveInstance>, public val state: CapacityState)

/**
 * Decides the moves at [nowMillis].
 *
 * Pools without an entry in [demand] take no part. A pool that is short takes what other pools hold idle, then what
 * the spare pools have above their minimum; what a pool no longer wants goes to a spare pool. Every move fits the
 * budgets of both pools in [view]. Pools in [rollingOut], and pools in the middle of a wave, receive nothing unless
 * their shortage has cost [CapacitySettings.rolloutFactor] times as much as a move.
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
    val wants = demand.mapNotNull { reported ->
        val pool = view.pools[reported.pool] ?: return@mapNotNull null
        val load = loadOf(pool, usages.getValue(pool.id), reported)
        val before = remembered[pool.id] ?: PoolCapacityState(pool.id)
        val observed = before.observe(load, elapsedMillis.takeIf { pool.id in remembered }, settings)
        PoolWant(load, observed, policy(load, observed, settings))
    }
    val unsettled = rollingOut + poolsInWaves(view)
    val moves = MoveMatching(view, usages, wants, settings, unsettled, nowMillis).moves()
    return CapacityDecision(moves, CapacityState(nowMillis, wants.map { it.state }))
}

internal data class PoolWant(val load: PoolLoad, val state: PoolCapacityState, val wish: PoolWish)

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

/** Pools of which a running wave has rebooted some members and not yet all. */
private fun poolsInWaves(view: FleetView): Set<PoolId> = view.waves.values
    .filter { it.state == WaveState.RUNNING || it.state == WaveState.HALTED }
    .flatMap { wave ->
        val progress = progressOf(view, wave)
        val begun = (progress.done + progress.inWork).map { it.pool }.toSet()
        val left = (progress.candidates + progress.inWork + progress.waiting).map { it.pool }.toSet()
        begun intersect left
    }
    .toSet()

/** Matches pools that want instances with pools that can give one, on a view that each match updates. */
private class MoveMatching(
    private var view: FleetView,
    usages: Map<PoolId, PoolUsage>,
    private val wants: List<PoolWant>,
    private val settings: CapacitySettings,
    private val unsettled: Set<PoolId>,
    private val nowMillis: Long,
) {
    private val counts = wants.associate { it.load.pool to it.load.instances }.toMutableMap()
    private val available = view.instances.values.filter { it.isAvailable }.groupBy { it.pool }.toMutableMap()
    private val moves = mutableListOf<FleetCommand.MoveInstance>()

    /** Absences that each pool's budget still allows. */
    private val room = usages.mapValuesTo(HashMap()) { (id, usage) ->
        view.pools.getValue(id).budget.maxUnavailable - usage.unavailable
    }

    fun moves(): List<FleetCommand.MoveInstance> {
        wants.filter { !it.load.isSpare && mayReceive(it) }
            .sortedByDescending { it.state.shortageCost }
            .forEach { fill(it, wants.filter { donor -> donor.load.isSpare || isIdle(donor) }) }
        wants.filter { it.load.isSpare && isShort(it) && it.load.pool !in unsettled }
            .sortedByDescending { it.state.need - count(it) }
            .forEach { fill(it, wants.filter { donor -> !donor.load.isSpare && isIdle(donor) }) }
        wants.filter { !it.load.isSpare }.forEach { giveBack(it) }
        return moves
    }

    private fun count(want: PoolWant): Int = counts.getValue(want.load.pool)

    /** A spare pool that has just lent is not short for that reason. */
    private fun isShort(want: PoolWant): Boolean = want.wish.instances > want.load.instances

    /** Whether the pool's budget allows one more absence, without which no move can be accepted. */
    private fun hasRoom(want: PoolWant): Boolean = (room[want.load.pool] ?: 0) > 0

    private fun isIdle(want: PoolWant): Boolean = count(want) > want.wish.floor

    private fun mayReceive(want: PoolWant): Boolean {
        val threshold = settings.weights.perMove * settings.rolloutFactor
        return want.load.pool !in unsettled || want.state.shortageCost >= threshold
    }

    /**
     * What another pool gives up anyway comes first, so that one move serves both; then what no one needs in a spare
     * pool, what other pools hold idle, and last what a spare pool could use itself.
     */
    private fun rank(donor: PoolWant): Int = when {
        count(donor) > donor.wish.instances && !donor.load.isSpare -> 0
        donor.load.isSpare && count(donor) > donor.state.need -> 1
        !donor.load.isSpare -> 2
        else -> 3
    }

    private fun fill(want: PoolWant, donors: List<PoolWant>) {
        while (count(want) < want.wish.instances && hasRoom(want)) {
            val moved = donors
                .filter { it.load.pool != want.load.pool && hasRoom(it) && canGive(it) }
                .sortedWith(compareBy<PoolWant> { rank(it) }.thenByDescending { count(it) - it.wish.floor })
                .any { move(it.load.pool, want.load.pool) }
            if (!moved) return
        }
    }

    private fun canGive(donor: PoolWant): Boolean {
        val floor = if (donor.load.isSpare) donor.load.minInstances else donor.wish.floor
        return count(donor) > maxOf(floor, donor.load.minInstances)
    }

    private fun giveBack(want: PoolWant) {
        while (count(want) > want.wish.instances && hasRoom(want)) {
            val moved = wants
                .filter { it.load.isSpare && it.load.pool !in unsettled && hasRoom(it) }
                .sortedBy { count(it) - it.state.need }
                .any { move(want.load.pool, it.load.pool) }
            if (!moved) return
        }
    }

    /** Asks for a move of the instance that leaves both pools best spread over the data centres. */
    private fun move(from: PoolId, to: PoolId): Boolean {
        val members = available[from].orEmpty()
        val perDataCentre = members.groupBy { it.domain.dataCentre }
        val arrivals = available[to].orEmpty().groupingBy { it.domain.dataCentre }.eachCount()
        return perDataCentre.entries
            .sortedWith(compareByDescending { it.value.size - (arrivals[it.key] ?: 0) })
            .map { entry -> entry.value.minBy { it.id } }
            .any { accepts(it, to) }
    }

    private fun accepts(instance: Instance, to: PoolId): Boolean {
        val command = FleetCommand.MoveInstance(instance.id, to, instance.revision)
        val decision = decideCommand(view, command, nowMillis) as? CommandDecision.Accepted ?: return false
        view = view.apply(
            Change(view.version.next(), PLANNED, PLANNER, nowMillis, decision.summary, decision.mutations),
        )
        available[instance.pool] = available[instance.pool].orEmpty() - instance
        counts.merge(instance.pool, -1, Int::plus)
        counts.merge(to, 1, Int::plus)
        room.merge(instance.pool, -1, Int::plus)
        room.merge(to, -1, Int::plus)
        moves += command
        return true
    }

    private companion object {
        val PLANNED = OperationId("planned")
        val PLANNER = OperatorId("capacity")
    }
}
