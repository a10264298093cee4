// Makes room for urgent jobs on a full worker. It first throttles batch jobs, then asks jobs that can be run again to
// checkpoint, and stops those that do not. The number of times that a job is evicted is limited, so that it can still
// finish.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Priority

/** Action on a running job. */
public enum class RunningAction { THROTTLE, UNTHROTTLE, CHECKPOINT, STOP }

/** A requested action on the running attempt of [job]. */
public data class JobAction(public val job: JobId, public val action: RunningAction)

/** Chooses the running jobs that are throttled or evicted, and collects the actions for their workers. */
internal class Preemption(private val workers: WorkerIndex, private val settings: PlacementSettings) {
    private val actions = HashMap<InstanceId, MutableList<JobAction>>()
    private val preemptionCounts = HashMap<JobId, Int>()

    fun hasActions(worker: InstanceId): Boolean = worker in actions

    fun takeActions(worker: InstanceId): List<JobAction> = actions.remove(worker).orEmpty()

    fun returnActions(worker: InstanceId, kept: List<JobAction>) {
        if (kept.isNotEmpty()) actions.getOrPut(worker) { mutableListOf() } += kept
    }

    fun mayPreempt(job: JobId): Boolean = (preemptionCounts[job] ?: 0) < settings.maxPreemptions

    fun forget(job: JobId) {
        preemptionCounts.remove(job)
    }

    /** Throttles batch jobs on [worker] until [need] fits. */
    fun throttle(worker: WorkerState, need: Capacity) {
        val batch = worker.allocations.values.filter { it.throttleGainMilli(settings.throttledShare) > 0 }
        for (allocation in batch.sortedByDescending { it.limit.processorsMilli }) {
            if (need.fitsIn(worker.free)) return
            workers.updateAllocation(allocation) {
                it.limit -= Capacity(it.throttleGainMilli(settings.throttledShare), 0)
                it.isThrottled = true
            }
            addAction(allocation, RunningAction.THROTTLE)
        }
    }

    /** Restores the processors of throttled jobs on [worker] as far as there is room. */
    fun unthrottle(worker: WorkerState) {
        for (allocation in worker.allocations.values.filter { it.isThrottled }) {
            val full = (allocation.limit.processorsMilli / settings.throttledShare).toLong()
            if (worker.free.processorsMilli < full - allocation.limit.processorsMilli) return
            workers.updateAllocation(allocation) {
                it.limit = it.limit.copy(processorsMilli = full)
                it.isThrottled = false
            }
            addAction(allocation, RunningAction.UNTHROTTLE)
        }
    }

    /**
     * Asks jobs on [worker] to checkpoint until [need] would fit. Batch jobs go first, then those that started last.
     */
    fun evict(worker: WorkerState, need: Capacity, nowMillis: Long) {
        val evicting = worker.allocations.values.filter { it.evictionRequestedMillis != null }
        var room = evicting.fold(worker.free) { sum, allocation -> sum + allocation.limit }
        val candidates =
            worker.allocations.values
                .filter { it.isPreemptible && it.evictionRequestedMillis == null }
                .sortedWith(EVICTION_ORDER)
        for (allocation in candidates) {
            if (need.fitsIn(room)) return
            if (!reducesShortage(allocation.limit, need - room)) continue
            allocation.evictionRequestedMillis = nowMillis
            preemptionCounts.merge(allocation.spec.id, 1, Int::plus)
            room += allocation.limit
            addAction(allocation, RunningAction.CHECKPOINT)
        }
    }

    /** Stops jobs on [worker] that were asked to checkpoint and did not do so in time. */
    fun stopOverdue(worker: WorkerState, nowMillis: Long) {
        for (allocation in worker.allocations.values) {
            val requestedMillis = allocation.evictionRequestedMillis ?: continue
            if (allocation.isStopRequested || nowMillis - requestedMillis < settings.checkpointTimeoutMillis) continue
            allocation.isStopRequested = true
            addAction(allocation, RunningAction.STOP)
        }
    }

    /** Asks all idempotent jobs on a draining worker to checkpoint. */
    fun drain(worker: WorkerState, nowMillis: Long) {
        worker.allocations.values.filter { it.spec.idempotent && it.evictionRequestedMillis == null }.forEach {
            it.evictionRequestedMillis = nowMillis
            addAction(it, RunningAction.CHECKPOINT)
        }
    }

    private fun reducesShortage(limit: Capacity, missing: Capacity): Boolean =
        (missing.processorsMilli > 0 && limit.processorsMilli > 0) ||
            (missing.memoryMib > 0 && limit.memoryMib > 0) ||
            (missing.accelerators > 0 && limit.accelerators > 0)

    private companion object {
        val EVICTION_ORDER: Comparator<Allocation> =
            compareBy<Allocation> { it.spec.priority != Priority.BATCH }.thenByDescending { it.startedMillis }
    }

    private fun addAction(allocation: Allocation, action: RunningAction) {
        actions.getOrPut(allocation.worker) { mutableListOf() } += JobAction(allocation.spec.id, action)
    }
}
