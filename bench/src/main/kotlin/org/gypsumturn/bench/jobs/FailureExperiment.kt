// Jobs that never run and workers that fail everything, mixed: who is blamed, and what it costs.

package org.gypsumturn.bench.jobs

import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.bench.Report
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import org.gypsumturn.placement.PlacementSettings
import org.gypsumturn.placement.PoolScheduler
import org.gypsumturn.placement.WaitingJob
import org.gypsumturn.placement.WorkerCapacity

/** Measures the verdicts on workers and jobs, with the judge and without. */
internal fun measureFailures(report: Report, size: FleetSize, seconds: Int, seeds: LongRange, badFromMillis: Long) {
    val jobs = seconds * jobsBySecond(size)
    val judged = seeds.map { FailureRun(size, it, badFromMillis, useJudge = true).run(jobs) }
    val plain = seeds.map { FailureRun(size, it, badFromMillis, useJudge = false).run(jobs) }
    report.remark(
        "${size.name}: $BAD_WORKERS bad workers, $BAD_CLASSES of $CLASSES classes bad, $jobs jobs, seeds $seeds",
    )
    val name = "${size.name}, bad from ${badFromMillis / 1_000} s"
    report.atMost("$name: healthy workers quarantined", judged.sumOf { it.healthyQuarantined }.toDouble(), "", 0.0)
    report.atMost("$name: good jobs quarantined", judged.sumOf { it.goodJobsQuarantined }.toDouble(), "", 0.0)
    report.figure("$name: bad workers found", judged.map { it.badFound }.average(), "workers")
    report.atMost(
        "$name: bad, given ten good jobs and not found",
        judged.sumOf {
            it.badMissed
        }.toDouble(),
        "workers",
        0.0,
    )
    report.figure("$name: attempts until each was found", judged.map { it.attemptsUntilFound }.average(), "attempts")
    report.figure("$name: attempts of good jobs on bad workers", judged.map { it.wastedOnBad }.average(), "attempts")
    report.figure("$name: the same without a judge", plain.map { it.wastedOnBad }.average(), "attempts")
    report.figure("$name: attempts by job that never runs", judged.map { it.attemptsByBadJob }.average(), "attempts")
    report.figure("$name: the same, at most eight tries each", plain.map { it.attemptsByBadJob }.average(), "attempts")
}

/** Jobs that keep about four fifths of the processors busy. */
private fun jobsBySecond(size: FleetSize): Int =
    (size.workers * size.worker.processorsMilli / MILLI_BY_JOB_RATE).toInt()

private const val MILLI_BY_JOB_RATE = 25_000L
private const val BAD_WORKERS = 2
private const val BAD_CLASSES = 2
private const val CLASSES = 12

private class FailureOutcome(
    val healthyQuarantined: Int,
    val goodJobsQuarantined: Int,
    val badFound: Int,
    val badMissed: Int,
    val attemptsUntilFound: Double,
    val wastedOnBad: Int,
    val attemptsByBadJob: Double,
)

private class FailureRun(
    private val size: FleetSize,
    seed: Long,
    private val badFromMillis: Long,
    private val useJudge: Boolean,
) {
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val scheduler = PoolScheduler(PlacementSettings())
    private val members = viewOf(size).instances.values.map { WorkerCapacity(it.id, it.domain, it.capacity, true) }
    private val bad: Set<InstanceId> = (0 until BAD_WORKERS).map { workerOf(it * 8) }.toSet()
    private val records = HashMap<JobId, JobRecord>()
    private val running = ArrayDeque<Triple<Long, JobId, InstanceId>>()
    private val everQuarantined = HashSet<InstanceId>()
    private val attemptsOnBad = HashMap<InstanceId, Int>()
    private val attemptsWhenFound = HashMap<InstanceId, Int>()
    private val quarantinedJobs = ArrayList<JobRecord>()
    private val doomed = HashSet<JobId>()
    private var attemptsOfBadJobs = 0
    private var badJobs = 0

    fun run(jobs: Int): FailureOutcome {
        scheduler.setWorkers(members, 0)
        var nowMillis = 0L
        var submitted = 0
        while (submitted < jobs || running.isNotEmpty() || scheduler.waitingCount > 0) {
            repeat(jobsBySecond(size)) { if (submitted < jobs) submit(submitted++, nowMillis) }
            scheduler.place(nowMillis, Int.MAX_VALUE).forEach { begin(it.job, it.worker, nowMillis) }
            val ended = running.filter { it.first <= nowMillis }
            running.removeAll(ended.toSet())
            ended.forEach { (_, id, worker) -> end(records.getValue(id), worker, nowMillis) }
            nowMillis += 1_000
            if (nowMillis > LIMIT_MILLIS) break
        }
        val good = quarantinedJobs.count { !isBad(it.spec) }
        return FailureOutcome(
            (everQuarantined - bad).size,
            good,
            (everQuarantined intersect bad).size,
            attemptsOnBad.count { it.value >= TRIES_TO_FIND && it.key !in everQuarantined },
            attemptsWhenFound.values.average().takeIf { !it.isNaN() } ?: -1.0,
            attemptsOnBad.values.sum(),
            attemptsOfBadJobs.toDouble() / badJobs.coerceAtLeast(1),
        )
    }

    private fun submit(number: Int, nowMillis: Long) {
        val spec =
            JobSpec(
                JobId("job-$number"),
                poolOf(0),
                TeamId("team-0"),
                JobClassId("class-${random.nextInt(CLASSES)}"),
                Priority.NORMAL,
                Capacity(1_000, 1_024),
                declaredMillis = 20_000,
                idempotent = true,
            )
        if (isBad(spec)) badJobs++
        records[spec.id] = JobRecord(spec, acceptedAtMillis = nowMillis)
        scheduler.enqueue(WaitingJob(spec, nowMillis))
    }

    private fun begin(spec: JobSpec, worker: InstanceId, nowMillis: Long) {
        val failsAll = worker in bad && nowMillis >= badFromMillis
        if (failsAll && !isBad(spec)) attemptsOnBad.merge(worker, 1, Int::plus)
        if (isBad(spec)) attemptsOfBadJobs++
        val fails = failsAll || isBad(spec)
        if (failsAll) doomed += spec.id
        running += Triple(nowMillis + if (fails) 1_000 else 5_000 + random.nextLong(30_000), spec.id, worker)
    }

    private fun end(record: JobRecord, worker: InstanceId, nowMillis: Long) {
        val spec = record.spec
        val isDoomed = doomed.remove(spec.id)
        if (!isDoomed && !isBad(spec) && random.nextInt(100) >= FLAKY_PERCENT) {
            if (useJudge) scheduler.recordSuccess(spec, worker, Capacity(900, 900), 10_000, nowMillis)
            return scheduler.forget(spec.id, nowMillis)
        }
        val failed = record.copy(failures = record.failures + 1, failedOn = (record.failedOn + worker).distinct())
        records[spec.id] = failed
        val verdict =
            if (useJudge) scheduler.recordFailure(failed, worker, "exit 1", nowMillis) else plainVerdict(failed)
        scheduler.release(spec.id, nowMillis)
        (scheduler.quarantinedWorkers() - everQuarantined).forEach { found ->
            everQuarantined += found
            if (found in bad) attemptsWhenFound[found] = attemptsOnBad[found] ?: 0
        }
        if (verdict != null) quarantinedJobs += failed
        if (verdict != null) return scheduler.forget(spec.id, nowMillis)
        val avoid = if (useJudge) failed.failedOn.toSet() else emptySet()
        scheduler.enqueue(WaitingJob(spec, record.acceptedAtMillis, avoid))
    }

    private fun plainVerdict(record: JobRecord): String? = "failed often".takeIf { record.failures >= PLAIN_TRIES }

    private fun isBad(spec: JobSpec): Boolean = spec.jobClass.value.removePrefix("class-").toInt() < BAD_CLASSES

    private companion object {
        const val FLAKY_PERCENT = 2
        const val TRIES_TO_FIND = 10
        const val PLAIN_TRIES = 8
        const val LIMIT_MILLIS = 7_200_000L
    }
}
