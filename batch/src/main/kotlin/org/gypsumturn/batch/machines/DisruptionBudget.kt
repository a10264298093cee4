// Decides which long-running tasks orders for machines may end. A step may miss some of its tasks at the same time. A
// task counts as missing unless a report shows that it is at work, and the report must be recent and later than each
// order that may have ended the task. What is silent, unknown or under an order is missing.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.state.ExecutorState
import org.gypsumturn.batch.state.Run
import org.gypsumturn.batch.state.RunPhase
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.batch.state.Task
import org.gypsumturn.model.InstanceId

/** Whether an order that ends everything on a machine may be sent. */
internal sealed interface DisruptionVerdict {
    /** The order ends no more long-running tasks than their steps may miss. */
    data object Allowed : DisruptionVerdict

    /** Tasks that the holder does not know of may run on [executor]. */
    data class UnknownRuns(val executor: InstanceId) : DisruptionVerdict

    /** The order would end [ending] tasks of [step] while [missing] others are missing. */
    data class TooManyMissing(val step: StepState, val ending: Int, val missing: Int) : DisruptionVerdict {
        override fun toString(): String =
            "step ${step.job.job.id}.${step.occurrence}.${step.index}: $ending to end, $missing of " +
                "${step.tasks.size} missing, bound ${allowedMissing(step)}"
    }
}

/** A step without a bound may miss one task. Otherwise its machines could never be taken down. */
private fun allowedMissing(step: StepState): Int = maxOf(1, step.step.mayMiss)

/**
 * Judges orders by the state of [scheduler].
 *
 * @param reportAgeMillis age of the report of a run, counted from its request, from which on the run is not known to be
 *   at work. It must be so much shorter than the time after which a missing task is noticed that an order takes effect
 *   in between.
 */
internal class DisruptionBudget(private val scheduler: BatchScheduler, private val reportAgeMillis: Long) {
    /** When the list of machines first showed each executor that the scheduler did not know. */
    private val unknownSinceMillis = HashMap<InstanceId, Long>()

    /** Takes note at [nowMillis] of the [listed] executors that the scheduler does not know. */
    fun recordListed(nowMillis: Long, listed: Collection<InstanceId>) {
        unknownSinceMillis.keys.retainAll { it in listed && it !in scheduler.executors }
        listed.filter { it !in scheduler.executors }.forEach { unknownSinceMillis.putIfAbsent(it, nowMillis) }
    }

    /** Whether a recent report shows that [task] is at work, and no order that ends it has been sent since. */
    fun isAtWork(nowMillis: Long, task: Task): Boolean = task.runs.any { run ->
        val requestMillis = run.reportRequestMillis
        run.phase == RunPhase.RUNNING && run.atWork && !run.executor.terminating &&
            run.executor.unreachableSinceMillis == null && requestMillis != null &&
            requestMillis >= run.executor.presenceSinceMillis && nowMillis - requestMillis <= reportAgeMillis
    }

    /** Whether an order that ends everything on [machine] and on the executor [ordered] may be sent at [nowMillis]. */
    fun checkOrder(nowMillis: Long, machine: MachineRecord?, ordered: InstanceId?): DisruptionVerdict {
        val ids = setOfNotNull(machine?.executor, ordered.takeIf { it in scheduler.executors })
        ids.forEach { id ->
            val verdict = checkExecutor(nowMillis, id)
            if (verdict != DisruptionVerdict.Allowed) return verdict
        }
        return DisruptionVerdict.Allowed
    }

    private fun checkExecutor(nowMillis: Long, id: InstanceId): DisruptionVerdict {
        if (scheduler.mayRunUnknownTasks(nowMillis, id, unknownSinceMillis[id] ?: nowMillis)) {
            return DisruptionVerdict.UnknownRuns(id)
        }
        val executor = scheduler.executors[id] ?: return DisruptionVerdict.Allowed
        return runsByStep(executor).firstNotNullOfOrNull { (step, runs) ->
            val missing = missingElsewhere(nowMillis, step, runs)
            val isAllowed = runs.size + missing <= allowedMissing(step)
            if (isAllowed) null else DisruptionVerdict.TooManyMissing(step, runs.size, missing)
        } ?: DisruptionVerdict.Allowed
    }

    /**
     * Runs on [executor] to stop now so that their tasks are started elsewhere. If the executor runs more long-running
     * tasks of a step than may be missing at the same time, they are stopped one after the other.
     */
    fun runsToEvacuate(nowMillis: Long, executor: ExecutorState): List<Run> =
        runsByStep(executor).mapNotNull { (step, runs) ->
            val missing = step.tasks.count { !isAtWork(nowMillis, it) }
            val tooMany = runs.size + missingElsewhere(nowMillis, step, runs) > allowedMissing(step)
            runs.firstOrNull { it.phase == RunPhase.RUNNING }.takeIf { tooMany && missing < allowedMissing(step) }
        }

    /** For each step that [order] ends tasks of, which of its tasks are missing, and the age of the oldest report. */
    fun describe(nowMillis: Long, order: MachineOrder): Array<Pair<String, Any?>> {
        val executor = order.executor?.let { scheduler.executors[it] } ?: return emptyArray()
        val steps = runsByStep(executor).map { (step, runs) ->
            val others = step.tasks - runs.mapTo(HashSet()) { it.task }
            val missing = others.filterNot { isAtWork(nowMillis, it) }.map { it.index }
            val oldestMillis = others.flatMap { it.runs }.mapNotNull { it.reportRequestMillis }.minOrNull()
            "${step.job.job.id}.${step.occurrence}.${step.index} ending ${runs.size} missing $missing" +
                " bound ${allowedMissing(step)} report_age_ms ${oldestMillis?.let { nowMillis - it }}"
        }
        return if (steps.isEmpty()) emptyArray() else arrayOf("steps" to steps)
    }

    /** Whether [run] may be ended at [nowMillis]. */
    fun mayEndRun(nowMillis: Long, run: Run): Boolean {
        val step = run.task.step
        return missingElsewhere(nowMillis, step, listOf(run)) < allowedMissing(step)
    }

    private fun missingElsewhere(nowMillis: Long, step: StepState, runs: List<Run>): Int {
        val tasksOfRuns = runs.mapTo(HashSet()) { it.task }
        return step.tasks.count { it !in tasksOfRuns && !isAtWork(nowMillis, it) }
    }
}

/** Long-running runs on [executor] by their step, without those of jobs that have ended. */
private fun runsByStep(executor: ExecutorState): Map<StepState, List<Run>> = executor.runs.values
    .filter { it.task.step.step.longRunning && !it.task.step.job.phase.ended }
    .groupBy { it.task.step }
