// Choice of an executor for a task: it must fit and be allowed; near the data goes before far, and the fullest
// executor that still has room goes before emptier ones, so that room for large tasks stays whole.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.StepState

/** Score of an executor on another rack than the data, in parts of an executor's processors. */
private const val REMOTE_PENALTY = 10.0

/**
 * Score for each task of a long-running step that an executor has already: one lost executor should not take many, but
 * executors without any are worth more, since they can be given back.
 */
private const val LONG_RUNNING_SPREAD = 0.3

/** The best of [candidates] for a task of [step], or null if none has room. */
public fun chooseExecutor(
    step: StepState,
    candidates: List<ExecutorState>,
    freeOf: (ExecutorState) -> ResourceAmounts = { it.free },
): ExecutorState? {
    var best: ExecutorState? = null
    var bestScore = Double.MAX_VALUE
    for (executor in candidates) {
        if (!step.room.fitsInto(freeOf(executor)) || !allows(step, executor)) continue
        val score = score(step, executor)
        if (score < bestScore) {
            best = executor
            bestScore = score
        }
    }
    return best
}

/** Whether the step's label and its limit for each executor allow one more task on [executor]. */
public fun allows(step: StepState, executor: ExecutorState): Boolean {
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
