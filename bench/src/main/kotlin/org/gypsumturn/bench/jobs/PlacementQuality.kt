// Compares the utilisation and the late work of the scheduler with first-fit placement and with an offline bound, for
// jobs whose declared sizes are wrong.

package org.gypsumturn.bench.jobs

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.bench.Report
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import org.gypsumturn.placement.PlacementSettings
import org.gypsumturn.placement.PoolScheduler
import org.gypsumturn.placement.WaitingJob
import org.gypsumturn.placement.WorkerCapacity
import java.util.TreeMap
import kotlin.math.ceil
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** Compares the placement policies for [jobCount] jobs on one deployment. */
internal fun measurePlacementQuality(report: Report, size: FleetSize, jobCount: Int, seeds: LongRange) {
    val view = viewOf(size)
    val instances = view.instances.values.sortedBy { it.id }
    val workers = instances.associate { it.id to it.capacity }
    val totalMilli = workers.values.sumOf { it.processorsMilli }
    val results =
        seeds.map { seed ->
            val jobs = JobTrace(size, seed).jobs(jobCount)
            val workerCapacities = instances.map { WorkerCapacity(it.id, it.domain, it.capacity, accepting = true) }
            QualityResult(
                PlacementSimulation(workers, jobs, SchedulerPolicy(workerCapacities)).run(LIMIT_MILLIS),
                PlacementSimulation(workers, jobs, FirstFitPolicy(workers)).run(LIMIT_MILLIS),
                minMakespanMillis(jobs, totalMilli),
                minLateWorkShare(jobs, totalMilli),
            )
        }
    report.remark("${size.name}: $jobCount jobs, seeds $seeds, declared sizes off by a factor of about 0.3 to 8")
    reportOutcomes(report, "${size.name}, scheduler", results.map { it.scheduler })
    reportOutcomes(report, "${size.name}, first-fit on declared", results.map { it.firstFit })
    report.figure("${size.name}, offline bound: last end", results.map { it.boundMillis / 1e3 }.average(), "s")
    report.figure("${size.name}, offline bound: late work", results.map { it.lateWorkShareBound * 100 }.average(), "%")
    report.atMost(
        "${size.name}, scheduler: unfinished jobs",
        results.sumOf { it.scheduler.unfinished }.toDouble(),
        "",
        0.0,
    )
}

private const val LIMIT_MILLIS = 48 * 3_600_000L

private class QualityResult(
    val scheduler: PlacementOutcome,
    val firstFit: PlacementOutcome,
    val boundMillis: Double,
    val lateWorkShareBound: Double,
)

private fun reportOutcomes(report: Report, name: String, outcomes: List<PlacementOutcome>) {
    report.figure("$name: last end", outcomes.map { it.makespanMillis / 1e3 }.average(), "s")
    report.figure("$name: utilisation until then", outcomes.map { it.meanUtilisation * 100 }.average(), "%")
    report.figure("$name: late work", outcomes.map { it.lateWorkShare * 100 }.average(), "%")
    report.figure("$name: late jobs", outcomes.map { it.lateJobs.toDouble() }.average(), "jobs")
    report.figure("$name: killed for want of memory", outcomes.map { it.killed.toDouble() }.average(), "attempts")
    report.figure("$name: longest wait for a start", outcomes.maxOf { it.maxWaitMillis } / 1e3, "s")
}

/**
 * Lower bound of the end of the last job, in milliseconds. After each arrival, the work that is left needs at least the
 * time that it takes at full use of all processors, and each job needs its own run time.
 */
private fun minMakespanMillis(jobs: List<SimulatedJob>, totalMilli: Long): Double {
    val byArrival = jobs.sortedBy { it.arrivalMillis }
    var left = jobs.sumOf { it.workMillicoreMillis }
    var bound = 0.0
    for (job in byArrival) {
        bound = maxOf(bound, job.arrivalMillis + left / totalMilli, (job.arrivalMillis + job.runMillis).toDouble())
        left -= job.workMillicoreMillis
    }
    return ceil(bound)
}

/**
 * Generates jobs of several classes. Their real usage and run times differ from the declared ones, by factors that are
 * drawn for each class and again for each job.
 */
internal class JobTrace(private val size: FleetSize, seed: Long) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val classes = List(CLASSES) { JobClass(it) }

    private inner class JobClass(val number: Int) {
        val declaredMilli = (1L + random.nextInt(6)) * size.worker.processorsMilli / 32
        val declaredMib = (1L + random.nextInt(6)) * size.worker.memoryMib / 64
        val processorFactor = logNormal(-0.7, 0.7)
        val memoryFactor = logNormal(-0.7, 0.5)
        val runFactor = logNormal(-0.3, 0.7)
        val runMillis = 30_000L + random.nextInt(8) * 60_000L
        val priority = if (number % 3 == 0) Priority.BATCH else Priority.NORMAL
    }

    /**
     * Generates [count] jobs, which need about the capacity of the pool on average. In one period of five the arrival
     * rate is five times the mean, in the others a quarter of it.
     */
    fun jobs(count: Int): List<SimulatedJob> {
        var nowMillis = 0.0
        val meanGapMillis = meanWorkMillicoreMillis() / (size.workers * size.worker.processorsMilli * LOAD)
        return List(count) { number ->
            val rateFactor = if ((nowMillis / RATE_PERIOD_MILLIS).toLong() % 5 == 0L) 5.0 else 0.25
            nowMillis += -ln(1 - random.nextDouble()) * meanGapMillis / rateFactor
            job(number, nowMillis.toLong())
        }
    }

    private fun meanWorkMillicoreMillis(): Double = classes.map {
        it.declaredMilli * it.processorFactor * it.runMillis * it.runFactor
    }.average()

    private fun job(number: Int, arrivalMillis: Long): SimulatedJob {
        val jobClass = classes[random.nextInt(CLASSES)]
        val spec =
            JobSpec(
                JobId("job-$number"),
                poolOf(0),
                TeamId("team-${random.nextInt(size.teams)}"),
                JobClassId("class-${jobClass.number}"),
                jobClass.priority,
                Capacity(jobClass.declaredMilli, jobClass.declaredMib),
                jobClass.runMillis,
                idempotent = true,
            )
        val actualUsage =
            Capacity(
                (jobClass.declaredMilli * jobClass.processorFactor * logNormal(0.0, 0.2)).toLong()
                    .coerceIn(20, size.worker.processorsMilli),
                (jobClass.declaredMib * jobClass.memoryFactor * logNormal(0.0, 0.15)).toLong()
                    .coerceIn(16, size.worker.memoryMib / 2),
            )
        return SimulatedJob(
            spec,
            arrivalMillis,
            actualUsage,
            (jobClass.runMillis * jobClass.runFactor * logNormal(0.0, 0.3)).toLong(),
        )
    }

    private fun logNormal(mean: Double, deviation: Double): Double {
        val normal = sqrt(-2 * ln(1 - random.nextDouble())) * cos(2 * Math.PI * random.nextDouble())
        return exp(mean + deviation * normal)
    }

    private companion object {
        const val CLASSES = 12
        const val LOAD = 0.75
        const val RATE_PERIOD_MILLIS = 600_000L
    }
}

private class SchedulerPolicy(workers: List<WorkerCapacity>) : PlacementPolicy {
    private val scheduler = PoolScheduler(PlacementSettings()).apply { setWorkers(workers, 0) }

    override fun submit(job: SimulatedJob, nowMillis: Long) {
        scheduler.enqueue(WaitingJob(job.spec, job.arrivalMillis))
    }

    override fun place(nowMillis: Long): List<Pair<JobId, InstanceId>> =
        scheduler.place(nowMillis, Int.MAX_VALUE).map { it.job.id to it.worker }

    override fun onUsageObserved(job: SimulatedJob) {
        scheduler.recordUsage(job.spec.id, job.actualUsage)
    }

    override fun onFinished(job: SimulatedJob, worker: InstanceId, nowMillis: Long) {
        scheduler.recordSuccess(job.spec, worker, job.actualUsage, job.runMillis, nowMillis)
        scheduler.removeJob(job.spec.id, nowMillis)
    }

    override fun onKilled(job: SimulatedJob, worker: InstanceId, nowMillis: Long) {
        scheduler.release(job.spec.id, nowMillis)
        scheduler.enqueue(WaitingJob(job.spec, job.arrivalMillis, observedUsage = job.actualUsage))
    }
}

/**
 * The baseline: takes jobs by priority, then by arrival, and places each on the first worker, in a fixed order, whose
 * free capacity by declared sizes is enough.
 */
private class FirstFitPolicy(workers: Map<InstanceId, Capacity>) : PlacementPolicy {
    private val freeByWorker = LinkedHashMap(workers)
    private val waiting = TreeMap<String, SimulatedJob>()

    override fun submit(job: SimulatedJob, nowMillis: Long) {
        val arrival = job.arrivalMillis.toString().padStart(ARRIVAL_DIGITS, '0')
        waiting["${job.spec.priority.ordinal}/$arrival/${job.spec.id}"] = job
    }

    override fun place(nowMillis: Long): List<Pair<JobId, InstanceId>> {
        val placed = mutableListOf<Pair<JobId, InstanceId>>()
        val iterator = waiting.values.iterator()
        while (iterator.hasNext()) {
            val job = iterator.next()
            val worker = freeByWorker.entries.firstOrNull { job.spec.declared.fitsIn(it.value) } ?: continue
            worker.setValue(worker.value - job.spec.declared)
            placed += job.spec.id to worker.key
            iterator.remove()
        }
        return placed
    }

    override fun onUsageObserved(job: SimulatedJob) = Unit

    override fun onFinished(job: SimulatedJob, worker: InstanceId, nowMillis: Long) {
        freeByWorker.computeIfPresent(worker) { _, free -> free + job.spec.declared }
    }

    override fun onKilled(job: SimulatedJob, worker: InstanceId, nowMillis: Long) {
        onFinished(job, worker, nowMillis)
        submit(job, nowMillis)
    }

    private companion object {
        const val ARRIVAL_DIGITS = 15
    }
}
