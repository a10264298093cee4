// Computes the demand of each pool from the scheduler's active jobs and executors. The pool sizing decides from it.
// Work that arrives counts at once by its rate: a pool that is sized by its backlog alone follows a steep rise by the
// time that a move takes.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.WorkspaceId

/** Adds up the demand of one pool. What waits or arrives is kept by workspace; null stands for jobs without one. */
private class DemandAccumulator {
    var heldCpuMillis = 0.0
    var finiteCpuMillis = 0.0
    val backlogByWorkspace = HashMap<WorkspaceId?, Double>()
    val arrivingByWorkspace = HashMap<WorkspaceId?, Double>()
    var leastMachines = 0
}

/** Time over which the rate of arriving work is measured. */
private const val ARRIVAL_WINDOW_MILLIS = 1_000L

/**
 * The demand of each pool that runs the jobs of a queue in [configuration]. A workspace counts with no more than its
 * cap lets it work off in [clearMillis], so that no machines are paid for that it must not use.
 */
public fun demandByPool(
    nowMillis: Long,
    scheduler: BatchScheduler,
    configuration: FleetConfiguration,
    clearMillis: Double,
): Map<PoolId, PoolDemand> {
    val sums = configuration.workingPools.associateWith { DemandAccumulator() }
    scheduler.executors.values.forEach { executor ->
        val sum = sums[executor.record.pool] ?: return@forEach
        sum.heldCpuMillis += executor.used.cpuMillis
        sum.finiteCpuMillis += executor.runs.values.filterNot { it.task.step.step.longRunning }
            .sumOf { it.reservedSize.cpuMillis }
    }
    scheduler.activeJobs.forEach { job ->
        val sum = configuration.queue(job.job.queue)?.let { sums[it.pool] } ?: return@forEach
        addJob(sum, job, clearMillis)
        val isNew = job.firstAttempt == 1L && nowMillis - job.acceptedMillis < ARRIVAL_WINDOW_MILLIS
        if (isNew) sum.arrivingByWorkspace.merge(job.job.workspace, workOf(job) / ARRIVAL_WINDOW_MILLIS, Double::plus)
    }
    val waiting = HashMap<WorkspaceId?, Double>()
    sums.values.forEach { sum ->
        sum.backlogByWorkspace.forEach { (id, work) -> waiting.merge(id, work / clearMillis, Double::plus) }
    }
    val usable = waiting.mapValues { (id, neededCpuMillis) -> usablePart(scheduler, id, neededCpuMillis) }
    return sums.mapValues { (_, sum) ->
        val backlog = sum.backlogByWorkspace.entries.sumOf { (id, work) -> work * usable.getValue(id) }
        val arriving =
            sum.arrivingByWorkspace.entries.sumOf { (id, cpuMillis) -> minOf(cpuMillis, capOf(scheduler, id)) }
        PoolDemand(sum.heldCpuMillis, sum.finiteCpuMillis, arriving, backlog, sum.leastMachines)
    }
}

/** Work of the finite steps of [job], in thousandths of a core times milliseconds. */
private fun workOf(job: JobState): Double = job.job.steps.filterNot { it.longRunning }
    .sumOf { it.count.toDouble() * it.reservedSize.cpuMillis * it.estimateMillis }

/** Processors that the cap of workspace [id] allows, in thousandths of a core. */
private fun capOf(scheduler: BatchScheduler, id: WorkspaceId?): Double =
    id?.let { scheduler.workspace(it)?.cap?.cpuMillis }?.takeIf { it > 0 }?.toDouble() ?: Double.MAX_VALUE

/** The part of [neededCpuMillis] that the cap of workspace [id] leaves it. */
private fun usablePart(scheduler: BatchScheduler, id: WorkspaceId?, neededCpuMillis: Double): Double {
    if (id == null || neededCpuMillis <= 0) return 1.0
    val leftCpuMillis = capOf(scheduler, id) - scheduler.workspaceUse(id).atMost.cpuMillis
    return (leftCpuMillis / neededCpuMillis).coerceIn(0.0, 1.0)
}

private fun addJob(sum: DemandAccumulator, job: JobState, clearMillis: Double) {
    job.occurrences.values.forEach { occurrence ->
        occurrence.steps.forEach { state ->
            when {
                state.step.longRunning -> addLongRunningStep(sum, state.step)

                // A step that waits for others gets the capacity that these release.
                occurrence.isReady(state) -> addUnstartedTasks(sum, state, clearMillis)
            }
        }
    }
}

private fun addLongRunningStep(sum: DemandAccumulator, step: Step) {
    if (step.maxPerExecutor == 0) return
    val neededMachines = (step.count + step.maxPerExecutor - 1) / step.maxPerExecutor
    sum.leastMachines = maxOf(sum.leastMachines, neededMachines)
}

/**
 * Adds the tasks of [state] that have not been started. A task that takes longer than [clearMillis] counts with that
 * time: with more capacity than all tasks take up at once, none of them would end earlier.
 */
private fun addUnstartedTasks(sum: DemandAccumulator, state: StepState, clearMillis: Double) {
    val taskMillis = minOf(state.step.estimateMillis.toDouble(), clearMillis)
    val work = state.unstartedCount * state.step.size.cpuMillis * taskMillis
    sum.backlogByWorkspace.merge(state.job.job.workspace, work, Double::plus)
}
