// Exhaustive exploration of short schedules of two owners on one job: every sequence of a fixed set of actions up to
// a length, with one owner paused before a commit or before a start while the other takes over.

package org.gypsumturn.bench.jobs

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobId
import org.gypsumturn.model.NodeId
import org.gypsumturn.ports.fake.PortFault
import org.gypsumturn.ports.fake.TaskScript
import org.gypsumturn.ports.fake.WorkerFault

/** What can happen next in an explored schedule. */
internal enum class ExploredAction {
    FIRST_STEPS,
    SECOND_STEPS,

    /** The first owner is paused before its next commit; the second takes over meanwhile. */
    FIRST_PAUSES_BEFORE_COMMIT,

    /** The first owner is paused between the committed assignment and the start. */
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

/** Result of an exploration. */
internal data class Exploration(val schedules: Int, val faults: List<String>)

/** Explores all schedules of exactly [length] actions; shorter ones are their beginnings. */
internal fun explore(length: Int): Exploration {
    val actions = ExploredAction.entries
    var schedules = 1
    repeat(length) { schedules *= actions.size }
    val faults = mutableListOf<String>()
    for (number in 0 until schedules) {
        var rest = number
        val schedule = List(length) { actions[rest % actions.size].also { rest /= actions.size } }
        for (idempotent in listOf(false, true)) {
            faults += ExploredSchedule(idempotent).run(schedule).map { "$schedule idempotent=$idempotent: $it" }
        }
    }
    return Exploration(schedules * 2, faults)
}

private class ExploredSchedule(private val idempotent: Boolean) {
    private var nextTableFault = PortFault.NONE
    private var nextStartFault = WorkerFault.NONE
    private var pauseAt: CallKind? = null
    private val world =
        JobWorld(
            nodes = 2,
            workers = 1,
            WorldHooks(
                tableFault = { isCommit -> if (isCommit) takeTableFault() else PortFault.NONE },
                workerFault = { if (isStarting) takeStartFault() else WorkerFault.NONE },
                script = { _, _ -> TaskScript(TASK_MILLIS, Capacity(500, 256), output = "ok") },
                beforeCall = { owner, kind -> before(owner, kind) },
            ),
        )
    private var isStarting = false

    fun run(schedule: List<ExploredAction>): List<String> {
        world.accept(JobWorld.spec("job", idempotent))
        schedule.forEach(::perform)
        nextTableFault = PortFault.NONE
        nextStartFault = WorkerFault.NONE
        pauseAt = null
        world.workers.deliverDelayedStarts()
        world.settle(SETTLE_MILLIS)
        return world.faults()
    }

    private fun perform(action: ExploredAction) {
        when (action) {
            ExploredAction.FIRST_STEPS -> step(FIRST)
            ExploredAction.SECOND_STEPS -> step(SECOND)
            ExploredAction.FIRST_PAUSES_BEFORE_COMMIT -> pauseFirst(CallKind.COMMIT)
            ExploredAction.FIRST_PAUSES_BEFORE_START -> pauseFirst(CallKind.START)
            ExploredAction.TASK_ENDS -> world.nowMillis += TASK_MILLIS
            ExploredAction.LEASE_LAPSES -> world.nowMillis += LAPSE_MILLIS
            ExploredAction.NEXT_COMMIT_LOSES_ANSWER -> nextTableFault = PortFault.LOSE_ANSWER
            ExploredAction.NEXT_START_LOSES_ANSWER -> nextStartFault = WorkerFault.LOSE_ANSWER
            ExploredAction.NEXT_START_IS_DELAYED -> nextStartFault = WorkerFault.DELAY
            ExploredAction.DELAYED_START_ARRIVES -> world.workers.deliverDelayedStarts()
            ExploredAction.WORKER_REBOOTS -> world.workers.reboot(workerOf(0))
            ExploredAction.CANCEL -> world.cancel(listOf(JobId("job")))
        }
    }

    private fun step(owner: Int) {
        world.nowMillis += STEP_MILLIS
        world.step(owner, only(owner))
    }

    private fun pauseFirst(kind: CallKind) {
        pauseAt = kind
        step(FIRST)
        pauseAt = null
    }

    private fun before(owner: Int, kind: CallKind) {
        isStarting = kind == CallKind.START
        if (owner != FIRST || kind != pauseAt) return
        pauseAt = null
        repeat(STEPS_DURING_PAUSE) { step(SECOND) }
        isStarting = kind == CallKind.START
    }

    private fun only(owner: Int): Set<NodeId> = setOf(world.nodes[owner].id)

    private fun takeTableFault() = nextTableFault.also { nextTableFault = PortFault.NONE }

    private fun takeStartFault() = nextStartFault.also { nextStartFault = WorkerFault.NONE }

    private companion object {
        const val FIRST = 0
        const val SECOND = 1
        const val STEP_MILLIS = 2_500L
        const val TASK_MILLIS = 3_000L
        const val LAPSE_MILLIS = JobWorld.LEASE_MILLIS + JobWorld.MARGIN_MILLIS + 1
        const val STEPS_DURING_PAUSE = 2
        const val SETTLE_MILLIS = 120_000L
    }
}
