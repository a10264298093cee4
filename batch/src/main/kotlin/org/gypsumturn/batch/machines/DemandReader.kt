// Computes the demand of each pool from the scheduler's active jobs and executors. The pool sizing decides from it.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.WorkspaceId

/** Adds up the demand of one pool. The backlog is kept by workspace; null stands for jobs without one. */
private class DemandAccumulator {
    var heldCpuMillis = 0.0
    val backlogByWorkspace = HashMap<WorkspaceId?, Double>()
    var leastMachines = 0
}

/**
 * The demand of each pool that runs the jobs of a queue in [configuration]. A workspace counts with no more backlog
 * than its cap lets it work off in [clearMillis], so that no machines are paid for that it must not use.
 */
public fun demandByPool(
    scheduler: BatchScheduler,
    configuration: FleetConfiguration,
    clearMillis: Double,
): Map<PoolId, PoolDemand> {
    val sums = configuration.workingPools.associateWith { DemandAccumulator() }
    scheduler.executors.values.forEach { executor ->
        sums[executor.record.pool]?.let { it.heldCpuMillis += executor.used.cpuMillis }
    }
    scheduler.activeJobs.forEach { job ->
        val queue = configuration.queue(job.job.queue) ?: return@forEach
        sums[queue.pool]?.let { addJob(it, job, clearMillis) }
    }
    val backlogs = HashMap<WorkspaceId?, Double>()
    sums.values.forEach { sum ->
        sum.backlogByWorkspace.forEach { (id, work) -> backlogs.merge(id, work, Double::plus) }
    }
    val usable = backlogs.mapValues { (id, work) -> usablePart(scheduler, id, work / clearMillis) }
    return sums.mapValues { (_, sum) ->
        val backlog = sum.backlogByWorkspace.entries.sumOf { (id, work) -> work * usable.getValue(id) }
        PoolDemand(sum.heldCpuMillis, backlog, sum.leastMachines)
    }
}

/** The part of [neededCpuMillis] that the cap of workspace [id] leaves it. */
private fun usablePart(scheduler: BatchScheduler, id: WorkspaceId?, neededCpuMillis: Double): Double {
    val capCpuMillis = id?.let { scheduler.workspace(it)?.cap?.cpuMillis?.takeIf { cap -> cap > 0 } } ?: return 1.0
    val leftCpuMillis = maxOf(0L, capCpuMillis - scheduler.workspaceUse(id).atMost.cpuMillis)
    return if (neededCpuMillis <= leftCpuMillis) 1.0 else leftCpuMillis / neededCpuMillis
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
