// Makes room for urgent jobs on a full worker: throttles batch jobs first, then has jobs that can be repeated
// checkpoint, and stops them last. A job is taken off at most a few times, so that it still ends.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Priority

/** What is to be done to a running job. */
public enum class RunningAction { THROTTLE, UNTHROTTLE, CHECKPOINT, STOP }

/** An action on a job. */
public data class JobAction(public val job: JobId, public val action: RunningAction)

/** Chooses which running jobs give way. */
internal class Preemption(private val slots: WorkerSlots, private val settings: PlacementSettings) {
    private val actions = HashMap<InstanceId, MutableList<JobAction>>()
    private val timesTaken = HashMap<JobId, Int>()

    fun hasActions(worker: InstanceId): Boolean = worker in actions

    fun takeActions(worker: InstanceId): List<JobAction> = actions.remove(worker).orEmpty()

    fun giveBack(worker: InstanceId, kept: List<JobAction>) {
        if (kept.isNotEmpty()) actions.getOrPut(worker) { mutableListOf() } += kept
    }

    fun mayTake(job: JobId): Boolean = (timesTaken[job] ?: 0) < settings.maxPreemptions

    fun forget(job: JobId) {
        timesTaken.remove(job)
    }

    /** Throttles batch jobs on [slot] until [need] fits. */
    fun throttle(slot: WorkerSlot, need: Capacity) {
        val batch = slot.holdings.values.filter { it.throttleGainMilli(settings.throttledShare) > 0 }
        for (holding in batch.sortedByDescending { it.limit.processorsMilli }) {
            if (need.fitsIn(slot.free)) return
            slots.change(holding) {
                it.limit -= Capacity(it.throttleGainMilli(settings.throttledShare), 0)
                it.isThrottled = true
            }
            ask(holding, RunningAction.THROTTLE)
        }
    }

    /** Lets throttled jobs on [slot] have their processors back where there is room. */
    fun unthrottle(slot: WorkerSlot) {
        for (holding in slot.holdings.values.filter { it.isThrottled }) {
            val full = (holding.limit.processorsMilli / settings.throttledShare).toLong()
            if (slot.free.processorsMilli < full - holding.limit.processorsMilli) return
            slots.change(holding) {
                it.limit = it.limit.copy(processorsMilli = full)
                it.isThrottled = false
            }
            ask(holding, RunningAction.UNTHROTTLE)
        }
    }

    /** Has jobs on [slot] checkpoint until [need] would fit. Batch jobs and the youngest attempts go first. */
    fun evict(slot: WorkerSlot, need: Capacity, nowMillis: Long) {
        val leaving = slot.holdings.values.filter { it.evictionAskedAtMillis != null }
        var room = leaving.fold(slot.free) { sum, holding -> sum + holding.limit }
        val candidates =
            slot.holdings.values
                .filter { it.isPreemptible && it.evictionAskedAtMillis == null }
                .sortedWith(GIVES_WAY_FIRST)
        for (holding in candidates) {
            if (need.fitsIn(room)) return
            if (!helps(holding.limit, need - room)) continue
            holding.evictionAskedAtMillis = nowMillis
            timesTaken.merge(holding.spec.id, 1, Int::plus)
            room += holding.limit
            ask(holding, RunningAction.CHECKPOINT)
        }
    }

    /** Stops jobs on [slot] that were asked to checkpoint and did not in time. */
    fun stopLate(slot: WorkerSlot, nowMillis: Long) {
        for (holding in slot.holdings.values) {
            val asked = holding.evictionAskedAtMillis ?: continue
            if (holding.isStopAsked || nowMillis - asked < settings.stopAfterMillis) continue
            holding.isStopAsked = true
            ask(holding, RunningAction.STOP)
        }
    }

    /** Has all jobs that can be repeated leave a draining worker by a checkpoint. */
    fun drain(slot: WorkerSlot, nowMillis: Long) {
        slot.holdings.values.filter { it.spec.idempotent && it.evictionAskedAtMillis == null }.forEach {
            it.evictionAskedAtMillis = nowMillis
            ask(it, RunningAction.CHECKPOINT)
        }
    }

    private fun helps(limit: Capacity, missing: Capacity): Boolean =
        (missing.processorsMilli > 0 && limit.processorsMilli > 0) ||
            (missing.memoryMib > 0 && limit.memoryMib > 0) ||
            (missing.accelerators > 0 && limit.accelerators > 0)

    private companion object {
        val GIVES_WAY_FIRST: Comparator<Holding> =
            compareBy<Holding> { it.spec.priority != Priority.BATCH }.thenByDescending { it.sinceMillis }
    }

    private fun ask(holding: Holding, action: RunningAction) {
        actions.getOrPut(holding.worker) { mutableListOf() } += JobAction(holding.spec.id, action)
    }
}
