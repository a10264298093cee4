// Choice of an executor for a task. The executor must have enough free capacity and be allowed by the step. Executors
// on the rack of the data are preferred, and among these the fullest one, so that large free blocks remain for large
// tasks.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.StepState

/** Score added for an executor on another rack than the data, as a multiple of the executor's processors. */
private const val REMOTE_PENALTY = 10.0

/**
 * Score added for each task of the same long-running step on an executor. It spreads the tasks, so that the loss of one
 * executor does not take many of them. It is low, since executors without any task can be given back, which is worth
 * more.
 */
private const val LONG_RUNNING_SPREAD = 0.3

/**
 * Returns the best of [candidates] for a task of [step], or null if none is allowed and has enough free capacity.
 * [freeOf] returns the free capacity of an executor.
 */
public fun chooseExecutor(
    step: StepState,
    candidates: List<ExecutorState>,
    freeOf: (ExecutorState) -> ResourceAmounts = { it.free },
): ExecutorState? {
    var best: ExecutorState? = null
    var bestScore = Double.MAX_VALUE
    for (executor in candidates) {
        if (executor.holdsTrial || !step.reservedSize.fitsInto(freeOf(executor)) ||
            !stepAllows(step, executor)
        ) {
            continue
        }
        val score = score(step, executor)
        if (score < bestScore) {
            best = executor
            bestScore = score
        }
    }
    return best
}

/** Whether the required label and the limit of tasks per executor of [step] allow one more task on [executor]. */
public fun stepAllows(step: StepState, executor: ExecutorState): Boolean {
    val label = step.step.requiredLabel
    if (label.isNotEmpty() && label !in executor.record.labels) return false
    val limit = step.step.maxPerExecutor
    return limit == 0 || step.runsOn(executor) < limit
}

private fun score(step: StepState, executor: ExecutorState): Double {
    val capacity = maxOf(1, executor.record.capacity.cpuMillis).toDouble()
    val free = executor.free.cpuMillis / capacity
    val affinity = step.step.affinityRack
    val far = affinity.isNotEmpty() && affinity !in executor.record.labels
    val spread = if (step.step.longRunning) LONG_RUNNING_SPREAD * step.runsOn(executor) else 0.0
    return free + spread + if (far) REMOTE_PENALTY else 0.0
}
