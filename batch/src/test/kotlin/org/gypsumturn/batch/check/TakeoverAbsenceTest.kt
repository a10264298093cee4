package org.gypsumturn.batch.check

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.TaskName
import org.gypsumturn.batch.step
import kotlin.random.Random

/**
 * Searches for lasting tasks that have no run for longer than 6 s after their last one, when an executor is lost around
 * a takeover. The system property `check.walks` makes the search larger. It prints the late tasks by their cause.
 */
class TakeoverAbsenceTest : AnnotationSpec() {
    /** How an executor is lost, as events and their times after the loss. */
    private class Loss(val name: String, val events: (ModelMachine) -> List<Pair<Long, ModelEvent>>)

    private data class Absence(val seed: Long, val millis: Long, val cause: String)

    private val silent = Loss("silent") {
        listOf(
            0L to ModelEvent(Action.SILENCE, it.name),
            ENTRY_MILLIS to ModelEvent(Action.LAPSE, it.lastId),
        )
    }
    private val restarted = Loss("crashed, restarted under its id") {
        listOf(
            0L to ModelEvent(Action.CRASH, it.name),
            RESTART_MILLIS to ModelEvent(Action.RESTART, it.name),
            RESTART_MILLIS to ModelEvent(Action.ENTRY, it.name),
        )
    }
    private val replaced = Loss("crashed, replaced") {
        listOf(
            0L to ModelEvent(Action.CRASH, it.name),
            RESTART_MILLIS to ModelEvent(Action.RENEW, it.name),
            RESTART_MILLIS to ModelEvent(Action.ENTRY, it.name),
        )
    }
    private val listed = Loss("crashed, listed as down") {
        // The list counts once the holder of that time finds the executor silent.
        val lists = (500L..8_000L step 500).map { at -> at to ModelEvent(Action.ABSENT, it.lastId) }
        lists + (0L to ModelEvent(Action.CRASH, it.name)) + (ENTRY_MILLIS to ModelEvent(Action.LAPSE, it.lastId))
    }

    private val scenario = Scenario(
        "absence",
        machines = 4,
        tasksPerExecutor = 2,
        tasksBegun = true,
        jobs = listOf(job(1, step(count = 4).copy(longRunning = true, mayMiss = 1, estimateMillis = 0))),
    )

    private fun play(seed: Long, loss: Loss, takesOver: Boolean): List<Absence> {
        val random = Random(seed)
        val late = HashMap<TaskName, Long>()
        val absences = ArrayList<Absence>()
        val model = RunModel(scenario) { line ->
            if ("task at work again" !in line) return@RunModel
            val task = late.keys.find { "task=${it.job.value}.${it.occurrence}.${it.step}.${it.index}," in line }
            late.remove(task)?.let { absences += Absence(seed, it, line.substringAfter("cause=").substringBefore(',')) }
        }
        model.rules.lasting.onReturnedLate = { task, millis -> late[task] = millis }
        val machine = model.machines.filter { it.executor?.runs?.isNotEmpty() == true }.random(random)
        val lostMillis = random.nextLong(1, MAX_TIME_APART_MILLIS)
        val events = loss.events(machine).map { (at, event) -> lostMillis + at to event }.toMutableList()
        if (takesOver) {
            val pausedMillis = random.nextLong(1, MAX_TIME_APART_MILLIS)
            events += pausedMillis to ModelEvent(Action.PAUSE, "1")
            val claimMillis = pausedMillis + ModelHolder.LAPSE_MILLIS + random.nextLong(100, 500)
            events += claimMillis to ModelEvent(Action.TAKEOVER)
        }
        val startMillis = model.nowMillis
        events.sortedBy { it.first }.forEach { (at, event) ->
            if (startMillis + at > model.nowMillis) model.calm(startMillis + at - model.nowMillis)
            model.apply(event)
        }
        model.apply(ModelEvent(Action.CALM, number = SETTLING_MILLIS))
        late.values.forEach { absences += Absence(seed, it, "not at work again") }
        withClue("${loss.name}, seed $seed") { model.rules.breaches.shouldBeEmpty() }
        return absences
    }

    private fun search(loss: Loss, takesOver: Boolean): List<Absence> {
        val walks = System.getProperty("check.walks")?.toInt() ?: WALKS
        val absences = (1L..walks).flatMap { play(it, loss, takesOver) }
        val takeover = if (takesOver) "with" else "without"
        println("absence: ${loss.name}, $takeover takeover, $walks walks: ${absences.size} tasks over 6 s")
        absences.groupBy { it.cause }.forEach { (cause, of) ->
            val sorted = of.map { it.millis }.sorted()
            println(
                "absence:   $cause: ${of.size} tasks in ${of.distinctBy { it.seed }.size} walks, median " +
                    "${sorted[sorted.size / 2]} ms, longest ${sorted.last()} ms, first seed ${of.first().seed}, " +
                    "${sorted.count { it >= LOST_MILLIS }} of 9 s or more",
            )
        }
        return absences
    }

    // Guards against: tasks that return late although the holder that knows of the loss goes on.
    @Test
    fun `without a takeover no lasting task is away for longer than the bound`() {
        listOf(silent, restarted, replaced, listed).forEach { search(it, takesOver = false).shouldBeEmpty() }
    }

    // Guards against: a task that is lost by the users' rules (LOST), 3 s after the bound, since a new holder waits for
    // an executor anew. Times between the two bounds are printed; TakeoverRestartTest in KNOWN-RED.txt has those.
    @Test
    fun `no lasting task is lost when a holder takes over around the loss of an executor`() {
        listOf(silent, restarted, replaced, listed).forEach { loss ->
            search(loss, takesOver = true).filter {
                it.millis >= LOST_MILLIS
            }.map { "${loss.name}: $it" }.shouldBeEmpty()
        }
    }

    private companion object {
        const val WALKS = 30
        const val MAX_TIME_APART_MILLIS = 6_000L
        const val RESTART_MILLIS = 3_200L
        const val ENTRY_MILLIS = 4_500L
        const val SETTLING_MILLIS = 20_000L

        /** A task without a run for this long is lost by the users' rules if all is calm. */
        const val LOST_MILLIS = 9_000L
    }
}
