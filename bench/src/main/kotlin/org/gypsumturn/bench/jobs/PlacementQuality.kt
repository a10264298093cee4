// Utilisation and late work on untrue sizes: the scheduler against first-fit on declared sizes and an offline bound.

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

/** Compares the ways to place [jobCount] jobs on one deployment. */
internal fun measurePlacementQuality(report: Report, size: FleetSize, jobCount: Int, seeds: LongRange) {
    val view = viewOf(size)
    val members = view.instances.values.sortedBy { it.id }
    val workers = members.associate { it.id to it.capacity }
    val totalMilli = workers.values.sumOf { it.processorsMilli }
    val results =
        seeds.map { seed ->
            val jobs = JobTrace(size, seed).jobs(jobCount)
            val slots = members.map { WorkerCapacity(it.id, it.domain, it.capacity, accepting = true) }
            QualityResult(
                PlacementSim(workers, jobs, SchedulerPlacer(slots)).run(LIMIT_MILLIS),
                PlacementSim(workers, jobs, FirstFitPlacer(workers)).run(LIMIT_MILLIS),
                boundOf(jobs, totalMilli),
                lateShareBound(jobs, totalMilli),
            )
        }
    report.remark("${size.name}: $jobCount jobs, seeds $seeds, declared sizes off by a factor of about 0.3 to 8")
    print(report, "${size.name}, scheduler", results.map { it.scheduler })
    print(report, "${size.name}, first-fit on declared", results.map { it.firstFit })
    report.figure("${size.name}, offline bound: last end", results.map { it.boundMillis / 1e3 }.average(), "s")
    report.figure("${size.name}, offline bound: late work", results.map { it.lateBound * 100 }.average(), "%")
    report.atMost(
        "${size.name}, scheduler: unfinished jobs",
        results.sumOf {
            it.scheduler.unfinished
        }.toDouble(),
        "",
        0.0,
    )
}

private const val LIMIT_MILLIS = 48 * 3_600_000L

private class QualityResult(
    val scheduler: PlacementOutcome,
    val firstFit: PlacementOutcome,
    val boundMillis: Double,
    val lateBound: Double,
)

private fun print(report: Report, name: String, outcomes: List<PlacementOutcome>) {
    report.figure("$name: last end", outcomes.map { it.makespanMillis / 1e3 }.average(), "s")
    report.figure("$name: utilisation until then", outcomes.map { it.meanUtilisation * 100 }.average(), "%")
    report.figure("$name: late work", outcomes.map { it.lateWorkShare * 100 }.average(), "%")
    report.figure("$name: late jobs", outcomes.map { it.lateJobs.toDouble() }.average(), "jobs")
    report.figure("$name: killed for want of memory", outcomes.map { it.killed.toDouble() }.average(), "attempts")
    report.figure("$name: longest wait for a start", outcomes.maxOf { it.maxWaitMillis } / 1e3, "s")
}

/** No schedule ends all jobs before the fluid work is done, nor before the longest job that arrives last. */
private fun boundOf(jobs: List<TrueJob>, totalMilli: Long): Double {
    val byArrival = jobs.sortedBy { it.arrivalMillis }
    var left = jobs.sumOf { it.workMilliseconds }
    var bound = 0.0
    for (job in byArrival) {
        bound = maxOf(bound, job.arrivalMillis + left / totalMilli, (job.arrivalMillis + job.runMillis).toDouble())
        left -= job.workMilliseconds
    }
    return ceil(bound)
}

/** Jobs of several classes whose truth differs from what is declared, by class and by job. */
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

    /** Arrivals at about the pool's capacity on average, in swells of five times the mean. */
    fun jobs(count: Int): List<TrueJob> {
        var nowMillis = 0.0
        val meanGapMillis = meanWork() / (size.workers * size.worker.processorsMilli * LOAD)
        return List(count) { number ->
            val swell = if ((nowMillis / SWELL_MILLIS).toLong() % 5 == 0L) 5.0 else 0.25
            nowMillis += -ln(1 - random.nextDouble()) * meanGapMillis / swell
            job(number, nowMillis.toLong())
        }
    }

    private fun meanWork(): Double = classes.map {
        it.declaredMilli * it.processorFactor * it.runMillis * it.runFactor
    }.average()

    private fun job(number: Int, arrivalMillis: Long): TrueJob {
        val kind = classes[random.nextInt(CLASSES)]
        val spec =
            JobSpec(
                JobId("job-$number"),
                poolOf(0),
                TeamId("team-${random.nextInt(size.teams)}"),
                JobClassId("class-${kind.number}"),
                kind.priority,
                Capacity(kind.declaredMilli, kind.declaredMib),
                kind.runMillis,
                idempotent = true,
            )
        val uses =
            Capacity(
                (kind.declaredMilli * kind.processorFactor * logNormal(0.0, 0.2)).toLong()
                    .coerceIn(20, size.worker.processorsMilli),
                (kind.declaredMib * kind.memoryFactor * logNormal(0.0, 0.15)).toLong()
                    .coerceIn(16, size.worker.memoryMib / 2),
            )
        return TrueJob(spec, arrivalMillis, uses, (kind.runMillis * kind.runFactor * logNormal(0.0, 0.3)).toLong())
    }

    private fun logNormal(mean: Double, deviation: Double): Double {
        val normal = sqrt(-2 * ln(1 - random.nextDouble())) * cos(2 * Math.PI * random.nextDouble())
        return exp(mean + deviation * normal)
    }

    private companion object {
        const val CLASSES = 12
        const val LOAD = 0.75
        const val SWELL_MILLIS = 600_000L
    }
}

private class SchedulerPlacer(workers: List<WorkerCapacity>) : Placer {
    private val scheduler = PoolScheduler(PlacementSettings()).apply { setWorkers(workers, 0) }

    override fun submit(job: TrueJob, nowMillis: Long) {
        scheduler.enqueue(WaitingJob(job.spec, job.arrivalMillis))
    }

    override fun place(nowMillis: Long): List<Pair<JobId, InstanceId>> =
        scheduler.place(nowMillis, Int.MAX_VALUE).map { it.job.id to it.worker }

    override fun observe(job: TrueJob) {
        scheduler.recordUsage(job.spec.id, job.uses)
    }

    override fun finished(job: TrueJob, worker: InstanceId, nowMillis: Long) {
        scheduler.recordSuccess(job.spec, worker, job.uses, job.runMillis, nowMillis)
        scheduler.forget(job.spec.id, nowMillis)
    }

    override fun killed(job: TrueJob, worker: InstanceId, nowMillis: Long) {
        scheduler.release(job.spec.id, nowMillis)
        scheduler.enqueue(WaitingJob(job.spec, job.arrivalMillis, observedUsage = job.uses))
    }
}

/**
 * The baseline: the first worker, in a fixed order, whose declared room is enough; jobs by priority, then in the order
 * of arrival.
 */
private class FirstFitPlacer(workers: Map<InstanceId, Capacity>) : Placer {
    private val free = LinkedHashMap(workers)
    private val waiting = TreeMap<String, TrueJob>()

    override fun submit(job: TrueJob, nowMillis: Long) {
        val arrival = job.arrivalMillis.toString().padStart(ARRIVAL_DIGITS, '0')
        waiting["${job.spec.priority.ordinal}/$arrival/${job.spec.id}"] = job
    }

    override fun place(nowMillis: Long): List<Pair<JobId, InstanceId>> {
        val placed = mutableListOf<Pair<JobId, InstanceId>>()
        val iterator = waiting.values.iterator()
        while (iterator.hasNext()) {
            val job = iterator.next()
            val worker = free.entries.firstOrNull { job.spec.declared.fitsIn(it.value) } ?: continue
            worker.setValue(worker.value - job.spec.declared)
            placed += job.spec.id to worker.key
            iterator.remove()
        }
        return placed
    }

    override fun observe(job: TrueJob) = Unit

    override fun finished(job: TrueJob, worker: InstanceId, nowMillis: Long) {
        free.computeIfPresent(worker) { _, room -> room + job.spec.declared }
    }

    override fun killed(job: TrueJob, worker: InstanceId, nowMillis: Long) {
        finished(job, worker, nowMillis)
        submit(job, nowMillis)
    }

    private companion object {
        const val ARRIVAL_DIGITS = 15
    }
}
