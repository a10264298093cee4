// Decides which machines of a wave are taken down next for their upkeep. Machines of a pool that needs all of its
// processors wait as long as the deadline of the wave allows. Finite tasks get some time to end first. Long-running
// tasks are ended only as far as the bound of their step on missing tasks allows.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.model.PoolId

/** Fraction of a wave's duration that the plan leaves free before the deadline. */
private const val RESERVED_FRACTION = 0.15

/** Longest time that a cordoned machine waits for its finite tasks, as a fraction of the slack of a round. */
private const val DRAIN_FRACTION = 0.5

/**
 * Progress of a wave that is not completed.
 *
 * @param done machines that are known to have been taken down
 * @property firstHolder whether no earlier lease holder has given orders for the wave
 */
internal class UpkeepWaveProgress(
    val wave: UpkeepWave,
    val startMillis: Long,
    done: Set<MachineId>,
    val firstHolder: Boolean,
) {
    val done = HashSet(done)

    /** For each machine whose upkeep was refused, when it may be ordered again. */
    val notBeforeMillis = HashMap<MachineId, Long>()

    /** When each machine was cordoned for its upkeep. */
    val cordonedMillis = HashMap<MachineId, Long>()

    val deadlineMillis: Long get() = startMillis + wave.durationMillis

    /** Machines that have not been taken down yet and for which [isPresent] holds. */
    fun remainingMachines(isPresent: (MachineId) -> Boolean): List<MachineId> =
        wave.machines.filter { it !in done && isPresent(it) }
}

/**
 * State of the fleet, as input of the upkeep plan.
 *
 * @property machineOf the machine in the platform's list; null while the list lacks it
 * @property isBlocked whether no order may be given for the machine now
 * @property poolDemandRatio needed processors of the machine's pool, as a ratio to those that it has
 * @property poolRoom number of machines that the machine's pool can lose now
 * @property downCount machines of the wave that are or may be down
 * @property mayBeEnded whether all long-running tasks on the machine may be ended now
 */
internal class UpkeepPlanInput(
    val machineOf: (MachineId) -> MachineRecord?,
    val executorOf: (MachineRecord) -> ExecutorState?,
    val isBlocked: (MachineId) -> Boolean,
    val poolDemandRatio: (MachineRecord) -> Double,
    val poolRoom: (MachineRecord) -> Int,
    val downCount: Int,
    val mayBeEnded: (MachineRecord) -> Boolean,
)

/**
 * Chooses the machines of a wave to take down now. These, and the machines that are to follow next and must get no new
 * runs, are added to [UpkeepWaveProgress.cordonedMillis].
 */
internal fun planUpkeep(
    nowMillis: Long,
    progress: UpkeepWaveProgress,
    input: UpkeepPlanInput,
    upkeepMillis: Long,
): List<MachineRecord> {
    val waiting = progress.remainingMachines { input.machineOf(it) != null }
        .mapNotNull(input.machineOf)
        .filter { it.state == MachineState.UP && !input.isBlocked(it.id) }
        .filter { nowMillis >= (progress.notBeforeMillis[it.id] ?: nowMillis) }
    val room = progress.wave.cap - input.downCount
    if (room <= 0 || waiting.isEmpty()) return emptyList()
    val slackMillis = roundSlackMillis(nowMillis, progress, waiting.size, upkeepMillis)
    val chosen = chooseMachines(progress, input, waiting, room, deadlineNear = slackMillis <= 0)
    chosen.forEach { progress.cordonedMillis.putIfAbsent(it.id, nowMillis) }
    return chosen.filter { machine ->
        val waitedMillis = nowMillis - progress.cordonedMillis.getValue(machine.id)
        val drainMillis = (slackMillis * DRAIN_FRACTION).toLong()
        isDrained(input.executorOf(machine), waitedMillis, drainMillis) && input.mayBeEnded(machine)
    }.fold(ArrayList()) { taken, machine ->
        // Tasks that end with this machine count as missing once its order is marked as sent, which follows the plan.
        // Until then, no second machine with tasks of the same step may be taken.
        val steps = longRunningSteps(input.executorOf(machine))
        if (taken.none { other -> longRunningSteps(input.executorOf(other)).any { it in steps } }) taken += machine
        taken
    }
}

/**
 * Chooses at most [room] machines: first the cordoned ones, then those that cost least. Unless the deadline is near, it
 * leaves out machines of pools that need them, and takes no more machines of a pool than the pool can lose.
 */
private fun chooseMachines(
    progress: UpkeepWaveProgress,
    input: UpkeepPlanInput,
    waiting: List<MachineRecord>,
    room: Int,
    deadlineNear: Boolean,
): List<MachineRecord> {
    val perPool = HashMap<PoolId, Int>()
    return waiting
        .sortedWith(compareBy({ it.id !in progress.cordonedMillis }, { upkeepCost(input, it) }))
        .filter { deadlineNear || it.id in progress.cordonedMillis || input.poolDemandRatio(it) < 1.0 }
        .filter { deadlineNear || perPool.merge(it.pool, 1, Int::plus)!! <= input.poolRoom(it) }
        .take(room)
}

/**
 * Time that the next round can wait without endangering the deadline. The time that is left is shared equally by the
 * rounds that are left; a round takes down as many machines as the cap allows.
 */
private fun roundSlackMillis(
    nowMillis: Long,
    progress: UpkeepWaveProgress,
    waitingCount: Int,
    upkeepMillis: Long,
): Long {
    val rounds = (waitingCount + progress.wave.cap - 1) / maxOf(1, progress.wave.cap)
    val leftMillis = progress.deadlineMillis - nowMillis - (progress.wave.durationMillis * RESERVED_FRACTION).toLong()
    return leftMillis / maxOf(1, rounds) - upkeepMillis
}

/** Whether [executor] has no finite tasks left, or they have had [drainMillis] to end. */
private fun isDrained(executor: ExecutorState?, waitedMillis: Long, drainMillis: Long): Boolean =
    waitedMillis >= drainMillis || executor?.runs?.values.orEmpty().all { it.task.step.step.longRunning }

private fun longRunningSteps(executor: ExecutorState?): Set<StepState> =
    executor?.runs?.values?.map { it.task.step }?.filterTo(HashSet()) { it.step.longRunning }.orEmpty()

/** Sort key: machines without an executor first, then those with few runs in pools with little demand. */
private fun upkeepCost(input: UpkeepPlanInput, machine: MachineRecord): Double {
    val executor = input.executorOf(machine) ?: return -1.0
    return input.poolDemandRatio(machine) + executor.runs.size
}
