// Index of the workers of a pool and the capacity allocated on them. It keeps three search trees: by free capacity, by
// free capacity if batch jobs were throttled, and by free capacity if jobs that can be run again were evicted.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.Priority

/** A worker as input of the scheduler. Only [accepting] workers get new jobs; a [draining] worker has to be emptied. */
public data class WorkerCapacity(
    public val id: InstanceId,
    public val domain: FailureDomain,
    public val capacity: Capacity,
    public val accepting: Boolean,
    public val draining: Boolean = false,
)

/** Capacity that is allocated to a job on a worker. */
internal class Allocation(val spec: JobSpec, val worker: InstanceId, var limit: Capacity, val startedMillis: Long) {
    var isThrottled = false
    var evictionRequestedMillis: Long? = null
    var isStopRequested = false
    var isPreemptible = spec.idempotent && spec.priority != Priority.URGENT
    var peakUsage: Capacity = Capacity.ZERO

    /** Processors, in millicores, that throttling this job would free. */
    fun throttleGainMilli(share: Double): Long =
        if (isThrottled || spec.priority != Priority.BATCH) 0 else (limit.processorsMilli * (1 - share)).toLong()
}

/** The allocations and the scheduling state of one worker. */
internal class WorkerState(val position: Int, val info: WorkerCapacity) {
    var free: Capacity = info.capacity
    var throttleGainMilli: Long = 0
    var evictableCapacity: Capacity = Capacity.ZERO
    val allocations = LinkedHashMap<JobId, Allocation>()

    /** The job for which the worker is reserved. */
    var reservedFor: JobId? = null
    var isUsable = true
}

/**
 * The workers of one pool, ordered by position. Workers without accelerators come first, and neighbours are in
 * different racks.
 */
internal class WorkerIndex(private val settings: PlacementSettings) {
    var all: List<WorkerState> = emptyList()
        private set
    private var byId: Map<InstanceId, WorkerState> = emptyMap()
    private var roomTree = CapacityTree(1)
    private var throttleTree = CapacityTree(1)
    private var evictTree = CapacityTree(1)

    /** First position that is reserved for urgent jobs. */
    var urgentReserveStart: Int = 0
        private set

    operator fun get(id: InstanceId): WorkerState? = byId[id]

    /** Replaces the workers. The allocations must be added again. */
    fun rebuild(workers: Collection<WorkerCapacity>) {
        val ordered = inPlacementOrder(workers)
        all = ordered.mapIndexed { position, info -> WorkerState(position, info) }
        byId = all.associateBy { it.info.id }
        roomTree = CapacityTree(all.size)
        throttleTree = CapacityTree(all.size)
        evictTree = CapacityTree(all.size)
        urgentReserveStart = all.size - (all.size * settings.urgentReserve).toInt()
        all.forEach(::updateIndexes)
    }

    fun addAllocation(allocation: Allocation) {
        val worker = byId[allocation.worker] ?: return
        worker.allocations[allocation.spec.id] = allocation
        worker.free -= allocation.limit
        worker.throttleGainMilli += allocation.throttleGainMilli(settings.throttledShare)
        if (allocation.isPreemptible) worker.evictableCapacity += allocation.limit
        updateIndexes(worker)
    }

    fun removeAllocation(allocation: Allocation) {
        val worker = byId[allocation.worker] ?: return
        if (worker.allocations.remove(allocation.spec.id) == null) return
        worker.free += allocation.limit
        worker.throttleGainMilli -= allocation.throttleGainMilli(settings.throttledShare)
        if (allocation.isPreemptible) worker.evictableCapacity -= allocation.limit
        updateIndexes(worker)
    }

    /** Applies [change] to an allocation and updates the search trees. */
    fun updateAllocation(allocation: Allocation, change: (Allocation) -> Unit) {
        removeAllocation(allocation)
        change(allocation)
        addAllocation(allocation)
    }

    /** Updates the search trees for [worker]. */
    fun updateIndexes(worker: WorkerState) {
        if (!worker.isUsable || !worker.info.accepting || worker.reservedFor != null) {
            listOf(roomTree, throttleTree, evictTree).forEach { it.hide(worker.position) }
            return
        }
        roomTree.set(worker.position, worker.free)
        throttleTree.set(worker.position, worker.free + Capacity(worker.throttleGainMilli, 0))
        evictTree.set(worker.position, worker.free + worker.evictableCapacity)
    }

    /** First worker that [accept] takes with free capacity for [need]. Only an urgent job may use the reserve. */
    fun firstWithRoom(need: Capacity, urgent: Boolean, accept: (WorkerState) -> Boolean): WorkerState? =
        workerAt(roomTree.firstFitting(need, if (urgent) all.size else urgentReserveStart) { accept(all[it]) })

    /** First worker with room for [need] if its batch jobs are throttled. */
    fun firstWithRoomByThrottling(need: Capacity, accept: (WorkerState) -> Boolean): WorkerState? =
        workerAt(throttleTree.firstFitting(need, all.size) { accept(all[it]) })

    /** First worker with room for [need] if jobs are evicted from it. */
    fun firstWithRoomByEviction(need: Capacity, accept: (WorkerState) -> Boolean): WorkerState? =
        workerAt(evictTree.firstFitting(need, all.size) { accept(all[it]) })

    private fun workerAt(position: Int): WorkerState? = if (position == CapacityTree.NONE) null else all[position]

    private fun inPlacementOrder(workers: Collection<WorkerCapacity>): List<WorkerCapacity> {
        val rankInRack =
            workers.groupBy { it.domain }.values
                .flatMap { rack -> rack.sortedBy { it.id }.mapIndexed { rank, worker -> worker.id to rank } }
                .toMap()
        return workers.sortedWith(
            compareBy<WorkerCapacity> { it.capacity.accelerators }
                .thenBy { rankInRack.getValue(it.id) }
                .thenBy { it.domain.rack }
                .thenBy { it.id },
        )
    }
}
