// Which machines of a wave go down next. Machines of pools that have work to do wait for a quiet moment as far as the
// wave's time allows; quick tasks are let to end first; long-running tasks are ended only if their step can miss them.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.batch.state.Task
import org.gypsumturn.model.PoolId

/** Percentage at which a long-running task is at work. */
private const val AT_WORK_PERCENT = 100

/** Part of a wave's time that is kept free at its end. */
private const val RESERVE_PART = 0.15

/** Longest time that a cordoned machine waits for its quick tasks, as a part of the time that a round has. */
private const val DRAIN_PART = 0.5

/** A wave that is not completed; [fresh] tells that no earlier holder has given orders for it. */
internal class WaveState(val wave: UpkeepWave, val begunMillis: Long, done: Set<MachineId>, val fresh: Boolean) {
    val done = HashSet(done)

    /** When a machine whose upkeep was refused may be ordered down again. */
    val notBeforeMillis = HashMap<MachineId, Long>()

    /** When each machine was cordoned for its upkeep. */
    val cordonedMillis = HashMap<MachineId, Long>()

    val endMillis: Long get() = begunMillis + wave.durationMillis

    fun left(isThere: (MachineId) -> Boolean): List<MachineId> = wave.machines.filter { it !in done && isThere(it) }
}

/** Whether a long-running task is at work, and not about to be ended with its machine. */
internal fun atWork(task: Task): Boolean =
    task.runs.any { it.phase == RunPhase.RUNNING && it.percent >= AT_WORK_PERCENT && !it.executor.terminating }

/** Whether every long-running task on [executor] may be ended now, given that others of its step may be away. */
internal fun mayEndLongRunning(executor: ExecutorState): Boolean =
    executor.runs.values.filter { it.task.step.step.longRunning }.groupBy { it.task.step }.all { (step, runs) ->
        runs.size + awayElsewhere(step, runs) <= allowedAway(step)
    }

/**
 * Long-running tasks on [executor] to stop now, so that they go on elsewhere: where more of a step are on it than
 * may be away at once, one after the other.
 */
internal fun runsToEvacuate(executor: ExecutorState): List<Run> {
    val groups = executor.runs.values.filter { it.task.step.step.longRunning }.groupBy { it.task.step }
    return groups.mapNotNull { (step, runs) ->
        val away = step.tasks.count { !atWork(it) }
        val tooMany = runs.size + awayElsewhere(step, runs) > allowedAway(step)
        runs.firstOrNull { it.phase == RunPhase.RUNNING }.takeIf { tooMany && away < allowedAway(step) }
    }
}

private fun awayElsewhere(step: StepState, runs: List<Run>): Int {
    val here = runs.mapTo(HashSet()) { it.task }
    return step.tasks.count { it !in here && !atWork(it) }
}

/** A step that names no bound may still miss one task, or its machines could never be taken down. */
private fun allowedAway(step: StepState): Int = maxOf(1, step.step.mayMiss)

/** What the plan needs to know beside the wave. */
internal class UpkeepView(
    val machineOf: (MachineId) -> MachineRecord?,
    val executorOf: (MachineRecord) -> ExecutorState?,
    val isBusy: (MachineId) -> Boolean,
    val poolPressure: (MachineRecord) -> Double,
    val poolRoom: (MachineRecord) -> Int,
    val downNow: Int,
)

/** Machines of [state] to order down now. Machines that are to follow are cordoned in [state]. */
internal fun planUpkeep(nowMillis: Long, state: WaveState, view: UpkeepView, upkeepMillis: Long): List<MachineRecord> {
    val waiting = state.left { view.machineOf(it) != null }
        .mapNotNull(view.machineOf)
        .filter { it.state == MachineState.UP && !view.isBusy(it.id) }
        .filter { nowMillis >= (state.notBeforeMillis[it.id] ?: nowMillis) }
    val room = state.wave.cap - view.downNow
    if (room <= 0 || waiting.isEmpty()) return emptyList()
    val patience = roundMillis(nowMillis, state, waiting.size, upkeepMillis)
    val chosen = choose(state, view, waiting, room, hurry = patience <= 0)
    chosen.forEach { state.cordonedMillis.putIfAbsent(it.id, nowMillis) }
    return chosen.filter { machine ->
        val waitedMillis = nowMillis - state.cordonedMillis.getValue(machine.id)
        mayGoDown(view.executorOf(machine), waitedMillis, (patience * DRAIN_PART).toLong())
    }.fold(ArrayList()) { taken, machine ->
        // The next machine that holds tasks of the same step is judged when those that are ended here are away.
        val steps = longRunningSteps(view.executorOf(machine))
        if (taken.none { other -> longRunningSteps(view.executorOf(other)).any { it in steps } }) taken += machine
        taken
    }
}

/** The next machines: those that are cordoned already, then the cheapest, with no pool losing too many at once. */
private fun choose(
    state: WaveState,
    view: UpkeepView,
    waiting: List<MachineRecord>,
    room: Int,
    hurry: Boolean,
): List<MachineRecord> {
    val perPool = HashMap<PoolId, Int>()
    return waiting
        .sortedWith(compareBy({ it.id !in state.cordonedMillis }, { cost(view, it) }))
        .filter { hurry || it.id in state.cordonedMillis || view.poolPressure(it) < 1.0 }
        .filter { hurry || perPool.merge(it.pool, 1, Int::plus)!! <= view.poolRoom(it) }
        .take(room)
}

/** Time that the next round may wait: what is left of the wave's time, shared by the rounds that are left. */
private fun roundMillis(nowMillis: Long, state: WaveState, waiting: Int, upkeepMillis: Long): Long {
    val rounds = (waiting + state.wave.cap - 1) / maxOf(1, state.wave.cap)
    val leftMillis = state.endMillis - nowMillis - (state.wave.durationMillis * RESERVE_PART).toLong()
    return leftMillis / maxOf(1, rounds) - upkeepMillis
}

private fun mayGoDown(executor: ExecutorState?, waitedMillis: Long, patienceMillis: Long): Boolean {
    if (executor == null || executor.runs.isEmpty()) return true
    val quick = executor.runs.values.any { !it.task.step.step.longRunning }
    if (quick && waitedMillis < patienceMillis) return false
    return mayEndLongRunning(executor)
}

private fun longRunningSteps(executor: ExecutorState?): Set<StepState> =
    executor?.runs?.values?.map { it.task.step }?.filterTo(HashSet()) { it.step.longRunning }.orEmpty()

/** Machines without work first, then those with little. */
private fun cost(view: UpkeepView, machine: MachineRecord): Double {
    val executor = view.executorOf(machine) ?: return -1.0
    return view.poolPressure(machine) + executor.runs.size
}
