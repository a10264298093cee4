// Order in which waiting steps get capacity where callers compete for too little of it. Put back is what costs callers
// least: by the priority of its queue, by its deadline, by the work that it needs, and by what its workspace already
// has. The plan follows Moore and Hodgson's algorithm for the fewest late jobs: jobs are planned in the order of their
// latest starts, and whenever one of them would start too late, the planned job is put back that frees the most
// capacity for what it costs. Two bounds keep that fair: workspaces with more than their share lose first, and the
// largest jobs are not put back much more often than others.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.state.StepState
import org.gypsumturn.model.WorkspaceId
import java.util.PriorityQueue
import kotlin.math.pow

/** Returns the weight of a workspace; null for one that is not known. */
public typealias WeightOf = (WorkspaceId) -> Double?

/** Factor between the costs of putting back equal jobs of two neighbouring priorities. */
private const val PRIORITY_FACTOR = 8.0

/**
 * Exponent of a job's work in its cost. A caller that asks for more work loses more, but less than in proportion, so
 * that several small jobs go before one large job.
 */
private const val WORK_EXPONENT = 0.5

/** Largest parts of the jobs by work, which are protected from being put back much more often than others. */
private val PROTECTED_SIZES = listOf(0.1, 0.3)

/** A size is protected while the kept part of its jobs is less than this fraction of the kept part of all jobs. */
private const val PROTECTED_FRACTION = 0.7

/**
 * Part of the work under way that a waiting job waits for: tasks that run release their capacity one after another, on
 * average in half of the time that all of them take.
 */
private const val AWAITED_PART_OF_BUSY = 0.5

/** A workspace loses first once it has this much more than its share. */
private const val SHARE_TOLERANCE = 1.25

/**
 * Sorts steps so that those come last that cost callers least. As long as all can be done in time, the one with the
 * least slack goes first. Steps that are late already come last of all, those with the least work first.
 */
public fun orderByCost(weightOf: WeightOf = { null }): StepOrder = { nowMillis, steps, capacity ->
    val jobs = steps.map { plannedStep(rank(nowMillis, it), capacity) }
    val (late, inTime) = jobs.partition { it.ranked.slackMillis < 0 && !it.isLongRunning }
    val plan = CostPlan(inTime, capacity, weightOf)
    inTime.sortedWith(byLatestStart).forEach(plan::add)
    val sorted = plan.kept + (plan.putBack + late).sortedWith(byLateness)
    sorted.map { it.ranked.waiting }
}

private val byLatestStart = compareBy<PlannedStep>({ it.ranked.priorityClass }, { it.ranked.slackMillis })
private val byLateness =
    compareBy<PlannedStep>({ it.ranked.slackMillis < 0 }, { it.ranked.waiting.queue.priority }, { it.workMillis })

/** A step with the time for which the rest of its job would take up the whole pool. */
private class PlannedStep(val ranked: RankedStep, val workMillis: Double) {
    val workspace: WorkspaceId? get() = ranked.waiting.step.job.job.workspace

    val isLongRunning: Boolean get() = ranked.waiting.step.step.longRunning

    /** Whether the job has not begun and may wait for others. */
    val isOpen: Boolean get() = !ranked.begun && !isLongRunning

    /** What putting the job back costs callers, for each millisecond of the pool that it frees. */
    val costOfCapacity: Double =
        workMillis.pow(WORK_EXPONENT - 1) / PRIORITY_FACTOR.pow(ranked.waiting.queue.priority)
}

private fun plannedStep(ranked: RankedStep, capacity: PoolCapacity): PlannedStep {
    val workMillis = ranked.waiting.occurrence.steps.sumOf { capacity.millisFor(it) }
    return PlannedStep(ranked, maxOf(1.0, workMillis))
}

/** Time for which the tasks of [state] that have not been started would take up the whole pool. */
private fun PoolCapacity.millisFor(state: StepState): Double =
    partOf(state.reservedSize) * state.unstartedCount * state.step.estimateMillis

/** The jobs that can be done in time with [capacity], and those that are put back. */
private class CostPlan(jobs: List<PlannedStep>, capacity: PoolCapacity, weightOf: WeightOf) {
    private class Candidates(val workspace: WorkspaceId?, val size: SizeClass) {
        val byCost = PriorityQueue<PlannedStep>(compareBy { it.costOfCapacity })
    }

    /** A part of the jobs by their work, of which [total] have been planned and [kept] are still. */
    private class SizeClass {
        var total = 0
        var kept = 0
    }

    private val sizeClasses = List(PROTECTED_SIZES.size + 1) { SizeClass() }
    private val sizeClassOf = HashMap<PlannedStep, SizeClass>()
    private val candidates = HashMap<Pair<WorkspaceId?, SizeClass>, Candidates>()
    private val claimedMillis = HashMap<WorkspaceId, Double>()
    private val weights: Map<WorkspaceId, Double>
    private var startsInMillis = AWAITED_PART_OF_BUSY * capacity.busyMillisByWorkspace.values.sum()
    private val keptSteps = LinkedHashSet<PlannedStep>()

    val kept: List<PlannedStep> get() = keptSteps.toList()
    val putBack = ArrayList<PlannedStep>()

    init {
        capacity.busyMillisByWorkspace.forEach { (workspace, millis) ->
            workspace?.let { claimedMillis[it] = millis }
        }
        val open = jobs.filter { it.isOpen }.sortedByDescending { it.workMillis }
        open.forEachIndexed { index, job ->
            val size = PROTECTED_SIZES.indexOfFirst { index < open.size * it }
            sizeClassOf[job] = if (size < 0) sizeClasses.last() else sizeClasses[size]
        }
        val present = jobs.mapNotNullTo(HashSet(claimedMillis.keys)) { it.workspace }
        weights = present.associateWith { weightOf(it) ?: 1.0 }
    }

    /** Plans [step]; puts back jobs until it starts in time or is put back itself. */
    fun add(step: PlannedStep) {
        keptSteps += step
        if (step.isLongRunning) return
        if (step.isOpen) addCandidate(step)
        claim(step, step.workMillis)
        while (step in keptSteps && step.ranked.slackMillis < startsInMillis) {
            val dropped = cheapest() ?: break
            keptSteps -= dropped
            putBack += dropped
            claim(dropped, -dropped.workMillis)
            if (dropped !== step) startsInMillis -= dropped.workMillis
        }
        if (step in keptSteps) startsInMillis += step.workMillis
    }

    private fun addCandidate(step: PlannedStep) {
        val size = sizeClassOf.getValue(step)
        size.total++
        size.kept++
        candidates.getOrPut(step.workspace to size) { Candidates(step.workspace, size) }.byCost += step
    }

    private fun claim(step: PlannedStep, millis: Double) {
        step.workspace?.let { claimedMillis.merge(it, millis, Double::plus) }
    }

    /** Removes and returns the job that is to be put back next. */
    private fun cheapest(): PlannedStep? {
        val open = candidates.values.filter { it.byCost.isNotEmpty() }
        val beyondShare = open.filter { exceedsShare(it.workspace) }.ifEmpty { open }
        val unprotected = beyondShare.filterNot { isProtected(it.size) }.ifEmpty { beyondShare }
        val chosen = unprotected.minByOrNull { it.byCost.peek().costOfCapacity } ?: return null
        chosen.size.kept--
        return chosen.byCost.poll()
    }

    private fun isProtected(size: SizeClass): Boolean {
        val keptPart = sizeClasses.sumOf { it.kept }.toDouble() / maxOf(1, sizeClasses.sumOf { it.total })
        return size !== sizeClasses.last() && size.kept - 1 < PROTECTED_FRACTION * keptPart * size.total
    }

    private fun exceedsShare(workspace: WorkspaceId?): Boolean {
        if (workspace == null || weights.size < 2) return false
        val share = weights.getValue(workspace) / weights.values.sum()
        return (claimedMillis[workspace] ?: 0.0) > SHARE_TOLERANCE * share * claimedMillis.values.sum()
    }
}
