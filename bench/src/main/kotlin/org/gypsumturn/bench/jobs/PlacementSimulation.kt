// Simulates a pool of workers in virtual time on which jobs use their real sizes, whatever was declared. The same jobs
// can be placed by the real scheduler or by first-fit on declared sizes.

package org.gypsumturn.bench.jobs

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.Priority

/**
 * A job with its real behaviour.
 *
 * @property actualUsage what the job really uses
 * @property runMillis how long it runs if it gets all processors that it uses
 */
internal class SimulatedJob(
    val spec: JobSpec,
    val arrivalMillis: Long,
    val actualUsage: Capacity,
    val runMillis: Long,
) {
    /** Time after which the end of the job counts as late. Batch jobs get a longer allowance, as they may wait. */
    val dueMillis: Long get() = arrivalMillis + LATENESS_FACTOR * runMillis + slackMillis

    private val slackMillis: Long
        get() = if (spec.priority == Priority.BATCH) BATCH_SLACK_MILLIS else NORMAL_SLACK_MILLIS

    private companion object {
        const val LATENESS_FACTOR = 4
        const val NORMAL_SLACK_MILLIS = 120_000L
        const val BATCH_SLACK_MILLIS = 3_600_000L
    }
}

/** Places jobs on workers, and receives what becomes known of the jobs. */
internal interface PlacementPolicy {
    fun submit(job: SimulatedJob, nowMillis: Long)

    fun place(nowMillis: Long): List<Pair<JobId, InstanceId>>

    fun onUsageObserved(job: SimulatedJob)

    fun onFinished(job: SimulatedJob, worker: InstanceId, nowMillis: Long)

    /** The worker ran out of memory and killed [job], which must be placed again. */
    fun onKilled(job: SimulatedJob, worker: InstanceId, nowMillis: Long)
}

/** The results of a run. */
internal data class PlacementOutcome(
    val makespanMillis: Long,
    val meanUtilisation: Double,
    val lateWorkShare: Double,
    val lateJobs: Int,
    val killed: Int,
    val maxWaitMillis: Long,
    val unfinished: Int,
)

/** Runs [jobs] on [workers], placed by [policy]. [jobs] must be in the order of their arrival. */
internal class PlacementSimulation(
    workers: Map<InstanceId, Capacity>,
    private val jobs: List<SimulatedJob>,
    private val policy: PlacementPolicy,
) {
    private class Running(val job: SimulatedJob, var remainingMillis: Double)

    private class WorkerState(val id: InstanceId, val capacity: Capacity) {
        val running = ArrayList<Running>()
    }

    private val workerStates = workers.map { (id, capacity) -> WorkerState(id, capacity) }
    private val workerStateById = workerStates.associateBy { it.id }
    private val jobById = jobs.associateBy { it.spec.id }
    private val totalMilli = workerStates.sumOf { it.capacity.processorsMilli }
    private val firstStartMillis = HashMap<JobId, Long>()
    private var arrivedCount = 0
    private var finishedCount = 0
    private var lateMillicoreMillis = 0.0
    private var lateJobs = 0
    private var killedCount = 0
    private var usedMillicoreMillis = 0.0
    private var nowMillis = 0L

    fun run(limitMillis: Long): PlacementOutcome {
        while (finishedCount < jobs.size && nowMillis < limitMillis) step()
        jobs.filter { it.spec.id !in firstStartMillis }.forEach { firstStartMillis[it.spec.id] = nowMillis }
        val work = jobs.sumOf { it.workMillicoreMillis }
        return PlacementOutcome(
            nowMillis,
            usedMillicoreMillis / (totalMilli.toDouble() * nowMillis),
            lateMillicoreMillis / work,
            lateJobs,
            killedCount,
            jobs.maxOf { firstStartMillis.getValue(it.spec.id) - it.arrivalMillis },
            jobs.size - finishedCount,
        )
    }

    private fun step() {
        while (arrivedCount < jobs.size && jobs[arrivedCount].arrivalMillis <= nowMillis) {
            policy.submit(jobs[arrivedCount++], nowMillis)
        }
        policy.place(nowMillis).forEach { (id, worker) ->
            start(jobById.getValue(id), workerStateById.getValue(worker))
        }
        if (nowMillis % USAGE_REPORT_INTERVAL_MILLIS == 0L) {
            workerStates.forEach { worker -> worker.running.forEach { policy.onUsageObserved(it.job) } }
        }
        workerStates.forEach(::advance)
        nowMillis += STEP_MILLIS
    }

    private fun start(job: SimulatedJob, worker: WorkerState) {
        firstStartMillis.putIfAbsent(job.spec.id, nowMillis)
        worker.running += Running(job, job.runMillis.toDouble())
    }

    private fun advance(worker: WorkerState) {
        while (worker.running.sumOf { it.job.actualUsage.memoryMib } > worker.capacity.memoryMib) {
            val last = worker.running.removeAt(worker.running.size - 1)
            killedCount++
            policy.onKilled(last.job, worker.id, nowMillis)
        }
        val wantedMilli = worker.running.sumOf { it.job.actualUsage.processorsMilli }
        if (wantedMilli == 0L) return
        val speed = minOf(1.0, worker.capacity.processorsMilli.toDouble() / wantedMilli)
        usedMillicoreMillis += wantedMilli * speed * STEP_MILLIS
        worker.running.forEach { it.remainingMillis -= STEP_MILLIS * speed }
        val ended = worker.running.filter { it.remainingMillis <= 0 }
        worker.running.removeAll(ended.toSet())
        ended.forEach { end(it.job, worker) }
    }

    private fun end(job: SimulatedJob, worker: WorkerState) {
        finishedCount++
        if (nowMillis > job.dueMillis) {
            lateMillicoreMillis += job.workMillicoreMillis
            lateJobs++
        }
        policy.onFinished(job, worker.id, nowMillis)
    }

    private companion object {
        const val STEP_MILLIS = 1_000L
        const val USAGE_REPORT_INTERVAL_MILLIS = 5_000L
    }
}

/** Processor time of the job, in millicores times milliseconds. */
internal val SimulatedJob.workMillicoreMillis: Double get() = actualUsage.processorsMilli.toDouble() * runMillis

/**
 * Lower bound of the share of work that ends late on [totalMilli] millicores, whatever the schedule. It is the greatest
 * excess, over intervals that start at an arrival, of the work that arrives and is due within the interval over the
 * work that the pool can do in it.
 */
internal fun minLateWorkShare(jobs: List<SimulatedJob>, totalMilli: Long): Double {
    val starts =
        jobs.map { it.arrivalMillis }.distinct()
            .let { all -> all.filterIndexed { i, _ -> i % START_SAMPLE_INTERVAL == 0 } }
    val byDue = jobs.sortedBy { it.dueMillis }
    val excess =
        starts.maxOf { from ->
            var work = 0.0
            var worst = 0.0
            for (job in byDue) {
                if (job.arrivalMillis < from) continue
                work += job.workMillicoreMillis
                worst = maxOf(worst, work - totalMilli.toDouble() * (job.dueMillis - from))
            }
            worst
        }
    return excess / jobs.sumOf { it.workMillicoreMillis }
}

/** One in this many arrival times is taken as the start of an interval. */
private const val START_SAMPLE_INTERVAL = 5
