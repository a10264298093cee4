// Cost of placement decisions: rate, time for each, and memory by worker and by job, over a range of fleet sizes.

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

/** Measures the cost of decisions at [sizes] and prints it with its slopes. */
internal fun measureDecisionCost(report: Report, sizes: List<FleetSize>, decisions: Int) {
    PlacedFleet(sizes.first(), SEED).churn(decisions)
    val costs =
        sizes.map { size ->
            val before = usedBytes()
            val fleet = PlacedFleet(size, SEED)
            val empty = usedBytes()
            fleet.fill()
            val full = usedBytes()
            val cost = fleet.churn(decisions)
            val jobs = fleet.heldJobs
            report.figure("${size.name}: jobs held or waiting", jobs.toDouble(), "jobs")
            report.figure("${size.name}: decisions", cost.perSecond, "per s")
            report.figure("${size.name}: time per decision, mean", cost.meanMicros, "us")
            report.figure("${size.name}: time per decision, p99", cost.p99Micros, "us")
            if (size.workers >= WORKERS_TO_WEIGH) {
                val bytes = (empty - before) / size.workers.toDouble()
                report.figure("${size.name}: memory of workers", bytes, "B per worker")
            }
            report.figure("${size.name}: memory of jobs", (full - empty) / jobs.toDouble(), "B per job")
            MeasuredCost(size.workers, cost.meanMicros, (empty - before).toDouble(), jobs, (full - empty).toDouble())
        }
    if (costs.size < POINTS_FOR_SLOPE) return
    val time = slopeOf(costs.map { Point(it.workers.toDouble(), it.meanMicros) })
    report.figure("slope: time per decision", time * WORKERS_PER_SLOPE, "us per 1000 workers")
    val perWorker = slopeOf(costs.map { Point(it.workers.toDouble(), it.workerBytes) })
    report.figure("slope: memory", perWorker, "B per worker")
    report.figure("slope: memory", slopeOf(costs.map { Point(it.jobs.toDouble(), it.jobBytes) }), "B per job")
}

private const val SEED = 7L

/** Below this, the noise of the heap is greater than what is measured. */
private const val WORKERS_TO_WEIGH = 500
private const val POINTS_FOR_SLOPE = 4
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

/** A fleet's schedulers, full of jobs, with a queue in each pool. */
private class PlacedFleet(private val size: FleetSize, seed: Long) {
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val settings = PlacementSettings()
    private val sizes = JobSizeEstimator(settings)
    private val ledger = TeamUsageTracker()
    private val view = viewOf(size)
    private val pools: List<PoolId> = view.pools.keys.sorted()
    private val schedulers = HashMap<PoolId, PoolScheduler>()
    private val held = HashMap<PoolId, ArrayDeque<JobId>>()
    private var jobs = 0
    private var nowMillis = 0L

    val heldJobs: Int get() = held.values.sumOf { it.size } + schedulers.values.sumOf { it.waitingCount }

    init {
        val members = view.instances.values.groupBy { it.pool }
        for (pool in pools) {
            val workers = members[pool].orEmpty().map { WorkerCapacity(it.id, it.domain, it.capacity, true) }
            schedulers[pool] = PoolScheduler(settings, sizes, ledger).apply { setWorkers(workers, 0) }
            held[pool] = ArrayDeque()
        }
    }

    /** Fills every pool and leaves some jobs waiting. */
    fun fill() {
        for (pool in pools) {
            val scheduler = schedulers.getValue(pool)
            var rounds = 0
            while (scheduler.waitingCount < MIN_WAITING && rounds++ < MAX_FILL_ROUNDS) {
                repeat(FILL_BATCH) { submit(pool) }
                scheduler.place(nowMillis, FILL_BATCH * 2).forEach { held.getValue(pool) += it.job.id }
            }
        }
    }

    /** Ends a job, submits one and places, again and again. */
    fun churn(decisions: Int): DecisionTimes {
        if (heldJobs == 0) fill()
        val histogram = Histogram(1, MAX_NANOS, 3)
        var placed = 0
        var spent = 0L
        while (placed < decisions) {
            val pool = pools[random.nextInt(pools.size)]
            val scheduler = schedulers.getValue(pool)
            val running = held.getValue(pool)
            nowMillis++
            val started = System.nanoTime()
            if (running.isNotEmpty()) scheduler.release(running.removeFirst(), nowMillis)
            submit(pool)
            val chosen = scheduler.place(nowMillis, MAX_PLACED)
            val nanos = System.nanoTime() - started
            spent += nanos
            chosen.forEach { running += it.job.id }
            placed += chosen.size.coerceAtLeast(1)
            histogram.recordValue((nanos / chosen.size.coerceAtLeast(1)).coerceIn(1, MAX_NANOS))
        }
        return DecisionTimes(placed * 1e9 / spent, spent / 1e3 / placed, histogram.getValueAtPercentile(99.0) / 1e3)
    }

    private fun submit(pool: PoolId) {
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
