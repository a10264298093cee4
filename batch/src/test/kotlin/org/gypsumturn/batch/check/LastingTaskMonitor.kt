// Checks the users' rules on lasting tasks and waves on what the executors of the model do: AVAIL, the LIMIT of a wave,
// and the last sentence of LOST.

package org.gypsumturn.batch.check

import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.model.TaskName
import org.gypsumturn.batch.model.UpkeepWave

/** Watches the lasting tasks of the jobs of [rules], and adds each breach to it. */
internal class LastingTaskMonitor(private val rules: RuleMonitor) {
    private val lastAtWorkMillis = LinkedHashMap<TaskName, Long>()
    private val lastRunMillis = LinkedHashMap<TaskName, Long>()
    private val lastWithoutRoomMillis = HashMap<TaskName, Long>()
    private val endedByOrder = LinkedHashSet<TaskName>()

    /** Called with each task that runs again later than it should, and the time since its last run. */
    var onReturnedLate: (TaskName, Long) -> Unit = { _, _ -> }

    fun stepOf(task: TaskName): Step = rules.jobs.getValue(task.job).steps[task.step]

    fun isLasting(task: TaskName): Boolean = stepOf(task).longRunning

    /** Whether [run] has started up at [nowMillis], so that its executor reports it as at work until it has ended. */
    fun hasStarted(nowMillis: Long, run: ModelRun): Boolean =
        isLasting(run.id.task) && nowMillis - run.startedMillis > STARTUP_MILLIS

    private fun isAtWork(nowMillis: Long, run: ModelRun) = hasStarted(nowMillis, run) && !run.stopping

    /** Takes note of the [runs] of all executors at [nowMillis]. */
    fun observe(nowMillis: Long, runs: List<ModelRun>) {
        runs.filter { isLasting(it.id.task) }.forEach { run ->
            val awayMillis = nowMillis - (lastRunMillis.put(run.id.task, nowMillis) ?: nowMillis)
            if (awayMillis > RESTART_MILLIS) onReturnedLate(run.id.task, awayMillis)
        }
        runs.filter { isAtWork(nowMillis, it) }.forEach {
            lastAtWorkMillis[it.id.task] = nowMillis
            endedByOrder -= it.id.task
        }
    }

    /** Judges an order that ends [runs] at [nowMillis]. One that was [heldUp] is exempt, but its tasks are away. */
    fun onOrdered(nowMillis: Long, runs: List<ModelRun>, heldUp: Boolean) {
        runs.filter { isAtWork(nowMillis, it) }.forEach { run ->
            val task = run.id.task
            val step = stepOf(task)
            val away = List(step.count) { task.copy(index = it) }.filter { it != task && isAway(nowMillis, it) }
            if (!heldUp && step.mayMiss in 1..away.size) {
                rules.breaches += "AVAIL: an order ends ${task.name()} while ${away.map { it.name() }} are away"
            }
            endedByOrder += task
        }
    }

    private fun isAway(nowMillis: Long, task: TaskName): Boolean =
        task in endedByOrder || lastAtWorkMillis[task]?.let { nowMillis - it >= NOTICE_MILLIS } == true

    /** Judges the beginning of an upkeep of [wave] while [down] machines are down for theirs. */
    fun onUpkeepBegun(wave: UpkeepWave, down: Int) {
        if (down >= wave.cap) rules.breaches += "LIMIT: an upkeep of wave ${wave.number} begins while $down are down"
    }

    /** Takes note for which tasks there is no room at [nowMillis]. */
    fun observeRoom(nowMillis: Long, hasRoom: (TaskName) -> Boolean) {
        lastRunMillis.keys.filterNot(hasRoom).forEach { lastWithoutRoomMillis[it] = nowMillis }
    }

    /** How a task is lost at [nowMillis], if it is: it has room and does not run although all is calm. */
    fun lostBreach(nowMillis: Long, calmSinceMillis: Long): String? = lastRunMillis.entries.firstOrNull { (task, at) ->
        val dueMillis = maxOf(at + RESTART_MILLIS, calmSinceMillis + CALM_MILLIS, lastWithoutRoomMillis[task] ?: 0)
        nowMillis - dueMillis >= MISSING_MILLIS
    }?.let { (task, at) -> "LOST: ${task.name()} has not run for ${nowMillis - at} ms" }

    fun describe(nowMillis: Long, to: StringBuilder) {
        lastAtWorkMillis.forEach { (task, at) -> to.append(task.name()).append(minOf(nowMillis - at, NOTICE_MILLIS)) }
        endedByOrder.map { it.name() }.sorted().forEach { to.append(it) }
    }

    private companion object {
        /** Time from the start of a run until its lasting task is at work. */
        const val STARTUP_MILLIS = 500L

        /** Time for which a task has to be missing until it counts as away, unless an order has ended it. */
        const val NOTICE_MILLIS = 4_500L

        /** Time after its last run from which on a task has to run, and time that has to be calm before that. */
        const val RESTART_MILLIS = 6_000L
        const val CALM_MILLIS = 4_000L

        /** Time for which nothing of the task runs until it is lost. */
        const val MISSING_MILLIS = 3_000L
    }
}
