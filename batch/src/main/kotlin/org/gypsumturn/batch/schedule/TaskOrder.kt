// In which order steps get room. Jobs that can still meet their objective go first, by how much of it is left beside
// the work that remains; jobs past it give way, since they earn little, but not to one another for ever.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.state.Occurrence
import org.gypsumturn.batch.state.StepState

/** Rank of an open step; lower goes first. */
public typealias StepRank = (nowMillis: Long, queue: Queue, occurrence: Occurrence, step: StepState) -> Double

/** Added to the rank of long-running steps, which go first: they earn for as long as they run. */
private const val LONG_RUNNING_RANK = -1e9

/** Distance between the ranks of jobs that can meet their objective and those that cannot. */
private const val LATE_RANK = 1e7

/** Distance between priorities. */
private const val PRIORITY_RANK = 1e8

/** Ranks by the time that a job has beside its remaining chain of work, as far as the objective can be met. */
public val rankBySlack: StepRank = { nowMillis, queue, occurrence, step ->
    val job = step.job
    val remaining = job.remainingChainMillis(occurrence)
    val slack = job.objectiveMillis(queue, occurrence) - nowMillis - remaining
    val base = queue.priority * PRIORITY_RANK
    when {
        step.step.longRunning -> LONG_RUNNING_RANK
        slack >= 0 -> base + slack
        else -> base + LATE_RANK - slack
    }
}
