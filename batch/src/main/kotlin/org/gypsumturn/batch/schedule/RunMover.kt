// Moves runs away from executors on which they lag, and long-running ones from executors that are being drained.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.state.RunPhase

/** Moves runs of [scheduler] that [faultDetector] finds to lag. */
internal class RunMover(
    private val scheduler: BatchScheduler,
    private val registry: ExecutorRegistry,
    private val faultDetector: FaultyExecutorDetector,
    private val log: DecisionLog,
) {
    private var checkedMillis = 0L

    /** Moves runs, if some time has passed since the last call that did. */
    fun moveDueRuns(nowMillis: Long) {
        if (nowMillis - checkedMillis < CHECK_INTERVAL_MILLIS) return
        checkedMillis = nowMillis
        stopRunsOnDrainingExecutors()
        moveLaggingRuns(nowMillis)
    }

    /**
     * Moves lagging runs to other executors. If the step allows copies, a copy is started beside the run; otherwise the
     * run is stopped first.
     */
    private fun moveLaggingRuns(nowMillis: Long) {
        faultDetector.findLaggingRuns(nowMillis).filter { !it.lagging }.forEach { run ->
            val task = run.task
            log(
                "run lags",
                arrayOf(
                    "task" to run.id.task,
                    "executor" to run.executor.record.id,
                    "percent" to run.percent,
                    "elapsed_ms" to nowMillis - run.startedMillis,
                ),
            )
            run.lagging = true
            scheduler.markPoolStale(task.step.job)
            if (!task.step.step.speculative && !task.step.step.gang &&
                run.id.attempt - task.firstAttempt < MAX_LAG_RESTARTS
            ) {
                scheduler.stopRun(run, "lags")
            }
        }
    }

    /** Stops long-running tasks on draining executors, so that they continue elsewhere before their executor ends. */
    private fun stopRunsOnDrainingExecutors() {
        registry.executors.values
            .filter { it.record.draining && it.unreachableSinceMillis == null }
            .forEach { executor ->
                executor.runs.values.filter { it.task.step.step.longRunning && it.phase == RunPhase.RUNNING }
                    .forEach { scheduler.stopRun(it, "executor draining") }
            }
    }

    private companion object {
        const val CHECK_INTERVAL_MILLIS = 200L

        /** A task that has been started so often is not stopped again for lagging. */
        const val MAX_LAG_RESTARTS = 3L
    }
}
