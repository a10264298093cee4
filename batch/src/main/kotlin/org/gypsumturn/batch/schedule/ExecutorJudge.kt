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
}

/** Judges executors for the holder of the lease. */
internal class ExecutorJudge(private val book: ExecutorBook, private val log: DecisionLog) {
    private val records = HashMap<ExecutorState, ExecutorRecordOfWork>()

    /** A run on [executor] has ended well. */
    fun done(nowMillis: Long, executor: ExecutorState) {
        val record = recordOf(executor)
        record.failedJobs.clear()
        record.lastDoneMillis = nowMillis
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
            val slow = runs.filter { isSlow(it) }
            if (standing.isNotEmpty()) {
                avoid(
                    nowMillis,
                    executor,
                    STANDING_AVOID_MILLIS,
                    "${standing.size} runs stand still",
                )
            }
            if (slow.size >= SLOW_RUNS) avoid(nowMillis, executor, SLOW_AVOID_MILLIS, "${slow.size} runs are slow")
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
     * Whether the run, at its pace so far, takes several times what others of its step took elsewhere. Declared
     * times are too far off to judge by, but for runs that take many times theirs.
     */
    private fun isSlow(run: Run): Boolean {
        val total = projectedMillis(run) ?: return false
        val left = total - run.progressTimeMillis
        val usual = usualMillis(run)
        val estimate = maxOf(run.task.step.step.estimateMillis, MIN_ESTIMATE_MILLIS)
        val limit = if (usual != null) usual * SLOW_FACTOR else estimate * UNKNOWN_SLOW_FACTOR
        return total > limit && left > (usual ?: estimate) * 2
    }

    private fun projectedMillis(run: Run): Long? =
        if (run.percent <= 0) null else run.progressTimeMillis * WHOLE / run.percent

    /** Mean time of tasks of the same step that have ended, or else of those that run elsewhere. */
    private fun usualMillis(run: Run): Long? {
        val step = run.task.step
        if (step.endedRuns > 0) return step.endedRunMillis / step.endedRuns
        val others = step.tasks.flatMap { it.runs }.filter { it.executor !== run.executor }
            .mapNotNull { projectedMillis(it) }
        return if (others.isEmpty()) null else others.sum() / others.size
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

        /** Slow runs that make an executor slow. */
        const val SLOW_RUNS = 2

        /** Multiple of the usual time beyond which a run is slow; tasks of a step differ by a third or so. */
        const val SLOW_FACTOR = 2.5

        /** Multiple of the declared time beyond which a run is slow where nothing else is known. */
        const val UNKNOWN_SLOW_FACTOR = 6.0
        const val MIN_ESTIMATE_MILLIS = 200L
        const val WHOLE = 100L
    }
}
