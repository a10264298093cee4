// Detects executors that fail runs, stall or are slow, judging only by the runs on them. Such an executor gets no new
// work for a while, and for longer the more jobs have failed on it in a row. A single failure does not count against an
// executor that has just completed a run. At most half of a pool is avoided at once, so that a fault that hits all
// executors alike does not leave the pool without any.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId

/** Recent results of the runs on one executor. */
internal class ExecutorRunHistory {
    /** Jobs with failed runs since the last run that succeeded. */
    val failedJobs = LinkedHashSet<JobId>()
    var lastSuccessMillis = Long.MIN_VALUE / 2

    /** Time on the executor's clock of the last report of a succeeded run that took no longer than usual. */
    var lastUsualClockMillis = Long.MIN_VALUE
}

/** Detects faulty executors in [registry] and marks them as avoided for a time. */
internal class FaultyExecutorDetector(private val registry: ExecutorRegistry, private val log: DecisionLog) {
    private val histories = HashMap<ExecutorState, ExecutorRunHistory>()

    /**
     * Records that a run on [executor] succeeded, as reported at [clockMillis] on the executor's clock. [run] is null
     * if it was not known.
     */
    fun onRunSucceeded(nowMillis: Long, clockMillis: Long, executor: ExecutorState, run: Run?) {
        val history = historyOf(executor)
        history.failedJobs.clear()
        history.lastSuccessMillis = nowMillis
        val begunMillis = run?.firstSeenClockMillis ?: return
        if (clockMillis - begunMillis <= expectedMillis(run) * MIN_SLOWNESS) history.lastUsualClockMillis = clockMillis
    }

    /** Records that a run of [job] on [executor] failed. */
    fun onRunFailed(nowMillis: Long, executor: ExecutorState, job: JobId) {
        val history = historyOf(executor)
        history.failedJobs += job
        val streak = history.failedJobs.size
        val succeededRecently = nowMillis - history.lastSuccessMillis < RECENT_SUCCESS_MILLIS
        if (streak < if (succeededRecently) RECENT_SUCCESS_STREAK else 1) return
        val millis = FIRST_AVOID_MILLIS shl minOf(streak - 1, MAX_DOUBLINGS)
        avoid(nowMillis, executor, millis, "failed $streak jobs in a row")
    }

    /**
     * Returns the runs on reachable executors that make no progress or are too slow, and avoids executors that are at
     * fault.
     */
    fun findLaggingRuns(nowMillis: Long): List<Run> {
        val found = ArrayList<Run>()
        registry.executors.values.filter { it.unreachableSinceMillis == null }.forEach { executor ->
            val runs = executor.runs.values.filter { it.phase == RunPhase.RUNNING && !it.task.step.step.longRunning }
            val stalled = runs.filter { isStalled(it) }
            val slow = if (isSlow(executor, runs)) runs.filter { isLate(it) } else emptyList()
            if (stalled.isNotEmpty()) {
                avoid(
                    nowMillis,
                    executor,
                    STALLED_AVOID_MILLIS,
                    "${stalled.size} runs make no progress",
                )
            }
            if (slow.size >= MIN_LATE_RUNS) avoid(nowMillis, executor, SLOW_AVOID_MILLIS, "${slow.size} runs are slow")
            found += (stalled + slow).distinct()
        }
        return found
    }

    /** Whether reports over a long enough time have shown no progress. Time without reports does not count. */
    private fun isStalled(run: Run): Boolean {
        val limit = maxOf(STALL_MILLIS, run.task.step.step.estimateMillis * STALL_PERCENT / HUNDRED_PERCENT)
        return run.lastReportClockMillis - run.progressChangedClockMillis > limit
    }

    /**
     * Whether [executor], on which [runs] are active, is slow. Tasks of one step differ several times in length, so one
     * long task proves nothing. All runs must be behind, or a single one far behind, and no other run may have
     * succeeded in the usual time since they began.
     */
    private fun isSlow(executor: ExecutorState, runs: List<Run>): Boolean {
        val lastUsualMillis = histories[executor]?.lastUsualClockMillis ?: Long.MIN_VALUE
        val unproven = runs.filter { (it.firstSeenClockMillis ?: Long.MIN_VALUE) >= lastUsualMillis }
        val ratios = unproven.mapNotNull(::slowness).sorted()
        return when (ratios.size) {
            0 -> false
            1 -> ratios.single() >= SINGLE_RUN_SLOWNESS
            else -> ratios.first() >= MIN_SLOWNESS && ratios[ratios.size / 2] >= MEDIAN_SLOWNESS
        }
    }

    /**
     * Factor by which [run] exceeds its expected time at its present pace, or null while it has run too briefly to
     * tell.
     */
    private fun slowness(run: Run): Double? {
        if (run.progressDurationMillis < MIN_PACE_SAMPLE_MILLIS) return null
        return projectedMillis(run)?.let { it.toDouble() / expectedMillis(run) }
    }

    /** Whether the task would be done earlier if it were started again elsewhere. */
    private fun isLate(run: Run): Boolean {
        val total = projectedMillis(run) ?: return false
        return total - run.progressDurationMillis > expectedMillis(run) * 2
    }

    private fun projectedMillis(run: Run): Long? =
        if (run.percent <= 0) null else run.progressDurationMillis * HUNDRED_PERCENT / run.percent

    /**
     * Expected time of [run]. Estimates of submitters are too far off to judge by, so they are used only if nothing
     * else is known.
     */
    private fun expectedMillis(run: Run): Long =
        usualMillis(run) ?: (maxOf(run.task.step.step.estimateMillis, MIN_ESTIMATE_MILLIS) * ESTIMATE_FACTOR)

    /**
     * Mean time of the tasks of the step, or null if none is known. It includes the projected times of runs on other
     * executors, since the first tasks to end are the short ones.
     */
    private fun usualMillis(run: Run): Long? {
        val step = run.task.step
        val others = step.tasks.flatMap { it.runs }.filter { it.executor !== run.executor }
            .mapNotNull { projectedMillis(it) }
        val count = step.succeededRuns + others.size
        return if (count == 0) null else maxOf(1, (step.succeededRunsTotalMillis + others.sum()) / count)
    }

    private fun avoid(nowMillis: Long, executor: ExecutorState, millis: Long, why: String) {
        val until = nowMillis + millis
        if (until <= executor.avoidUntilMillis) return
        if (executor.avoidUntilMillis <= nowMillis && !canAvoidAnother(nowMillis, executor.record.pool)) return
        if (executor.avoidUntilMillis <= nowMillis) {
            log("executor avoided", arrayOf("executor" to executor.record.id, "why" to why, "for_ms" to millis))
        }
        executor.avoidUntilMillis = until
    }

    private fun canAvoidAnother(nowMillis: Long, pool: PoolId): Boolean {
        val members = registry.executors.values.filter { it.record.pool == pool && it.listed }
        val avoided = members.count { it.avoidUntilMillis > nowMillis }
        return avoided + 1 <= members.size / 2
    }

    private fun historyOf(executor: ExecutorState) = histories.getOrPut(executor) { ExecutorRunHistory() }

    /** Drops the history of [executor]. */
    fun forget(executor: ExecutorState) {
        histories.remove(executor)
    }

    private companion object {
        /** Time for which a succeeded run protects its executor from being avoided for a single failure. */
        const val RECENT_SUCCESS_MILLIS = 1_500L

        /** Failed jobs in a row after which an executor is avoided despite a recent success. */
        const val RECENT_SUCCESS_STREAK = 2

        /** Time of avoidance after the first failure. It doubles with each further failed job in a row. */
        const val FIRST_AVOID_MILLIS = 500L
        const val MAX_DOUBLINGS = 4

        /**
         * Time without progress after which a run counts as stalled. At least every second poll reports progress, and
         * this covers several polls.
         */
        const val STALL_MILLIS = 1_500L

        /** Percentage of the estimated run time without progress after which a run counts as stalled. */
        const val STALL_PERCENT = 50L
        const val STALLED_AVOID_MILLIS = 3_000L
        const val SLOW_AVOID_MILLIS = 2_000L

        /** Number of late runs for which a slow executor is avoided. */
        const val MIN_LATE_RUNS = 2

        /** Time that a run must have worked before its pace is judged. It covers several polls. */
        const val MIN_PACE_SAMPLE_MILLIS = 250L

        /**
         * Smallest and median slowness of the runs of a slow executor. Slow executors are at least three times as slow
         * as others.
         */
        const val MIN_SLOWNESS = 1.6
        const val MEDIAN_SLOWNESS = 2.5

        /**
         * Slowness at which an executor counts as slow by its only run. Few tasks are longer than their step's mean by
         * so much.
         */
        const val SINGLE_RUN_SLOWNESS = 4.0

        /** Factor on the submitter's estimate where nothing else is known. */
        const val ESTIMATE_FACTOR = 2
        const val MIN_ESTIMATE_MILLIS = 200L
        const val HUNDRED_PERCENT = 100L
    }
}
