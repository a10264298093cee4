// Decides how many machines each pool should have, and plans the moves between pools. A pool needs machines for the
// runs it has, to work off its backlog in time, and for long-running tasks that must be on different executors.
// Machines come from the spare pool, whose machines are off. They return to it once they have been idle for so long
// that keeping them costs more than the two moves.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.model.PoolId
import kotlin.math.ceil

/**
 * Demand of a pool.
 *
 * @property heldCpuMillis processors that current runs use, in thousandths of a core
 * @property finiteCpuMillis the part of them that runs use which end by themselves
 * @property arrivingCpuMillis processors that the jobs need which arrive at the present rate, in thousandths of a core
 * @property backlogCpuMillis work of the tasks that could be started now, in thousandths of a core times milliseconds
 * @property leastMachines lower bound on the machines, from steps that bound their long-running tasks per executor
 */
public data class PoolDemand(
    public val heldCpuMillis: Double,
    public val finiteCpuMillis: Double,
    public val arrivingCpuMillis: Double,
    public val backlogCpuMillis: Double,
    public val leastMachines: Int,
)

/**
 * Policy for moving machines between pools.
 *
 * @property backlogClearMillis time in which a pool should work off its backlog
 * @property returnIdleMillis idle time after which a machine is returned to the spare pool
 * @property reuseIdleMillis idle time after which a machine is preferred to a spare one for another pool
 */
public data class SizingPolicy(
    public val backlogClearMillis: Double,
    public val returnIdleMillis: Long,
    public val reuseIdleMillis: Long = 1_000,
)

/**
 * State of one pool, as input of the sizing.
 *
 * @property hasWorked whether the pool has had a backlog, in this term of the lease or an earlier one. Before that, the
 * machines that the operator gave it are not returned to the spare pool.
 * @property machineCount machines in the pool, including those that are being moved to it
 * @property machineCpuMillis processors of one machine, in thousandths of a core
 * @property idle machines of the pool without runs
 */
public class PoolSizingInput(
    public val hasWorked: Boolean,
    public val poolId: PoolId,
    public val machineCount: Int,
    public val machineCpuMillis: Long,
    public val demand: PoolDemand,
    public val idle: List<IdleMachine>,
)

/** A machine without runs since [sinceMillis]. */
public data class IdleMachine(public val machine: MachineRecord, public val sinceMillis: Long)

/** Fraction of a machine's processors that can be used, since tasks of different sizes do not fill it completely. */
private const val USABLE_CPU_FRACTION = 0.85

/** Number of machines that [pool] should have. */
public fun wantedMachines(pool: PoolSizingInput, policy: SizingPolicy): Int {
    val perMachine = pool.machineCpuMillis * USABLE_CPU_FRACTION
    if (perMachine <= 0) return pool.machineCount
    return maxOf(ceil(neededCpuMillis(pool, policy) / perMachine).toInt(), pool.demand.leastMachines, 1)
}

/** The moves to order now: machines and their new pools. [spare] are machines of the spare pool that can be moved. */
public fun planMoves(
    nowMillis: Long,
    pools: List<PoolSizingInput>,
    spare: List<MachineRecord>,
    sparePool: PoolId?,
    policy: SizingPolicy,
): Map<MachineId, PoolId> {
    val moves = LinkedHashMap<MachineId, PoolId>()
    val wanted = pools.associateWith { wantedMachines(it, policy) }
    val free = ArrayDeque(spare)
    val idle = pools.flatMap { pool ->
        pool.idle.sortedBy { it.sinceMillis }.take(maxOf(0, pool.machineCount - wanted.getValue(pool)))
    }.sortedBy { it.sinceMillis }.toCollection(ArrayDeque())
    pools
        .filter { wanted.getValue(it) > it.machineCount }
        .sortedByDescending { demandRatio(it, policy) }
        .forEach { pool ->
            repeat(wanted.getValue(pool) - pool.machineCount) {
                // A machine that is idle in another pool is already paid for; a spare one costs more from now on.
                val reusable = idle.firstOrNull()?.takeIf { nowMillis - it.sinceMillis >= policy.reuseIdleMillis }
                val machine = reusable?.also { idle.removeFirst() }?.machine
                    ?: free.removeFirstOrNull()
                    ?: idle.removeFirstOrNull()?.machine
                    ?: return@forEach
                moves[machine.id] = pool.poolId
            }
        }
    if (sparePool != null) {
        val workedPools = pools.filter { it.hasWorked }.mapTo(HashSet()) { it.poolId }
        idle
            .filter { it.machine.pool in workedPools && nowMillis - it.sinceMillis >= policy.returnIdleMillis }
            .forEach { moves[it.machine.id] = sparePool }
    }
    return moves
}

/** Ratio of the processors that a pool needs to those that it has; above 1 it has too few machines. */
public fun demandRatio(pool: PoolSizingInput, policy: SizingPolicy): Double =
    neededCpuMillis(pool, policy) / maxOf(1.0, pool.machineCount * pool.machineCpuMillis * USABLE_CPU_FRACTION)

/**
 * Processors for the current runs and for working off the backlog in time, in thousandths of a core. While more work
 * arrives than is under way, the processors that it will need count.
 */
private fun neededCpuMillis(pool: PoolSizingInput, policy: SizingPolicy): Double {
    val demand = pool.demand
    val rising = maxOf(0.0, demand.arrivingCpuMillis - demand.finiteCpuMillis)
    return demand.heldCpuMillis + rising + demand.backlogCpuMillis / policy.backlogClearMillis
}
