// Measures which workers and jobs are quarantined, and how many attempts are wasted, when some job classes always fail
// and some workers fail every job.

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

/**
 * Measures the quarantine of workers and jobs with the failure classifier, and without it as the baseline. The bad
 * workers fail every job that starts at [badFromMillis] or later.
 */
internal fun measureFailures(report: Report, size: FleetSize, seconds: Int, seeds: LongRange, badFromMillis: Long) {
    val jobs = seconds * jobsPerSecond(size)
    val classified = seeds.map { FailureRun(size, it, badFromMillis, useClassifier = true).run(jobs) }
    val baseline = seeds.map { FailureRun(size, it, badFromMillis, useClassifier = false).run(jobs) }
    report.remark(
        "${size.name}: $BAD_WORKERS bad workers, $BAD_CLASSES of $CLASSES classes bad, $jobs jobs, seeds $seeds",
    )
    val name = "${size.name}, bad from ${badFromMillis / 1_000} s"
    report.atMost("$name: healthy workers quarantined", classified.sumOf { it.healthyQuarantined }.toDouble(), "", 0.0)
    report.atMost("$name: good jobs quarantined", classified.sumOf { it.goodJobsQuarantined }.toDouble(), "", 0.0)
    report.figure("$name: bad workers found", classified.map { it.badWorkersFound }.average(), "workers")
    report.atMost(
        "$name: bad, given ten good jobs and not found",
        classified.sumOf { it.badWorkersMissed }.toDouble(),
        "workers",
        0.0,
    )
    report.figure(
        "$name: attempts until each was found",
        classified.map { it.attemptsUntilFound }.average(),
        "attempts",
    )
    report.figure(
        "$name: attempts of good jobs on bad workers",
        classified.map { it.goodJobAttemptsOnBad }.average(),
        "attempts",
    )
    report.figure(
        "$name: the same without the failure classifier",
        baseline.map { it.goodJobAttemptsOnBad }.average(),
        "attempts",
    )
    report.figure(
        "$name: attempts by job that never runs",
        classified.map { it.attemptsByBadJob }.average(),
        "attempts",
    )
    report.figure(
        "$name: the same, at most eight tries each",
        baseline.map { it.attemptsByBadJob }.average(),
        "attempts",
    )
}

/** Rate of jobs that keeps about four fifths of the processors busy. */
private fun jobsPerSecond(size: FleetSize): Int =
    (size.workers * size.worker.processorsMilli / MILLICORE_SECONDS_PER_JOB).toInt()

private const val MILLICORE_SECONDS_PER_JOB = 25_000L
private const val BAD_WORKERS = 2
private const val BAD_CLASSES = 2
private const val CLASSES = 12

private class FailureOutcome(
    val healthyQuarantined: Int,
    val goodJobsQuarantined: Int,
    val badWorkersFound: Int,
    val badWorkersMissed: Int,
    val attemptsUntilFound: Double,
    val goodJobAttemptsOnBad: Int,
    val attemptsByBadJob: Double,
)

private class FailureRun(
    private val size: FleetSize,
    seed: Long,
    private val badFromMillis: Long,
    private val useClassifier: Boolean,
) {
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val scheduler = PoolScheduler(PlacementSettings())
    private val workers = viewOf(size).instances.values.map { WorkerCapacity(it.id, it.domain, it.capacity, true) }
    private val badWorkers: Set<InstanceId> = (0 until BAD_WORKERS).map { workerOf(it * 8) }.toSet()
    private val records = HashMap<JobId, JobRecord>()
    private val runningJobs = ArrayDeque<Triple<Long, JobId, InstanceId>>()
    private val everQuarantined = HashSet<InstanceId>()
    private val goodJobAttemptsByBadWorker = HashMap<InstanceId, Int>()
    private val attemptsAtQuarantine = HashMap<InstanceId, Int>()
    private val quarantinedJobs = ArrayList<JobRecord>()
    private val failingJobs = HashSet<JobId>()
    private var attemptsOfBadJobs = 0
    private var badJobs = 0

    fun run(jobs: Int): FailureOutcome {
        scheduler.setWorkers(workers, 0)
        var nowMillis = 0L
        var submitted = 0
        while (submitted < jobs || runningJobs.isNotEmpty() || scheduler.waitingCount > 0) {
            repeat(jobsPerSecond(size)) { if (submitted < jobs) submit(submitted++, nowMillis) }
            scheduler.place(nowMillis, Int.MAX_VALUE).forEach { startJob(it.job, it.worker, nowMillis) }
            val ended = runningJobs.filter { it.first <= nowMillis }
            runningJobs.removeAll(ended.toSet())
            ended.forEach { (_, id, worker) -> endJob(records.getValue(id), worker, nowMillis) }
            nowMillis += 1_000
            if (nowMillis > MAX_RUN_MILLIS) break
        }
        val good = quarantinedJobs.count { !isBadJob(it.spec) }
        return FailureOutcome(
            (everQuarantined - badWorkers).size,
            good,
            (everQuarantined intersect badWorkers).size,
            goodJobAttemptsByBadWorker.count { it.value >= ATTEMPTS_TO_FIND && it.key !in everQuarantined },
            attemptsAtQuarantine.values.average().takeIf { !it.isNaN() } ?: -1.0,
            goodJobAttemptsByBadWorker.values.sum(),
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
        if (isBadJob(spec)) badJobs++
        records[spec.id] = JobRecord(spec, acceptedAtMillis = nowMillis)
        scheduler.enqueue(WaitingJob(spec, nowMillis))
    }

    private fun startJob(spec: JobSpec, worker: InstanceId, nowMillis: Long) {
        val failsAll = worker in badWorkers && nowMillis >= badFromMillis
        if (failsAll && !isBadJob(spec)) goodJobAttemptsByBadWorker.merge(worker, 1, Int::plus)
        if (isBadJob(spec)) attemptsOfBadJobs++
        val fails = failsAll || isBadJob(spec)
        if (failsAll) failingJobs += spec.id
        runningJobs += Triple(nowMillis + if (fails) 1_000 else 5_000 + random.nextLong(30_000), spec.id, worker)
    }

    private fun endJob(record: JobRecord, worker: InstanceId, nowMillis: Long) {
        val spec = record.spec
        val isFailing = failingJobs.remove(spec.id)
        if (!isFailing && !isBadJob(spec) && random.nextInt(100) >= RANDOM_FAILURE_PERCENT) {
            if (useClassifier) scheduler.recordSuccess(spec, worker, Capacity(900, 900), 10_000, nowMillis)
            return scheduler.removeJob(spec.id, nowMillis)
        }
        val failed = record.copy(failures = record.failures + 1, failedOn = (record.failedOn + worker).distinct())
        records[spec.id] = failed
        val verdict =
            if (useClassifier) scheduler.recordFailure(failed, worker, "exit 1", nowMillis) else limitVerdict(failed)
        scheduler.release(spec.id, nowMillis)
        (scheduler.quarantinedWorkers() - everQuarantined).forEach { found ->
            everQuarantined += found
            if (found in badWorkers) attemptsAtQuarantine[found] = goodJobAttemptsByBadWorker[found] ?: 0
        }
        if (verdict != null) quarantinedJobs += failed
        if (verdict != null) return scheduler.removeJob(spec.id, nowMillis)
        val avoid = if (useClassifier) failed.failedOn.toSet() else emptySet()
        scheduler.enqueue(WaitingJob(spec, record.acceptedAtMillis, avoid))
    }

    /** The baseline: quarantines a job after a fixed number of failures. */
    private fun limitVerdict(record: JobRecord): String? =
        "failed often".takeIf { record.failures >= BASELINE_MAX_FAILURES }

    private fun isBadJob(spec: JobSpec): Boolean = spec.jobClass.value.removePrefix("class-").toInt() < BAD_CLASSES

    private companion object {
        const val RANDOM_FAILURE_PERCENT = 2
        const val ATTEMPTS_TO_FIND = 10
        const val BASELINE_MAX_FAILURES = 8
        const val MAX_RUN_MILLIS = 7_200_000L
    }
}
