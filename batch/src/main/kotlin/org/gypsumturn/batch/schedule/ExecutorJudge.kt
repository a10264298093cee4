// Tells executors that fail, stand still or are slow by their own record. An executor is passed over for a while, the
// longer the more jobs it has failed in a row; one that has just ended work well is not blamed for a single failure.
// No more than a part of a pool is passed over at once, so that a fault that hits all executors alike empties no
// pool.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId

/** What an executor has done lately. */
internal class ExecutorRecordOfWork {
    /** Jobs that failed since the last run that ended well. */
    val failedJobs = LinkedHashSet<JobId>()
    var lastDoneMillis = Long.MIN_VALUE / 2

    /** The executor's clock when a run that took no longer than usual was listed as done. */
    var lastUsualClockMillis = Long.MIN_VALUE
}

/** Judges executors for the holder of the lease. */
internal class ExecutorJudge(private val book: ExecutorBook, private val log: DecisionLog) {
    private val records = HashMap<ExecutorState, ExecutorRecordOfWork>()

    /** A [run] on [executor] has ended well, as a report made at [clockMillis] lists. */
    fun done(nowMillis: Long, clockMillis: Long, executor: ExecutorState, run: Run?) {
        val record = recordOf(executor)
        record.failedJobs.clear()
        record.lastDoneMillis = nowMillis
        val begun = run?.begunClockMillis ?: return
        if (clockMillis - begun <= expectedMillis(run) * LEAST_SLOWNESS) record.lastUsualClockMillis = clockMillis
    }

    /** A run of [job] on [executor] has failed. */
    fun failed(nowMillis: Long, executor: ExecutorState, job: JobId) {
        val record = recordOf(executor)
        record.failedJobs += job
        val streak = record.failedJobs.size
        val trusted = nowMillis - record.lastDoneMillis < TRUST_MILLIS
        if (streak < if (trusted) TRUSTED_STREAK else 1) return
        val millis = FIRST_AVOID_MILLIS shl minOf(streak - 1, MAX_DOUBLINGS)
        avoid(nowMillis, executor, millis, "failed $streak jobs in a row")
    }

    /** Runs that make no progress, or far less than they should, on executors that are answering. */
    fun laggards(nowMillis: Long): List<Run> {
        val found = ArrayList<Run>()
        book.executors.values.filter { it.unreachableSinceMillis == null }.forEach { executor ->
            val runs = executor.runs.values.filter { it.phase == RunPhase.RUNNING && !it.task.step.step.longRunning }
            val standing = runs.filter { standsStill(it) }
            val slow = if (isSlow(executor, runs)) runs.filter { isLate(it) } else emptyList()
            if (standing.isNotEmpty()) {
                avoid(
                    nowMillis,
                    executor,
                    STANDING_AVOID_MILLIS,
                    "${standing.size} runs stand still",
                )
            }
            if (slow.size >= LATE_RUNS) avoid(nowMillis, executor, SLOW_AVOID_MILLIS, "${slow.size} runs are slow")
            found += (standing + slow).distinct()
        }
        return found
    }

    /** Whether reports over a while have shown no progress; time without reports says nothing. */
    private fun standsStill(run: Run): Boolean {
        val limit = maxOf(STANDING_MILLIS, run.task.step.step.estimateMillis * STANDING_PART / WHOLE)
        return run.listedClockMillis - run.progressClockMillis > limit
    }

    /**
     * Whether [executor], which holds [runs], is slow. Tasks of one step differ several times in length, so that a
     * long task says nothing: all tasks have to be behind, a single one far behind, and no other may have ended in
     * the usual time while they were at work.
     */
    private fun isSlow(executor: ExecutorState, runs: List<Run>): Boolean {
        val lastUsualMillis = records[executor]?.lastUsualClockMillis ?: Long.MIN_VALUE
        val unproven = runs.filter { (it.begunClockMillis ?: Long.MIN_VALUE) >= lastUsualMillis }
        val ratios = unproven.mapNotNull(::slowness).sorted()
        return when (ratios.size) {
            0 -> false
            1 -> ratios.single() >= ONLY_RUN_SLOWNESS
            else -> ratios.first() >= LEAST_SLOWNESS && ratios[ratios.size / 2] >= MIDDLE_SLOWNESS
        }
    }

    /** How many times longer than usual the run takes at its pace so far; null while that says nothing. */
    private fun slowness(run: Run): Double? {
        if (run.progressTimeMillis < JUDGED_MILLIS) return null
        return projectedMillis(run)?.let { it.toDouble() / expectedMillis(run) }
    }

    /** Whether the run would be done earlier elsewhere, started anew. */
    private fun isLate(run: Run): Boolean {
        val total = projectedMillis(run) ?: return false
        return total - run.progressTimeMillis > expectedMillis(run) * 2
    }

    private fun projectedMillis(run: Run): Long? =
        if (run.percent <= 0) null else run.progressTimeMillis * WHOLE / run.percent

    /** Declared times are too far off to judge by, unless nothing else is known. */
    private fun expectedMillis(run: Run): Long =
        usualMillis(run) ?: (maxOf(run.task.step.step.estimateMillis, MIN_ESTIMATE_MILLIS) * UNKNOWN_FACTOR)

    /** Mean time of the step's tasks, of those that have ended and those that run elsewhere: short ones end first. */
    private fun usualMillis(run: Run): Long? {
        val step = run.task.step
        val others = step.tasks.flatMap { it.runs }.filter { it.executor !== run.executor }
            .mapNotNull { projectedMillis(it) }
        val count = step.endedRuns + others.size
        return if (count == 0) null else maxOf(1, (step.endedRunMillis + others.sum()) / count)
    }

    private fun avoid(nowMillis: Long, executor: ExecutorState, millis: Long, why: String) {
        val until = nowMillis + millis
        if (until <= executor.avoidUntilMillis) return
        if (executor.avoidUntilMillis <= nowMillis && !mayAvoid(nowMillis, executor.record.pool)) return
        if (executor.avoidUntilMillis <= nowMillis) {
            log("executor avoided", arrayOf("executor" to executor.record.id, "why" to why, "for_ms" to millis))
        }
        executor.avoidUntilMillis = until
    }

    private fun mayAvoid(nowMillis: Long, pool: PoolId): Boolean {
        val members = book.executors.values.filter { it.record.pool == pool && it.listed }
        val avoided = members.count { it.avoidUntilMillis > nowMillis }
        return avoided + 1 <= members.size / 2
    }

    private fun recordOf(executor: ExecutorState) = records.getOrPut(executor) { ExecutorRecordOfWork() }

    /** Forgets executors that have gone. */
    fun forget(executor: ExecutorState) {
        records.remove(executor)
    }

    private companion object {
        /** For so long a run that ended well speaks for its executor. */
        const val TRUST_MILLIS = 1_500L

        /** Failures in a row that outweigh a recent good end. */
        const val TRUSTED_STREAK = 2

        /** First time of avoidance; doubled with each failure in a row. */
        const val FIRST_AVOID_MILLIS = 500L
        const val MAX_DOUBLINGS = 4

        /** Runs report progress at least with every second look; this is several of them. */
        const val STANDING_MILLIS = 1_500L
        const val STANDING_PART = 50L
        const val STANDING_AVOID_MILLIS = 3_000L
        const val SLOW_AVOID_MILLIS = 2_000L

        /** Late runs that make a slow executor one to avoid. */
        const val LATE_RUNS = 2

        /** Time that a run has worked before its pace is judged; several looks. */
        const val JUDGED_MILLIS = 250L

        /** Least and middle slowness of the runs of a slow executor. Slow ones are three times as slow and more. */
        const val LEAST_SLOWNESS = 1.6
        const val MIDDLE_SLOWNESS = 2.5

        /** Slowness of an executor's only run that makes the executor slow: few tasks are as long. */
        const val ONLY_RUN_SLOWNESS = 4.0

        /** Multiple of the declared time that is expected where nothing else is known. */
        const val UNKNOWN_FACTOR = 2
        const val MIN_ESTIMATE_MILLIS = 200L
        const val WHOLE = 100L
    }
}
