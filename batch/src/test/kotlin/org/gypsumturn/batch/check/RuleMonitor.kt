// Checks the users' rules TWICE, LIMIT, ORDER and BUDGET on what the executors of the model do, and keeps all breaches.

package org.gypsumturn.batch.check

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunEnd
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.model.TaskName
import org.gypsumturn.model.JobId

/** Records each breach of a rule. [maxAttempts] is that of the queue of all jobs. */
internal class RuleMonitor(private val maxAttempts: Int) {
    private class End(val executor: ModelExecutor, val run: RunId, val number: Long, val how: RunEnd) {
        var noted = false

        /** Whether its executor's lease has lapsed, or the executor is gone, before the end was taken note of. */
        var forgotten = false

        /** Whether its task was started again afterwards. */
        var startedAgain = false
    }

    val jobs = LinkedHashMap<JobId, BatchJob>()
    val breaches = ArrayList<String>()
    val lasting = LastingTaskMonitor(this)
    val cancellations = CancellationMonitor(breaches)
    private val running = LinkedHashMap<RunId, ModelExecutor>()
    private val ends = ArrayList<End>()
    private val crashes = HashMap<TaskName, Int>()

    fun onStarted(
        nowMillis: Long,
        executor: ModelExecutor,
        run: RunId,
        size: ResourceAmounts,
        capacity: ResourceAmounts,
    ) {
        val task = run.task
        running.entries.firstOrNull { it.key.task == task }?.let { (other, on) ->
            breaches += "TWICE: ${describe(run)} starts on ${executor.id} while ${describe(other)} runs on ${on.id}"
        }
        running[run] = executor
        val count = running.values.count { it === executor }.toLong()
        val used = ResourceAmounts(size.cpuMillis * count, size.memoryMb * count, 0)
        if (!used.fitsInto(capacity)) breaches += "LIMIT: ${executor.id} has $count runs"
        val earlier = ends.filter { it.run.task == task && !it.forgotten }
        earlier.forEach { it.startedAgain = true }
        earlier.firstOrNull { it.noted && it.how == RunEnd.DONE }?.let {
            breaches += "TWICE: ${describe(run)} starts although the end of ${describe(it.run)} as done was noted"
        }
        checkFailures(task)
        val job = jobs.getValue(task.job)
        job.steps[task.step].after.forEach { before ->
            val done = ends.filter { it.how == RunEnd.DONE }.map { it.run.task }.toSet()
            val open = (0 until job.steps[before].count).map { TaskName(task.job, task.occurrence, before, it) } - done
            if (open.isNotEmpty()) breaches += "ORDER: ${describe(run)} starts before ${open.first().name()} is done"
        }
        if (job.repeats > 0 && nowMillis < job.startAtMillis + task.occurrence * job.intervalMillis) {
            breaches += "ORDER: ${describe(run)} starts before its time"
        }
    }

    fun onEnded(executor: ModelExecutor, run: RunId, number: Long, how: RunEnd) {
        running.remove(run, executor)
        if (how == RunEnd.DONE || how == RunEnd.FAILED) ends += End(executor, run, number, how)
    }

    fun onAcknowledged(executor: ModelExecutor, number: Long) {
        ends.filter { it.executor === executor && it.number <= number && !it.forgotten && !it.noted }.forEach { end ->
            end.noted = true
            if (end.how == RunEnd.DONE && end.startedAgain) {
                breaches += "TWICE: the end of ${describe(end.run)} as done is noted after its task has started again"
            }
            checkFailures(end.run.task)
        }
    }

    fun onLeaseLapsed(executor: ModelExecutor) {
        ends.forEach { if (it.executor === executor && !it.noted) it.forgotten = true }
    }

    /** Handles the end of [executor], which has [crashed] unless it was ended on purpose. */
    fun onExecutorEnded(executor: ModelExecutor, crashed: Boolean) {
        onLeaseLapsed(executor)
        if (crashed) executor.runs.keys.forEach { crashes.merge(it.task, 1, Int::plus) }
        running.values.removeAll { it === executor }
    }

    /** Whether [job] may be shown as failed. */
    fun mayFail(job: JobId): Boolean = crashes.any { it.key.job == job && it.value >= CRASHES_UNTIL_GIVEN_UP } ||
        ends.filter { it.how == RunEnd.FAILED && it.run.task.job == job && !lasting.isLasting(it.run.task) }
            .groupBy { it.run.task }.any { it.value.size >= maxAttempts }

    private fun checkFailures(task: TaskName) {
        if (lasting.isLasting(task)) return
        val failures = ends.count { it.run.task == task && it.how == RunEnd.FAILED && it.noted && it.startedAgain }
        if (failures >= maxAttempts) {
            breaches += "BUDGET: ${task.name()} starts after $maxAttempts runs of it have failed"
        }
    }

    /** What later breaches depend on. */
    fun describe(): String = ends.joinToString {
        "${it.run.task.name()}${it.run.attempt}${it.executor.id}${it.how}${it.noted}${it.forgotten}${it.startedAgain}"
    } + crashes.entries.map { it.key.name() + it.value }.sorted()

    private fun describe(run: RunId) = "${run.task.name()} attempt ${run.attempt}"

    private companion object {
        const val CRASHES_UNTIL_GIVEN_UP = 2
    }
}
