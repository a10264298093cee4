// Computes the demand of each pool from the scheduler's active jobs and executors. The pool sizing decides from it.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.model.PoolId

/** Adds up the demand of one pool. */
private class DemandAccumulator {
    var heldCpuMillis = 0.0
    var backlogCpuMillis = 0.0
    var leastMachines = 0

    fun demand() = PoolDemand(heldCpuMillis, backlogCpuMillis, leastMachines)
}

/** The demand of each pool that runs the jobs of a queue in [configuration]. */
public fun demandByPool(scheduler: BatchScheduler, configuration: FleetConfiguration): Map<PoolId, PoolDemand> {
    val sums = configuration.workingPools.associateWith { DemandAccumulator() }
    scheduler.executors.values.forEach { executor ->
        sums[executor.record.pool]?.let { it.heldCpuMillis += executor.used.cpuMillis }
    }
    scheduler.activeJobs.forEach { job ->
        val queue = configuration.queue(job.job.queue) ?: return@forEach
        sums[queue.pool]?.let { addJob(it, job) }
    }
    return sums.mapValues { it.value.demand() }
}

private fun addJob(sum: DemandAccumulator, job: JobState) {
    job.occurrences.values.flatMap { it.steps }.forEach { state ->
        if (state.step.longRunning) addLongRunningStep(sum, state.step) else addUnstartedTasks(sum, state)
    }
}

private fun addLongRunningStep(sum: DemandAccumulator, step: Step) {
    if (step.maxPerExecutor == 0) return
    val neededMachines = (step.count + step.maxPerExecutor - 1) / step.maxPerExecutor
    sum.leastMachines = maxOf(sum.leastMachines, neededMachines)
}

private fun addUnstartedTasks(sum: DemandAccumulator, state: StepState) {
    sum.backlogCpuMillis += state.unstartedCount.toDouble() * state.step.size.cpuMillis * state.step.estimateMillis
}
