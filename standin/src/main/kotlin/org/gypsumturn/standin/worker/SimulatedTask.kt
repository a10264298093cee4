// One task on a simulated worker. It has no timer: each call computes its progress and state up to the current time.

package org.gypsumturn.standin.worker

import org.gypsumturn.model.Capacity
import org.gypsumturn.ports.TaskAction
import org.gypsumturn.ports.TaskKey
import org.gypsumturn.ports.TaskReport
import org.gypsumturn.ports.TaskStart
import org.gypsumturn.ports.TaskState
import org.gypsumturn.standin.fault.InstanceFault
import org.gypsumturn.standin.fault.SLOW_FACTOR

/** Factor by which throttling lowers the processor usage of a task and the speed of its progress. */
private const val THROTTLE_FACTOR = 2

internal class SimulatedTask(private val start: TaskStart, fault: InstanceFault, private val startedMillis: Long) {
    private val payload = TaskPayload.parse(start.payload)
    private val fails = payload.fails || fault == InstanceFault.FAIL_TASKS
    private val endless = fault == InstanceFault.NEVER_RETURN
    private val slowdown = if (fault == InstanceFault.SLOW) SLOW_FACTOR else 1
    private var doneMillis = if (fault ==
        InstanceFault.FAIL_TASKS
    ) {
        payload.runMillis
    } else {
        doneMillisOf(start.checkpoint)
    }
    private var updatedMillis = startedMillis
    private var leaseUntilMillis = startedMillis + start.leaseMillis
    private var throttled = false
    private var endedMillis = startedMillis
    private var output = ""

    val key: TaskKey get() = start.key

    var state = TaskState.RUNNING
        private set

    fun renew(leaseMillis: Long, nowMillis: Long) {
        advance(nowMillis)
        if (state == TaskState.RUNNING) leaseUntilMillis = nowMillis + leaseMillis
    }

    fun act(action: TaskAction, nowMillis: Long) {
        advance(nowMillis)
        if (state != TaskState.RUNNING) return
        when (action) {
            TaskAction.THROTTLE -> throttled = true
            TaskAction.UNTHROTTLE -> throttled = false
            TaskAction.STOP -> end(TaskState.STOPPED, nowMillis, "")
            TaskAction.CHECKPOINT -> end(TaskState.CHECKPOINTED, nowMillis, checkpointText(doneMillis))
        }
    }

    fun report(nowMillis: Long, usageLagMillis: Long): TaskReport {
        advance(nowMillis)
        val ranMillis = (if (state == TaskState.RUNNING) nowMillis else endedMillis) - startedMillis
        val usage = if (nowMillis - startedMillis < usageLagMillis) Capacity.ZERO else currentUsage()
        return TaskReport(key, state, usage, ranMillis, output)
    }

    private fun currentUsage(): Capacity = if (throttled) {
        payload.usage.copy(
            processorsMilli = payload.usage.processorsMilli / THROTTLE_FACTOR,
        )
    } else {
        payload.usage
    }

    /** Updates the task to [nowMillis]. It ends when its work is done or its lease lapses, whichever comes first. */
    fun advance(nowMillis: Long) {
        if (state != TaskState.RUNNING) return
        val factor = slowdown * (if (throttled) THROTTLE_FACTOR else 1)
        val finishMillis =
            if (endless) Long.MAX_VALUE else updatedMillis + (payload.runMillis - doneMillis).coerceAtLeast(0) * factor
        val reachedMillis = minOf(nowMillis, finishMillis, leaseUntilMillis)
        doneMillis += (reachedMillis - updatedMillis).coerceAtLeast(0) / factor
        updatedMillis = nowMillis
        when {
            finishMillis <= minOf(nowMillis, leaseUntilMillis) -> finish(finishMillis)
            leaseUntilMillis <= nowMillis -> end(TaskState.LEASE_LAPSED, leaseUntilMillis, checkpointText(doneMillis))
        }
    }

    private fun finish(atMillis: Long) {
        if (fails) end(TaskState.FAILED, atMillis, "failed") else end(TaskState.FINISHED, atMillis, "done ${key.job}")
    }

    private fun end(endState: TaskState, atMillis: Long, text: String) {
        state = endState
        endedMillis = atMillis
        output = text
    }
}
