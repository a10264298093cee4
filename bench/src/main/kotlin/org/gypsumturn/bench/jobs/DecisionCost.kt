// Measures the cost of placement decisions over a range of fleet sizes: the decision rate, the time for each decision,
// and the heap for each worker and each job.

package org.gypsumturn.bench.jobs

import org.HdrHistogram.Histogram
import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.bench.Point
import org.gypsumturn.bench.Report
import org.gypsumturn.bench.slopeOf
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import org.gypsumturn.placement.JobSizeEstimator
import org.gypsumturn.placement.PlacementSettings
import org.gypsumturn.placement.PoolScheduler
import org.gypsumturn.placement.TeamUsageTracker
import org.gypsumturn.placement.WaitingJob
import org.gypsumturn.placement.WorkerCapacity

/** Measures the cost of placement decisions at [sizes] and reports it, with its slopes if there are enough sizes. */
internal fun measureDecisionCost(report: Report, sizes: List<FleetSize>, decisions: Int) {
    SaturatedFleet(sizes.first(), SEED).replaceJobs(decisions)
    val costs =
        sizes.map { size ->
            val bytesBefore = usedBytes()
            val fleet = SaturatedFleet(size, SEED)
            val bytesWithWorkers = usedBytes()
            fleet.fill()
            val bytesWithJobs = usedBytes()
            val cost = fleet.replaceJobs(decisions)
            val jobs = fleet.openJobCount
            report.figure("${size.name}: jobs held or waiting", jobs.toDouble(), "jobs")
            report.figure("${size.name}: decisions", cost.perSecond, "per s")
            report.figure("${size.name}: time per decision, mean", cost.meanMicros, "us")
            report.figure("${size.name}: time per decision, p99", cost.p99Micros, "us")
            if (size.workers >= MIN_WORKERS_FOR_MEMORY) {
                val bytes = (bytesWithWorkers - bytesBefore) / size.workers.toDouble()
                report.figure("${size.name}: memory of workers", bytes, "B per worker")
            }
            report.figure(
                "${size.name}: memory of jobs",
                (bytesWithJobs - bytesWithWorkers) / jobs.toDouble(),
                "B per job",
            )
            MeasuredCost(
                size.workers,
                cost.meanMicros,
                (bytesWithWorkers - bytesBefore).toDouble(),
                jobs,
                (bytesWithJobs - bytesWithWorkers).toDouble(),
            )
        }
    if (costs.size < MIN_POINTS_FOR_SLOPE) return
    val time = slopeOf(costs.map { Point(it.workers.toDouble(), it.meanMicros) })
    report.figure("slope: time per decision", time * WORKERS_PER_SLOPE, "us per 1000 workers")
    val perWorker = slopeOf(costs.map { Point(it.workers.toDouble(), it.workerBytes) })
    report.figure("slope: memory", perWorker, "B per worker")
    report.figure("slope: memory", slopeOf(costs.map { Point(it.jobs.toDouble(), it.jobBytes) }), "B per job")
}

private const val SEED = 7L

/** In smaller fleets, heap noise exceeds the memory of the workers. */
private const val MIN_WORKERS_FOR_MEMORY = 500
private const val MIN_POINTS_FOR_SLOPE = 4
private const val WORKERS_PER_SLOPE = 1_000

private class MeasuredCost(
    val workers: Int,
    val meanMicros: Double,
    val workerBytes: Double,
    val jobs: Int,
    val jobBytes: Double,
)

private class DecisionTimes(val perSecond: Double, val meanMicros: Double, val p99Micros: Double)

private fun usedBytes(): Long {
    repeat(3) {
        System.gc()
        Thread.sleep(30)
    }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}

/** The pool schedulers of a fleet whose workers are full, with waiting jobs in each pool. */
private class SaturatedFleet(private val size: FleetSize, seed: Long) {
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val settings = PlacementSettings()
    private val sizeEstimator = JobSizeEstimator(settings)
    private val teamUsage = TeamUsageTracker()
    private val view = viewOf(size)
    private val pools: List<PoolId> = view.pools.keys.sorted()
    private val schedulers = HashMap<PoolId, PoolScheduler>()
    private val runningJobs = HashMap<PoolId, ArrayDeque<JobId>>()
    private var jobs = 0
    private var nowMillis = 0L

    val openJobCount: Int get() = runningJobs.values.sumOf { it.size } + schedulers.values.sumOf { it.waitingCount }

    init {
        val instancesByPool = view.instances.values.groupBy { it.pool }
        for (pool in pools) {
            val workers = instancesByPool[pool].orEmpty().map { WorkerCapacity(it.id, it.domain, it.capacity, true) }
            schedulers[pool] = PoolScheduler(settings, sizeEstimator, teamUsage).apply { setWorkers(workers, 0) }
            runningJobs[pool] = ArrayDeque()
        }
    }

    /** Places jobs until at least [MIN_WAITING] jobs wait in each pool, or until [MAX_FILL_ROUNDS] rounds have run. */
    fun fill() {
        for (pool in pools) {
            val scheduler = schedulers.getValue(pool)
            var rounds = 0
            while (scheduler.waitingCount < MIN_WAITING && rounds++ < MAX_FILL_ROUNDS) {
                repeat(FILL_BATCH) { enqueueJob(pool) }
                scheduler.place(nowMillis, FILL_BATCH * 2).forEach { runningJobs.getValue(pool) += it.job.id }
            }
        }
    }

    /** Ends a job, enqueues another and places waiting jobs, until [decisions] placements are measured. */
    fun replaceJobs(decisions: Int): DecisionTimes {
        if (openJobCount == 0) fill()
        val histogram = Histogram(1, MAX_NANOS, 3)
        var placed = 0
        var totalNanos = 0L
        while (placed < decisions) {
            val pool = pools[random.nextInt(pools.size)]
            val scheduler = schedulers.getValue(pool)
            val runningInPool = runningJobs.getValue(pool)
            nowMillis++
            val startNanos = System.nanoTime()
            if (runningInPool.isNotEmpty()) scheduler.release(runningInPool.removeFirst(), nowMillis)
            enqueueJob(pool)
            val placements = scheduler.place(nowMillis, MAX_PLACED)
            val nanos = System.nanoTime() - startNanos
            totalNanos += nanos
            placements.forEach { runningInPool += it.job.id }
            placed += placements.size.coerceAtLeast(1)
            histogram.recordValue((nanos / placements.size.coerceAtLeast(1)).coerceIn(1, MAX_NANOS))
        }
        return DecisionTimes(
            placed * 1e9 / totalNanos,
            totalNanos / 1e3 / placed,
            histogram.getValueAtPercentile(99.0) / 1e3,
        )
    }

    private fun enqueueJob(pool: PoolId) {
        val spec =
            JobSpec(
                JobId("job-${jobs++}"),
                pool,
                TeamId("team-${random.nextInt(size.teams)}"),
                JobClassId("class-${random.nextInt(CLASSES)}"),
                if (random.nextInt(10) < 7) Priority.NORMAL else Priority.BATCH,
                Capacity(500L + random.nextInt(4) * 1_000L, 512L + random.nextInt(4) * 1_024L),
                declaredMillis = 60_000,
                idempotent = true,
            )
        schedulers.getValue(pool).enqueue(WaitingJob(spec, nowMillis))
    }

    private companion object {
        const val CLASSES = 20
        const val MIN_WAITING = 20
        const val FILL_BATCH = 50
        const val MAX_FILL_ROUNDS = 4_000
        const val MAX_PLACED = 50
        const val MAX_NANOS = 10_000_000_000L
    }
}
