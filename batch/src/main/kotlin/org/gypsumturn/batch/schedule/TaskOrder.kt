// In which order steps get room. As long as all can be done in time, what is due first goes first. With more than the
// pool holds, that order would begin each job at its last moment and miss it; then the newest jobs go first, which
// have the most time left, and what has begun is finished before them. What does not fit the room any more gives way
// at once instead of being begun and then missed, and jobs past their objective come last, since they earn little.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.state.Occurrence
import org.gypsumturn.batch.state.StepState

/** A step with tasks that wait. */
public class OpenStep(public val queue: Queue, public val occurrence: Occurrence, public val step: StepState)

/** Room of a pool: processors of the executors that can be used, in thousandths of a core. */
public data class PoolRoom(public val cpuMillis: Long)

/** Puts the open steps of a pool in the order in which they get room. */
public typealias StepOrder = (nowMillis: Long, steps: List<OpenStep>, room: PoolRoom) -> List<OpenStep>

/** Steps in the order in which they came; the plain scheduler that others are compared with. */
public val orderByArrival: StepOrder = { _, steps, _ ->
    steps.sortedWith(compareBy({ it.queue.priority }, { it.occurrence.dueMillis }))
}

/** Steps by the time that is left beside the work that remains, late ones last. */
public val orderBySlack: StepOrder = { nowMillis, steps, _ ->
    steps.sortedWith(compareBy({ classOf(nowMillis, it) }, { slackMillis(nowMillis, it) }))
}

/** Steps by slack while a plan of the pool's room does all in time; otherwise the newest that the plan can do. */
public val orderByPlan: StepOrder = { nowMillis, steps, room ->
    val (inTime, late) = planned(nowMillis, orderBySlack(nowMillis, steps, room), room)
    if (late.isEmpty()) {
        inTime
    } else {
        val newest = compareBy<OpenStep>({ classOf(nowMillis, it) }, { -it.occurrence.dueMillis })
        val (planned, shed) = planned(nowMillis, steps.sortedWith(newest), room)
        planned + shed
    }
}

/** Long-running tasks first, then begun jobs in time, jobs in time, and late ones. */
private fun classOf(nowMillis: Long, open: OpenStep): Int = when {
    open.step.step.longRunning -> LONG_RUNNING
    slackMillis(nowMillis, open) < 0 -> LATE + open.queue.priority
    hasBegun(open) -> BEGUN + open.queue.priority
    else -> FRESH + open.queue.priority
}

private fun hasBegun(open: OpenStep): Boolean =
    open.step.job.phase != JobPhase.QUEUED && open.occurrence.steps.any { step -> step.doneCount > 0 || step.hasRuns }

private val StepState.hasRuns: Boolean get() = tasks.any { it.runs.isNotEmpty() }

/** Time that the job has beside its remaining chain of work. */
private fun slackMillis(nowMillis: Long, open: OpenStep): Long {
    val job = open.step.job
    return job.objectiveMillis(open.queue, open.occurrence) - nowMillis - job.remainingChainMillis(open.occurrence)
}

/** Splits sorted steps into those that can be done in time one after the other with [room], and the others. */
private fun planned(nowMillis: Long, sorted: List<OpenStep>, room: PoolRoom): Pair<List<OpenStep>, List<OpenStep>> {
    val planned = ArrayList<OpenStep>()
    val shed = ArrayList<OpenStep>()
    var workCpuMillis = 0.0
    for (open in sorted) {
        val work = waitingWork(open)
        val startsInMillis = workCpuMillis / maxOf(1L, room.cpuMillis)
        val fresh = !open.step.step.longRunning && !hasBegun(open)
        if (fresh && slackMillis(nowMillis, open) in 0 until startsInMillis.toLong()) {
            shed += open
        } else {
            planned += open
            if (slackMillis(nowMillis, open) >= 0) workCpuMillis += work
        }
    }
    return planned to shed
}

/** Processor time of the step's waiting tasks, in thousandths of a core times milliseconds. */
private fun waitingWork(open: OpenStep): Double {
    val step = open.step
    if (step.step.longRunning) return 0.0
    return step.unstarted.toDouble() * step.room.cpuMillis * step.step.estimateMillis
}

private const val LONG_RUNNING = 0
private const val BEGUN = 1_000
private const val FRESH = 2_000
private const val LATE = 3_000
