// Explores all short schedules of two owners and one job, to check the guarantees for jobs: every sequence of a fixed
// set of actions up to a given length. Actions include a pause of one owner before a commit or a start while the other
// takes over.

package org.gypsumturn.bench.jobs

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobId
import org.gypsumturn.model.NodeId
import org.gypsumturn.ports.fake.PortFault
import org.gypsumturn.ports.fake.TaskScript
import org.gypsumturn.ports.fake.WorkerFault

/** An action of an explored schedule. */
internal enum class ExploredAction {
    FIRST_STEPS,
    SECOND_STEPS,

    /** The first owner is paused before its next commit while the second takes over. */
    FIRST_PAUSES_BEFORE_COMMIT,

    /** The first owner is paused after it has committed an assignment and before it starts the task. */
    FIRST_PAUSES_BEFORE_START,
    TASK_ENDS,
    LEASE_LAPSES,
    NEXT_COMMIT_LOSES_ANSWER,
    NEXT_START_LOSES_ANSWER,
    NEXT_START_IS_DELAYED,
    DELAYED_START_ARRIVES,
    WORKER_REBOOTS,
    CANCEL,
}

/** The number of explored schedules, and the violations of the guarantees that were found. */
internal data class ExplorationResult(val schedules: Int, val violations: List<String>)

/** Explores all schedules of exactly [length] actions. Shorter schedules are prefixes of these. */
internal fun exploreSchedules(length: Int): ExplorationResult {
    val actions = ExploredAction.entries
    var schedules = 1
    repeat(length) { schedules *= actions.size }
    val violations = mutableListOf<String>()
    for (number in 0 until schedules) {
        var remaining = number
        val schedule = List(length) { actions[remaining % actions.size].also { remaining /= actions.size } }
        for (idempotent in listOf(false, true)) {
            violations += ExploredSchedule(idempotent).run(schedule).map { "$schedule idempotent=$idempotent: $it" }
        }
    }
    return ExplorationResult(schedules * 2, violations)
}

private class ExploredSchedule(private val idempotent: Boolean) {
    private var nextTableFault = PortFault.NONE
    private var nextStartFault = WorkerFault.NONE
    private var pauseAt: CallKind? = null
    private val simulation =
        JobSafetySimulation(
            nodes = 2,
            workers = 1,
            SimulationHooks(
                tableFault = { isCommit -> if (isCommit) takeTableFault() else PortFault.NONE },
                workerFault = { if (isStarting) takeStartFault() else WorkerFault.NONE },
                script = { _, _ -> TaskScript(TASK_MILLIS, Capacity(500, 256), output = "ok") },
                beforeCall = { owner, kind -> onCall(owner, kind) },
            ),
        )
    private var isStarting = false

    fun run(schedule: List<ExploredAction>): List<String> {
        simulation.accept(JobSafetySimulation.jobSpec("job", idempotent))
        schedule.forEach(::perform)
        nextTableFault = PortFault.NONE
        nextStartFault = WorkerFault.NONE
        pauseAt = null
        simulation.workers.deliverDelayedStarts()
        simulation.runUntilAllEnded(SETTLE_MILLIS)
        return simulation.findViolations()
    }

    private fun perform(action: ExploredAction) {
        when (action) {
            ExploredAction.FIRST_STEPS -> step(FIRST)
            ExploredAction.SECOND_STEPS -> step(SECOND)
            ExploredAction.FIRST_PAUSES_BEFORE_COMMIT -> pauseFirst(CallKind.COMMIT)
            ExploredAction.FIRST_PAUSES_BEFORE_START -> pauseFirst(CallKind.START)
            ExploredAction.TASK_ENDS -> simulation.nowMillis += TASK_MILLIS
            ExploredAction.LEASE_LAPSES -> simulation.nowMillis += LEASE_LAPSE_MILLIS
            ExploredAction.NEXT_COMMIT_LOSES_ANSWER -> nextTableFault = PortFault.LOSE_ANSWER
            ExploredAction.NEXT_START_LOSES_ANSWER -> nextStartFault = WorkerFault.LOSE_ANSWER
            ExploredAction.NEXT_START_IS_DELAYED -> nextStartFault = WorkerFault.DELAY
            ExploredAction.DELAYED_START_ARRIVES -> simulation.workers.deliverDelayedStarts()
            ExploredAction.WORKER_REBOOTS -> simulation.workers.reboot(workerOf(0))
            ExploredAction.CANCEL -> simulation.cancel(listOf(JobId("job")))
        }
    }

    private fun step(owner: Int) {
        simulation.nowMillis += STEP_MILLIS
        simulation.step(owner, onlyLive(owner))
    }

    private fun pauseFirst(kind: CallKind) {
        pauseAt = kind
        step(FIRST)
        pauseAt = null
    }

    private fun onCall(owner: Int, kind: CallKind) {
        isStarting = kind == CallKind.START
        if (owner != FIRST || kind != pauseAt) return
        pauseAt = null
        repeat(STEPS_DURING_PAUSE) { step(SECOND) }
        isStarting = kind == CallKind.START
    }

    private fun onlyLive(owner: Int): Set<NodeId> = setOf(simulation.nodes[owner].id)

    private fun takeTableFault() = nextTableFault.also { nextTableFault = PortFault.NONE }

    private fun takeStartFault() = nextStartFault.also { nextStartFault = WorkerFault.NONE }

    private companion object {
        const val FIRST = 0
        const val SECOND = 1
        const val STEP_MILLIS = 2_500L
        const val TASK_MILLIS = 3_000L
        const val LEASE_LAPSE_MILLIS = JobSafetySimulation.LEASE_MILLIS + JobSafetySimulation.LEASE_MARGIN_MILLIS + 1
        const val STEPS_DURING_PAUSE = 2
        const val SETTLE_MILLIS = 120_000L
    }
}
