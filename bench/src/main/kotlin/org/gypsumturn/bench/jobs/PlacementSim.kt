// A pool of workers in virtual time on which jobs really use what their truth says, whatever was declared. Drives the
// real scheduler, or first-fit on declared sizes, with the same jobs.

package org.gypsumturn.bench.jobs

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.Priority

/** A job with what it truly does. */
internal class TrueJob(val spec: JobSpec, val arrivalMillis: Long, val uses: Capacity, val runMillis: Long) {
    /** Time by which the job should have ended. A batch job may wait, but must finish. */
    val dueMillis: Long get() = arrivalMillis + LATENESS_FACTOR * runMillis + slackMillis

    private val slackMillis: Long
        get() = if (spec.priority == Priority.BATCH) BATCH_SLACK_MILLIS else NORMAL_SLACK_MILLIS

    private companion object {
        const val LATENESS_FACTOR = 4
        const val NORMAL_SLACK_MILLIS = 120_000L
        const val BATCH_SLACK_MILLIS = 3_600_000L
    }
}

/** How a job is given to a worker and what is learned of it. */
internal interface Placer {
    fun submit(job: TrueJob, nowMillis: Long)

    fun place(nowMillis: Long): List<Pair<JobId, InstanceId>>

    fun observe(job: TrueJob)

    fun finished(job: TrueJob, worker: InstanceId, nowMillis: Long)

    /** The worker ran out of memory and killed the job, which waits again. */
    fun killed(job: TrueJob, worker: InstanceId, nowMillis: Long)
}

/** What a run gave. */
internal data class PlacementOutcome(
    val makespanMillis: Long,
    val meanUtilisation: Double,
    val lateWorkShare: Double,
    val lateJobs: Int,
    val killed: Int,
    val maxWaitMillis: Long,
    val unfinished: Int,
)

/** Runs [jobs] on [workers] with [placer]. */
internal class PlacementSim(
    workers: Map<InstanceId, Capacity>,
    private val jobs: List<TrueJob>,
    private val placer: Placer,
) {
    private class Running(val job: TrueJob, var leftMillis: Double)

    private class Host(val id: InstanceId, val capacity: Capacity) {
        val running = ArrayList<Running>()
    }

    private val hosts = workers.map { (id, capacity) -> Host(id, capacity) }
    private val hostOf = hosts.associateBy { it.id }
    private val byId = jobs.associateBy { it.spec.id }
    private val totalMilli = hosts.sumOf { it.capacity.processorsMilli }
    private val firstStart = HashMap<JobId, Long>()
    private var arrived = 0
    private var done = 0
    private var lateMilliseconds = 0.0
    private var lateJobs = 0
    private var killed = 0
    private var usedMilliseconds = 0.0
    private var nowMillis = 0L

    fun run(limitMillis: Long): PlacementOutcome {
        while (done < jobs.size && nowMillis < limitMillis) step()
        jobs.filter { it.spec.id !in firstStart }.forEach { firstStart[it.spec.id] = nowMillis }
        val work = jobs.sumOf { it.workMilliseconds }
        return PlacementOutcome(
            nowMillis,
            usedMilliseconds / (totalMilli.toDouble() * nowMillis),
            lateMilliseconds / work,
            lateJobs,
            killed,
            jobs.maxOf { firstStart.getValue(it.spec.id) - it.arrivalMillis },
            jobs.size - done,
        )
    }

    private fun step() {
        while (arrived < jobs.size &&
            jobs[arrived].arrivalMillis <= nowMillis
        ) {
            placer.submit(jobs[arrived++], nowMillis)
        }
        placer.place(nowMillis).forEach { (id, worker) -> start(byId.getValue(id), hostOf.getValue(worker)) }
        if (nowMillis % USAGE_LAG_MILLIS ==
            0L
        ) {
            hosts.forEach { host -> host.running.forEach { placer.observe(it.job) } }
        }
        hosts.forEach(::advance)
        nowMillis += STEP_MILLIS
    }

    private fun start(job: TrueJob, host: Host) {
        firstStart.putIfAbsent(job.spec.id, nowMillis)
        host.running += Running(job, job.runMillis.toDouble())
    }

    private fun advance(host: Host) {
        while (host.running.sumOf { it.job.uses.memoryMib } > host.capacity.memoryMib) {
            val last = host.running.removeAt(host.running.size - 1)
            killed++
            placer.killed(last.job, host.id, nowMillis)
        }
        val wanted = host.running.sumOf { it.job.uses.processorsMilli }
        if (wanted == 0L) return
        val speed = minOf(1.0, host.capacity.processorsMilli.toDouble() / wanted)
        usedMilliseconds += wanted * speed * STEP_MILLIS
        host.running.forEach { it.leftMillis -= STEP_MILLIS * speed }
        val ended = host.running.filter { it.leftMillis <= 0 }
        host.running.removeAll(ended.toSet())
        ended.forEach { end(it.job, host) }
    }

    private fun end(job: TrueJob, host: Host) {
        done++
        if (nowMillis > job.dueMillis) {
            lateMilliseconds += job.workMilliseconds
            lateJobs++
        }
        placer.finished(job, host.id, nowMillis)
    }

    private companion object {
        const val STEP_MILLIS = 1_000L
        const val USAGE_LAG_MILLIS = 5_000L
    }
}

/** Processor time of the job, in thousandths of a core times milliseconds. */
internal val TrueJob.workMilliseconds: Double get() = uses.processorsMilli.toDouble() * runMillis

/**
 * Work that no schedule can end in time on [totalMilli], as a share of all: the greatest excess, over all intervals,
 * of what arrives and is due within the interval over what the pool can do in it.
 */
internal fun lateShareBound(jobs: List<TrueJob>, totalMilli: Long): Double {
    val starts = jobs.map { it.arrivalMillis }.distinct().let { all -> all.filterIndexed { i, _ -> i % SAMPLE == 0 } }
    val byDue = jobs.sortedBy { it.dueMillis }
    val excess =
        starts.maxOf { from ->
            var work = 0.0
            var worst = 0.0
            for (job in byDue) {
                if (job.arrivalMillis < from) continue
                work += job.workMilliseconds
                worst = maxOf(worst, work - totalMilli.toDouble() * (job.dueMillis - from))
            }
            worst
        }
    return excess / jobs.sumOf { it.workMilliseconds }
}

private const val SAMPLE = 5
