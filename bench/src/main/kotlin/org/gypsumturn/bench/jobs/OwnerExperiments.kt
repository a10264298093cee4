// What owners cost the table and how fast they act: writes by job, takeover, urgent starts, waves of cancellations and
// a long outage of the table.

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

/** Table calls at a steady rate of jobs, against one commit for each change of a job. */
internal fun measureTableCost(report: Report, size: FleetSize, nodes: Int, jobsPerSecond: Int, seconds: Int) {
    val world = OwnerWorld(size, nodes, { _, _ -> TaskScript(20_000, Capacity(800, 700), output = "ok") })
    world.run(5_000)
    val idleBefore = world.table.counts()
    world.run(10_000)
    val idle = world.table.counts() - idleBefore
    val before = world.table.counts()
    var accepted = 0
    world.run(seconds * 1_000L) {
        val count = (jobsPerSecond * OwnerWorld.STEP_MILLIS / 1_000).toInt()
        val specs = List(count) { world.spec("job-${accepted++}", poolOf(accepted % size.pools)) }
        specs.chunked((count / nodes).coerceAtLeast(1)).forEach { world.accept(it) }
    }
    val used = world.table.counts() - before
    val name = "${size.name}, $nodes nodes, ${size.pools} pools, $jobsPerSecond jobs/s"
    report.figure("$name: commits while idle", idle.commits / 10.0, "per s")
    report.figure("$name: reads while idle", idle.reads / 10.0, "per s")
    report.atMost("$name: commits", used.commits.toDouble() / seconds, "per s", WRITES_BOUND_PER_SECOND)
    report.atMost("$name: reads", used.reads.toDouble() / seconds, "per s", READS_BOUND_PER_SECOND)
    report.figure("$name: rows written", used.rowsWritten.toDouble() / seconds, "per s")
    report.figure("$name: commits by job", used.commits.toDouble() / accepted, "per job")
    report.figure("$name: rows written by job", used.rowsWritten.toDouble() / accepted, "per job")
    report.figure("$name: baseline, a commit for each change", UNGROUPED_COMMITS * jobsPerSecond, "per s")
}

private const val UNGROUPED_COMMITS = 3.0

/** Time until all pools of a process that died have an owner which has loaded them, and what that costs. */
internal fun measureTakeover(report: Report, size: FleetSize, nodes: Int): Double {
    val world = OwnerWorld(size, nodes, { _, _ -> TaskScript(600_000, Capacity(800, 700)) })
    world.accept(List(size.pools * JOBS_BY_POOL) { world.spec("job-$it", poolOf(it % size.pools)) })
    world.run(20_000)
    val (victim, owned) = world.owners.mapValues { it.value.ownedPools().size }.maxByOrNull { it.value } ?: return 0.0
    world.owners.remove(victim)
    val before = world.table.counts()
    val started = world.nowMillis
    var millis = -1L
    world.run(10_000) {
        val covered = world.owners.values.sumOf { it.ownedPools().size }
        if (millis < 0 && covered == size.pools) millis = world.nowMillis - started
    }
    val used = world.table.counts() - before
    val name = "takeover, $nodes nodes, ${size.pools} pools"
    report.figure("$name: pools of the lost process", owned.toDouble(), "pools")
    report.atMost("$name: time until all have an owner", millis.toDouble(), "ms", URGENT_BOUND_MILLIS)
    report.atLeast("$name: time measured", millis.toDouble(), "ms", 0.0)
    report.figure("$name: commits", used.commits.toDouble(), "")
    report.figure("$name: rows read", used.rowsRead.toDouble(), "")
    return used.commits.toDouble()
}

private const val JOBS_BY_POOL = 20

/** Time from acceptance to start of urgent jobs in a pool that jobs of priority [filler] fill. */
internal fun measureUrgentStart(report: Report, size: FleetSize, urgentJobs: Int, milliEach: Long, filler: Priority) {
    val script = TaskScript(3_600_000, Capacity(900, 900))
    val urgentScript = TaskScript(5_000, Capacity(900, 900), output = "ok")
    val world =
        OwnerWorld(size, 3, { _, task -> if (task.key.job.value.startsWith("urgent")) urgentScript else script })
    val pool = poolOf(0)
    val perWorker = size.worker.processorsMilli / 1_000 + 2
    val filling = (size.workers * perWorker).toInt()
    world.accept(List(filling) { world.spec("filling-$it", pool, filler, Capacity(1_000, 1_024)) })
    world.run(120_000)
    val acceptedAt = HashMap<JobId, Long>()
    val gaps = gapsOf(urgentJobs)
    var next = 0
    var nextAt = world.nowMillis
    world.run(gaps.sum() + 30_000) {
        while (next < urgentJobs && nextAt <= world.nowMillis) {
            val spec = world.spec("urgent-$next", pool, Priority.URGENT, Capacity(milliEach, 1_024))
            world.accept(listOf(spec))
            acceptedAt[spec.id] = nextAt
            nextAt += gaps[next++]
        }
    }
    val histogram = Histogram(1, 3_600_000, 3)
    val started = world.workers.runs.filter { it.key.job in acceptedAt }.groupBy { it.key.job }
    started.forEach { (id, runs) ->
        histogram.recordValue((runs.first().startedAtMillis - acceptedAt.getValue(id)).coerceAtLeast(1))
    }
    val name = "${size.name}, full of $filler, urgent of $milliEach millicores"
    report.figure("$name: jobs in the way", filling.toDouble(), "jobs")
    report.figure("$name: jobs taken off", world.workers.runs.count { it.resumed }.toDouble(), "jobs")
    report.atLeast("$name: urgent started", started.size.toDouble(), "jobs", urgentJobs.toDouble())
    report.figure("$name: urgent start p50", histogram.getValueAtPercentile(50.0).toDouble(), "ms")
    report.atMost("$name: urgent start p99", histogram.getValueAtPercentile(99.0).toDouble(), "ms", URGENT_BOUND_MILLIS)
    report.atMost("$name: urgent start max", histogram.maxValue.toDouble(), "ms", URGENT_BOUND_MILLIS)
}

/** Some jobs come sixteen at once; gaps do not fall in step with the owners' rounds. */
private fun gapsOf(count: Int): List<Long> = List(count) { if (it % 64 in 1..15) 0L else 337L + it % 7 * 91 }

/** A wave of cancellations while work goes on. */
internal fun measureCancellation(report: Report, size: FleetSize, jobs: Int) {
    val world = OwnerWorld(size, 3, { _, _ -> TaskScript(600_000, Capacity(900, 900), output = "ok") })
    val pool = poolOf(0)
    world.run(1_000)
    world.accept(List(jobs) { world.spec("wave-$it", pool).copy(team = WAVE_TEAM) })
    world.run(20_000)
    val runsBefore = world.workers.runs.size
    val before = world.table.counts()
    val answer = world.acceptance.cancel(world.nowMillis, CancelSelection.OfTeam(pool, WAVE_TEAM), 1_000).valueOrNull()
    val cancelCost = world.table.counts() - before
    val urgentAt = world.nowMillis
    world.accept(listOf(world.spec("urgent", pool, Priority.URGENT)))
    var emptyAt = -1L
    world.run(60_000) {
        val open = world.owners.values.sumOf { it.counts().openJobs }
        if (emptyAt < 0 && open <= 1) emptyAt = world.nowMillis - urgentAt
    }
    val urgent = world.workers.runs.firstOrNull { it.key.job == JobId("urgent") }
    val startedInWave = world.workers.runs.drop(runsBefore).count { it.key.job != JobId("urgent") }
    val name = "${size.name}, $jobs cancelled"
    report.figure("$name: ended at once", answer?.cancelled?.toDouble() ?: -1.0, "jobs")
    report.figure("$name: running, to be stopped", answer?.requested?.toDouble() ?: -1.0, "jobs")
    report.figure("$name: commits of the call", cancelCost.commits.toDouble(), "")
    report.atMost("$name: jobs started by it", startedInWave.toDouble(), "jobs", 0.0)
    report.atLeast("$name: time until all had ended", emptyAt.toDouble(), "ms", 0.0)
    val urgentMillis = (urgent?.startedAtMillis ?: Long.MAX_VALUE) - urgentAt
    report.atMost("$name: urgent start meanwhile", urgentMillis.toDouble(), "ms", URGENT_BOUND_MILLIS)
}

private val WAVE_TEAM = TeamId("wave")

/** The table is down for half an hour while work goes on. */
internal fun measureOutage(report: Report, size: FleetSize, nodes: Int, jobs: Int) {
    val usage = Capacity(900, 900)
    val world = OwnerWorld(size, nodes, { _, task -> TaskScript(runMillisOf(task.key.job), usage, output = "ok") })
    val specs = List(jobs) { world.spec("job-$it", poolOf(it % size.pools)).copy(idempotent = it % 2 == 0) }
    world.run(1_000)
    world.accept(specs)
    world.run(30_000)
    val startedBefore = world.workers.runs.size
    world.isTableDown = true
    val duringBefore = world.table.counts()
    var notRun = 0
    var offered = 0
    var pending = 0
    world.run(OUTAGE_MILLIS) {
        if (world.nowMillis % 60_000 == 0L) {
            val verdict = world.accept(listOf(world.spec("refused-${offered++}", poolOf(0)))).single()
            if (verdict is Verdict.NotRun) notRun++
        }
        pending = maxOf(pending, world.owners.values.sumOf { it.counts().pendingWrites })
    }
    val during = world.table.counts() - duringBefore
    val startedDuring = world.workers.runs.size - startedBefore
    world.isTableDown = false
    val peak = busiestSecond(world, RECOVERY_MILLIS)
    val counts = OutageCounts(offered, notRun, pending, peak, startedDuring, during)
    report(report, "${size.name}, table down 30 min", world, specs, counts)
}

private const val OUTAGE_MILLIS = 1_800_000L
private const val RECOVERY_MILLIS = 600_000L

private class OutageCounts(
    val offered: Int,
    val notRun: Int,
    val pending: Int,
    val peak: Long,
    val startedDuring: Int,
    val during: TableCounts,
)

private fun busiestSecond(world: OwnerWorld, millis: Long): Long {
    var busiest = 0L
    repeat((millis / 1_000).toInt()) {
        val before = world.table.counts().commits
        world.run(1_000)
        busiest = maxOf(busiest, world.table.counts().commits - before)
    }
    return busiest
}

private fun runMillisOf(job: JobId): Long = 60_000L + Math.floorMod(job.hashCode(), 40) * 60_000L

private fun report(report: Report, name: String, world: OwnerWorld, specs: List<JobSpec>, counts: OutageCounts) {
    val records = specs.associate { it.id to world.acceptance.get(it.pool, it.id, 1_000).valueOrNull() }
    val runs = world.workers.runs.groupBy { it.key.job }
    val lost = specs.count { records[it.id]?.state?.isFinal != true }
    val doubled = specs.count { !it.idempotent && runs[it.id].orEmpty().size > 1 }
    val unsure = records.values.count { it?.state == JobState.MAY_HAVE_RUN }
    report.figure("$name: jobs", specs.size.toDouble(), "jobs")
    report.atMost("$name: lost", lost.toDouble(), "jobs", 0.0)
    report.atMost("$name: doubled", doubled.toDouble(), "jobs", 0.0)
    report.figure("$name: ended as may have run", unsure.toDouble(), "jobs")
    report.figure("$name: ends kept in memory, most", counts.pending.toDouble(), "jobs")
    report.atMost("$name: acceptances not told as not run", (counts.offered - counts.notRun).toDouble(), "", 0.0)
    report.figure("$name: started during the outage", counts.startedDuring.toDouble(), "jobs")
    report.figure(
        "$name: tries of the table meanwhile",
        (counts.during.commits + counts.during.reads) / 1_800.0,
        "per s",
    )
    report.atMost(
        "$name: commits in the busiest second after",
        counts.peak.toDouble(),
        "per s",
        WRITES_BOUND_PER_SECOND,
    )
}
