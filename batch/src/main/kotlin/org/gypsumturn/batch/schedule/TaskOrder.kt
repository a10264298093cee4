// Order in which waiting steps get capacity. As long as all steps can be done in time, the one with the least slack
// goes first. In overload that order would begin each job at the last moment and miss its objective. The newest jobs
// then go first, since they have the most time left, but jobs that have begun are finished before them. A step that the
// remaining capacity can no longer finish in time is passed over at once, instead of being begun and then missed. Jobs
// past their objective come last, since they earn little.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.state.Occurrence
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.model.WorkspaceId

/** A step of [occurrence] in [queue] with tasks that wait to be started. */
public class WaitingStep(public val queue: Queue, public val occurrence: Occurrence, public val step: StepState)

/**
 * Capacity of the executors of a pool that can be used.
 *
 * @property total capacity of all of them, with what is in use
 * @param busyMillisByWorkspace computes [busyMillisByWorkspace], which not all orders need
 */
public class PoolCapacity(
    public val total: ResourceAmounts,
    busyMillisByWorkspace: () -> Map<WorkspaceId?, Double> = { emptyMap() },
) {
    /**
     * Time for which the rest of the tasks that run would take up the whole pool, by the workspaces of their jobs. Null
     * stands for jobs without a workspace.
     */
    public val busyMillisByWorkspace: Map<WorkspaceId?, Double> by lazy(
        LazyThreadSafetyMode.NONE,
        busyMillisByWorkspace,
    )

    /** The part of the pool that a task of [size] takes up, by the resource of which it needs the most. */
    public fun partOf(size: ResourceAmounts): Double = maxOf(
        size.cpuMillis.toDouble() / maxOf(1L, total.cpuMillis),
        size.memoryMb.toDouble() / maxOf(1L, total.memoryMb),
        size.accelerators.toDouble() / maxOf(1L, total.accelerators),
    )
}

/** Sorts the waiting steps of a pool in the order in which they get capacity. */
public typealias StepOrder = (nowMillis: Long, steps: List<WaitingStep>, capacity: PoolCapacity) -> List<WaitingStep>

/**
 * Sorts steps by queue priority, then by when they became due. It is the baseline that the other orders are compared
 * with.
 */
public val orderByArrival: StepOrder = { _, steps, _ ->
    steps.sortedWith(compareBy({ it.queue.priority }, { it.occurrence.dueMillis }))
}

/** Sorts steps by slack, the time left beside the remaining work. Late steps come last. */
public val orderBySlack: StepOrder = { nowMillis, steps, _ ->
    steps.map { rank(nowMillis, it) }.sortedWith(bySlack).map { it.waiting }
}

/**
 * Sorts steps by slack while the pool has the capacity to do all in time. Otherwise sorts the newest first and puts
 * those last that cannot be done in time.
 */
public val orderByPlan: StepOrder = { nowMillis, steps, capacity ->
    val ranked = steps.map { rank(nowMillis, it) }
    val (inTime, late) = splitByPlan(ranked.sortedWith(bySlack), capacity)
    val sorted = if (late.isEmpty()) {
        inTime
    } else {
        val (planned, shed) = splitByPlan(ranked.sortedWith(newestFirst), capacity)
        planned + shed
    }
    sorted.map { it.waiting }
}

/**
 * A waiting step with what decides its place in the order.
 *
 * @property priorityClass long-running steps first, then jobs in time that have begun, then other jobs in time, then
 * late jobs
 * @property slackMillis time until the objective of the job, less its remaining critical path; negative if the
 * objective will be missed
 */
internal class RankedStep(val waiting: WaitingStep, val priorityClass: Int, val slackMillis: Long, val begun: Boolean)

private val bySlack = compareBy<RankedStep>({ it.priorityClass }, { it.slackMillis })
private val newestFirst = compareBy<RankedStep>({ it.priorityClass }, { -it.waiting.occurrence.dueMillis })

internal fun rank(nowMillis: Long, waiting: WaitingStep): RankedStep {
    val job = waiting.step.job
    val slackMillis = job.objectiveMillis(waiting.queue, waiting.occurrence) - nowMillis -
        job.remainingCriticalPathMillis(waiting.occurrence)
    val begun = hasBegun(waiting)
    val priorityClass = when {
        waiting.step.step.longRunning -> LONG_RUNNING
        slackMillis < 0 -> LATE + waiting.queue.priority
        begun -> BEGUN + waiting.queue.priority
        else -> NOT_BEGUN + waiting.queue.priority
    }
    return RankedStep(waiting, priorityClass, slackMillis, begun)
}

private fun hasBegun(open: WaitingStep): Boolean = open.step.job.phase != JobPhase.QUEUED &&
    open.occurrence.steps.any { step -> step.doneCount > 0 || step.runCount > 0 }

/** Splits [sorted] into the steps that can be done in time, one after another with [capacity], and the others. */
private fun splitByPlan(sorted: List<RankedStep>, capacity: PoolCapacity): Pair<List<RankedStep>, List<RankedStep>> {
    val planned = ArrayList<RankedStep>()
    val shed = ArrayList<RankedStep>()
    var workCpuMillis = 0.0
    for (ranked in sorted) {
        val startsInMillis = workCpuMillis / maxOf(1L, capacity.total.cpuMillis)
        val notBegun = !ranked.waiting.step.step.longRunning && !ranked.begun
        if (notBegun && ranked.slackMillis in 0 until startsInMillis.toLong()) {
            shed += ranked
        } else {
            planned += ranked
            if (ranked.slackMillis >= 0) workCpuMillis += waitingWork(ranked.waiting)
        }
    }
    return planned to shed
}

/** Work of the waiting tasks of the step, in thousandths of a core times milliseconds. */
private fun waitingWork(open: WaitingStep): Double {
    val step = open.step
    if (step.step.longRunning) return 0.0
    return step.unstartedCount.toDouble() * step.reservedSize.cpuMillis * step.step.estimateMillis
}

private const val LONG_RUNNING = 0
private const val BEGUN = 1_000
private const val NOT_BEGUN = 2_000
private const val LATE = 3_000
