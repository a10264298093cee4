// Demand of each pool, read from the scheduler's jobs and executors.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.model.PoolId

/** Sum of what runs, waits and stands in a pool. */
private class DemandSum {
    var heldCpuMillis = 0.0
    var backlogCpuMillis = 0.0
    var leastMachines = 0

    fun demand() = PoolDemand(heldCpuMillis, backlogCpuMillis, leastMachines)
}

/** Demand of the pools that [configuration] sends work to. */
public fun demandOf(scheduler: BatchScheduler, configuration: FleetConfiguration): Map<PoolId, PoolDemand> {
    val sums = configuration.workingPools.associateWith { DemandSum() }
    scheduler.executors.values.forEach { executor ->
        sums[executor.record.pool]?.let { it.heldCpuMillis += executor.used.cpuMillis }
    }
    scheduler.activeJobs.forEach { job ->
        val queue = configuration.queue(job.job.queue) ?: return@forEach
        sums[queue.pool]?.let { addJob(it, job) }
    }
    return sums.mapValues { it.value.demand() }
}

private fun addJob(sum: DemandSum, job: JobState) {
    job.occurrences.values.flatMap { it.steps }.forEach { state ->
        if (state.step.longRunning) addStanding(sum, state.step) else addWaiting(sum, state)
    }
}

private fun addStanding(sum: DemandSum, step: Step) {
    if (step.maxPerExecutor == 0) return
    val least = (step.count + step.maxPerExecutor - 1) / step.maxPerExecutor
    sum.leastMachines = maxOf(sum.leastMachines, least)
}

private fun addWaiting(sum: DemandSum, state: StepState) {
    sum.backlogCpuMillis += state.unstartedCount.toDouble() * state.step.size.cpuMillis * state.step.estimateMillis
}
