// Measures the load that job owners put on the table and how fast they act: writes for each job, takeover of pools,
// start of urgent jobs, cancellation of many jobs, and a long outage of the table.

package org.gypsumturn.bench.jobs

import org.HdrHistogram.Histogram
import org.gypsumturn.bench.Report
import org.gypsumturn.jobs.CancelSelection
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.JobState
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.isFinal
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.fake.TaskScript

private const val URGENT_BOUND_MILLIS = 2_400.0
private const val WRITES_BOUND_PER_SECOND = 300.0
private const val READS_BOUND_PER_SECOND = 2_000.0

/** Measures table calls at a steady rate of jobs. The baseline is one commit for each change of a job. */
internal fun measureTableCost(report: Report, size: FleetSize, nodes: Int, jobsPerSecond: Int, seconds: Int) {
    val simulation = JobOwnerSimulation(size, nodes, { _, _ -> TaskScript(20_000, Capacity(800, 700), output = "ok") })
    simulation.run(5_000)
    val idleBefore = simulation.table.counts()
    simulation.run(10_000)
    val idle = simulation.table.counts() - idleBefore
    val before = simulation.table.counts()
    var accepted = 0
    simulation.run(seconds * 1_000L) {
        val count = (jobsPerSecond * JobOwnerSimulation.STEP_MILLIS / 1_000).toInt()
        val specs = List(count) { simulation.jobSpec("job-${accepted++}", poolOf(accepted % size.pools)) }
        specs.chunked((count / nodes).coerceAtLeast(1)).forEach { simulation.accept(it) }
    }
    val usage = simulation.table.counts() - before
    val name = "${size.name}, $nodes nodes, ${size.pools} pools, $jobsPerSecond jobs/s"
    report.figure("$name: commits while idle", idle.commits / 10.0, "per s")
    report.figure("$name: reads while idle", idle.reads / 10.0, "per s")
    report.atMost("$name: commits", usage.commits.toDouble() / seconds, "per s", WRITES_BOUND_PER_SECOND)
    report.atMost("$name: reads", usage.reads.toDouble() / seconds, "per s", READS_BOUND_PER_SECOND)
    report.figure("$name: rows written", usage.rowsWritten.toDouble() / seconds, "per s")
    report.figure("$name: commits by job", usage.commits.toDouble() / accepted, "per job")
    report.figure("$name: rows written by job", usage.rowsWritten.toDouble() / accepted, "per job")
    report.figure("$name: baseline, a commit for each change", UNGROUPED_COMMITS * jobsPerSecond, "per s")
}

/** Changes of a job, which are one commit each without grouping. */
private const val UNGROUPED_COMMITS = 3.0

/**
 * Measures the time until all pools of a process that died have an owner that has loaded them, and the table calls that
 * this takes. Returns the number of commits.
 */
internal fun measureTakeover(report: Report, size: FleetSize, nodes: Int): Double {
    val simulation = JobOwnerSimulation(size, nodes, { _, _ -> TaskScript(600_000, Capacity(800, 700)) })
    simulation.accept(List(size.pools * JOBS_BY_POOL) { simulation.jobSpec("job-$it", poolOf(it % size.pools)) })
    simulation.run(20_000)
    val (victim, owned) =
        simulation.owners.mapValues { it.value.ownedPools().size }.maxByOrNull { it.value } ?: return 0.0
    simulation.owners.remove(victim)
    val before = simulation.table.counts()
    val started = simulation.nowMillis
    var takeoverMillis = -1L
    simulation.run(10_000) {
        val covered = simulation.owners.values.sumOf { it.ownedPools().size }
        if (takeoverMillis < 0 && covered == size.pools) takeoverMillis = simulation.nowMillis - started
    }
    val usage = simulation.table.counts() - before
    val name = "takeover, $nodes nodes, ${size.pools} pools"
    report.figure("$name: pools of the lost process", owned.toDouble(), "pools")
    report.atMost("$name: time until all have an owner", takeoverMillis.toDouble(), "ms", URGENT_BOUND_MILLIS)
    report.atLeast("$name: time measured", takeoverMillis.toDouble(), "ms", 0.0)
    report.figure("$name: commits", usage.commits.toDouble(), "")
    report.figure("$name: rows read", usage.rowsRead.toDouble(), "")
    return usage.commits.toDouble()
}

private const val JOBS_BY_POOL = 20

/** Measures the time from acceptance to start of urgent jobs in a pool that is full of jobs of priority [filler]. */
internal fun measureUrgentStart(report: Report, size: FleetSize, urgentJobs: Int, milliEach: Long, filler: Priority) {
    val script = TaskScript(3_600_000, Capacity(900, 900))
    val urgentScript = TaskScript(5_000, Capacity(900, 900), output = "ok")
    val simulation =
        JobOwnerSimulation(
            size,
            3,
            { _, task -> if (task.key.job.value.startsWith("urgent")) urgentScript else script },
        )
    val pool = poolOf(0)
    val perWorker = size.worker.processorsMilli / 1_000 + 2
    val fillerJobCount = (size.workers * perWorker).toInt()
    simulation.accept(List(fillerJobCount) { simulation.jobSpec("filling-$it", pool, filler, Capacity(1_000, 1_024)) })
    simulation.run(120_000)
    val acceptedAtMillis = HashMap<JobId, Long>()
    val gapsMillis = arrivalGapsMillis(urgentJobs)
    var nextUrgent = 0
    var nextAtMillis = simulation.nowMillis
    simulation.run(gapsMillis.sum() + 30_000) {
        while (nextUrgent < urgentJobs && nextAtMillis <= simulation.nowMillis) {
            val spec = simulation.jobSpec("urgent-$nextUrgent", pool, Priority.URGENT, Capacity(milliEach, 1_024))
            simulation.accept(listOf(spec))
            acceptedAtMillis[spec.id] = nextAtMillis
            nextAtMillis += gapsMillis[nextUrgent++]
        }
    }
    val histogram = Histogram(1, 3_600_000, 3)
    val started = simulation.workers.runs.filter { it.key.job in acceptedAtMillis }.groupBy { it.key.job }
    started.forEach { (id, runs) ->
        histogram.recordValue((runs.first().startedAtMillis - acceptedAtMillis.getValue(id)).coerceAtLeast(1))
    }
    val name = "${size.name}, full of $filler, urgent of $milliEach millicores"
    report.figure("$name: jobs in the way", fillerJobCount.toDouble(), "jobs")
    report.figure("$name: jobs taken off", simulation.workers.runs.count { it.resumed }.toDouble(), "jobs")
    report.atLeast("$name: urgent started", started.size.toDouble(), "jobs", urgentJobs.toDouble())
    report.figure("$name: urgent start p50", histogram.getValueAtPercentile(50.0).toDouble(), "ms")
    report.atMost("$name: urgent start p99", histogram.getValueAtPercentile(99.0).toDouble(), "ms", URGENT_BOUND_MILLIS)
    report.atMost("$name: urgent start max", histogram.maxValue.toDouble(), "ms", URGENT_BOUND_MILLIS)
}

/** Arrival gaps with some bursts of sixteen jobs. The other gaps are not in phase with the steps of the owners. */
private fun arrivalGapsMillis(count: Int): List<Long> = List(count) { if (it % 64 in 1..15) 0L else 337L + it % 7 * 91 }

/** Measures the cancellation of [jobs] jobs at once, and the start of an urgent job meanwhile. */
internal fun measureCancellation(report: Report, size: FleetSize, jobs: Int) {
    val simulation = JobOwnerSimulation(size, 3, { _, _ -> TaskScript(600_000, Capacity(900, 900), output = "ok") })
    val pool = poolOf(0)
    simulation.run(1_000)
    simulation.accept(List(jobs) { simulation.jobSpec("wave-$it", pool).copy(team = WAVE_TEAM) })
    simulation.run(20_000)
    val runsBefore = simulation.workers.runs.size
    val before = simulation.table.counts()
    val answer =
        simulation.acceptance
            .cancel(simulation.nowMillis, CancelSelection.OfTeam(pool, WAVE_TEAM), 1_000)
            .valueOrNull()
    val cancelCost = simulation.table.counts() - before
    val urgentAtMillis = simulation.nowMillis
    simulation.accept(listOf(simulation.jobSpec("urgent", pool, Priority.URGENT)))
    var allEndedAfterMillis = -1L
    simulation.run(60_000) {
        val open = simulation.owners.values.sumOf { it.counts().openJobs }
        if (allEndedAfterMillis < 0 && open <= 1) allEndedAfterMillis = simulation.nowMillis - urgentAtMillis
    }
    val urgent = simulation.workers.runs.firstOrNull { it.key.job == JobId("urgent") }
    val startedInWave = simulation.workers.runs.drop(runsBefore).count { it.key.job != JobId("urgent") }
    val name = "${size.name}, $jobs cancelled"
    report.figure("$name: ended at once", answer?.cancelled?.toDouble() ?: -1.0, "jobs")
    report.figure("$name: running, to be stopped", answer?.requested?.toDouble() ?: -1.0, "jobs")
    report.figure("$name: commits of the call", cancelCost.commits.toDouble(), "")
    report.atMost("$name: jobs started by it", startedInWave.toDouble(), "jobs", 0.0)
    report.atLeast("$name: time until all had ended", allEndedAfterMillis.toDouble(), "ms", 0.0)
    val urgentMillis = (urgent?.startedAtMillis ?: Long.MAX_VALUE) - urgentAtMillis
    report.atMost("$name: urgent start meanwhile", urgentMillis.toDouble(), "ms", URGENT_BOUND_MILLIS)
}

private val WAVE_TEAM = TeamId("wave")

/** Measures an outage of the table for half an hour while jobs run. */
internal fun measureOutage(report: Report, size: FleetSize, nodes: Int, jobs: Int) {
    val usage = Capacity(900, 900)
    val simulation =
        JobOwnerSimulation(size, nodes, { _, task -> TaskScript(runMillisOf(task.key.job), usage, output = "ok") })
    val specs = List(jobs) { simulation.jobSpec("job-$it", poolOf(it % size.pools)).copy(idempotent = it % 2 == 0) }
    simulation.run(1_000)
    simulation.accept(specs)
    simulation.run(30_000)
    val startedBefore = simulation.workers.runs.size
    simulation.isTableDown = true
    val duringBefore = simulation.table.counts()
    var notRun = 0
    var offered = 0
    var maxPendingWrites = 0
    simulation.run(OUTAGE_MILLIS) {
        if (simulation.nowMillis % 60_000 == 0L) {
            val verdict = simulation.accept(listOf(simulation.jobSpec("refused-${offered++}", poolOf(0)))).single()
            if (verdict is Verdict.NotRun) notRun++
        }
        maxPendingWrites = maxOf(maxPendingWrites, simulation.owners.values.sumOf { it.counts().pendingWrites })
    }
    val during = simulation.table.counts() - duringBefore
    val startedDuring = simulation.workers.runs.size - startedBefore
    simulation.isTableDown = false
    val peakCommits = busiestSecond(simulation, RECOVERY_MILLIS)
    val counts = OutageCounts(offered, notRun, maxPendingWrites, peakCommits, startedDuring, during)
    reportOutage(report, "${size.name}, table down 30 min", simulation, specs, counts)
}

private const val OUTAGE_MILLIS = 1_800_000L
private const val RECOVERY_MILLIS = 600_000L

private class OutageCounts(
    val offered: Int,
    val notRun: Int,
    val maxPendingWrites: Int,
    val peakCommits: Long,
    val startedDuring: Int,
    val during: TableCallCounts,
)

private fun busiestSecond(simulation: JobOwnerSimulation, millis: Long): Long {
    var busiest = 0L
    repeat((millis / 1_000).toInt()) {
        val before = simulation.table.counts().commits
        simulation.run(1_000)
        busiest = maxOf(busiest, simulation.table.counts().commits - before)
    }
    return busiest
}

private fun runMillisOf(job: JobId): Long = 60_000L + Math.floorMod(job.hashCode(), 40) * 60_000L

private fun reportOutage(
    report: Report,
    name: String,
    simulation: JobOwnerSimulation,
    specs: List<JobSpec>,
    counts: OutageCounts,
) {
    val records = specs.associate { it.id to simulation.acceptance.get(it.pool, it.id, 1_000).valueOrNull() }
    val runs = simulation.workers.runs.groupBy { it.key.job }
    val lost = specs.count { records[it.id]?.state?.isFinal != true }
    val doubled = specs.count { !it.idempotent && runs[it.id].orEmpty().size > 1 }
    val mayHaveRun = records.values.count { it?.state == JobState.MAY_HAVE_RUN }
    report.figure("$name: jobs", specs.size.toDouble(), "jobs")
    report.atMost("$name: lost", lost.toDouble(), "jobs", 0.0)
    report.atMost("$name: doubled", doubled.toDouble(), "jobs", 0.0)
    report.figure("$name: ended as may have run", mayHaveRun.toDouble(), "jobs")
    report.figure("$name: ends kept in memory, most", counts.maxPendingWrites.toDouble(), "jobs")
    report.atMost("$name: acceptances not told as not run", (counts.offered - counts.notRun).toDouble(), "", 0.0)
    report.figure("$name: started during the outage", counts.startedDuring.toDouble(), "jobs")
    report.figure(
        "$name: tries of the table meanwhile",
        (counts.during.commits + counts.during.reads) / 1_800.0,
        "per s",
    )
    report.atMost(
        "$name: commits in the busiest second after",
        counts.peakCommits.toDouble(),
        "per s",
        WRITES_BOUND_PER_SECOND,
    )
}
