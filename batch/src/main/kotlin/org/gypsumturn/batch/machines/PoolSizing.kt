// How many machines each pool should have: enough for what runs, for what waits to be started within the time that
// its objective leaves, and for the long-running tasks that must stand on different executors. Machines come from the
// spare pool, whose machines are off, and go back to it when they have been idle for longer than the two moves are
// worth.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.model.PoolId
import kotlin.math.ceil

/**
 * Demand of a pool.
 *
 * @property heldCpuMillis processors of what runs, in thousandths of a core
 * @property backlogCpuMillis work that waits, in thousandths of a core times milliseconds
 * @property leastMachines machines that long-running tasks need, since few may share one
 */
public data class PoolDemand(
    public val heldCpuMillis: Double,
    public val backlogCpuMillis: Double,
    public val leastMachines: Int,
)

/**
 * Policy of moves.
 *
 * @property clearMillis time in which what waits should be done
 * @property idleMillis time after which an idle machine is given back
 * @property settledMillis time after which an idle machine is taken for another pool before a spare one
 */
public data class SizingPolicy(
    public val clearMillis: Double,
    public val idleMillis: Long,
    public val settledMillis: Long = 1_000,
)

/**
 * A pool as the sizing sees it. [machines] counts those on their way to it; [hasWorked] tells that its demand is
 * known, so that what the operator gave it is not taken away before its first job.
 */
public class SizedPool(
    public val hasWorked: Boolean,
    public val pool: PoolId,
    public val machines: Int,
    public val machineCpuMillis: Long,
    public val demand: PoolDemand,
    public val idle: List<IdleMachine>,
)

/** A machine without work, and since when. */
public data class IdleMachine(public val machine: MachineRecord, public val sinceMillis: Long)

/** Part of a machine's processors that tasks of uneven sizes fill. */
private const val FILLED_PART = 0.85

/** Machines that [pool] should have. */
public fun wantedMachines(pool: SizedPool, policy: SizingPolicy): Int {
    val perMachine = pool.machineCpuMillis * FILLED_PART
    if (perMachine <= 0) return pool.machines
    return maxOf(ceil(neededCpuMillis(pool, policy) / perMachine).toInt(), pool.demand.leastMachines, 1)
}

/** Moves to make now, from machine to pool. [spare] are machines of the spare pool that are up and free. */
public fun planMoves(
    nowMillis: Long,
    pools: List<SizedPool>,
    spare: List<MachineRecord>,
    sparePool: PoolId?,
    policy: SizingPolicy,
): Map<MachineId, PoolId> {
    val moves = LinkedHashMap<MachineId, PoolId>()
    val wanted = pools.associateWith { wantedMachines(it, policy) }
    val free = ArrayDeque(spare)
    val idle = pools.flatMap { pool ->
        pool.idle.sortedBy { it.sinceMillis }.take(maxOf(0, pool.machines - wanted.getValue(pool)))
    }.sortedBy { it.sinceMillis }.toCollection(ArrayDeque())
    pools.filter { wanted.getValue(it) > it.machines }.sortedByDescending { pressure(it, policy) }.forEach { pool ->
        repeat(wanted.getValue(pool) - pool.machines) {
            // A machine that has been idle elsewhere costs one move and no more machines; a spare one is paid for anew.
            val settled = idle.firstOrNull()?.takeIf { nowMillis - it.sinceMillis >= policy.settledMillis }
            val machine = settled?.also { idle.removeFirst() }?.machine
                ?: free.removeFirstOrNull()
                ?: idle.removeFirstOrNull()?.machine
                ?: return@forEach
            moves[machine.id] = pool.pool
        }
    }
    if (sparePool != null) {
        val worked = pools.filter { it.hasWorked }.mapTo(HashSet()) { it.pool }
        idle.filter { it.machine.pool in worked && nowMillis - it.sinceMillis >= policy.idleMillis }.forEach {
            moves[it.machine.id] = sparePool
        }
    }
    return moves
}

/** Demand of a pool against what it has. */
public fun pressure(pool: SizedPool, policy: SizingPolicy): Double =
    neededCpuMillis(pool, policy) / maxOf(1.0, pool.machines * pool.machineCpuMillis * FILLED_PART)

/** Processors for what runs, and for what waits if it is to be done in time. */
private fun neededCpuMillis(pool: SizedPool, policy: SizingPolicy): Double =
    pool.demand.heldCpuMillis + pool.demand.backlogCpuMillis / policy.clearMillis
