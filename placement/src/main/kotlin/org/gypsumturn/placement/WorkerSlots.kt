// The workers of a pool with what their jobs hold, kept in three indexes: free room, room if batch jobs were
// throttled, and room if jobs that can be repeated were taken off.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.Priority

/** A worker as the scheduler sees it. Only [accepting] workers get new jobs; a [draining] one is to be emptied. */
public data class WorkerCapacity(
    public val id: InstanceId,
    public val domain: FailureDomain,
    public val capacity: Capacity,
    public val accepting: Boolean,
    public val draining: Boolean = false,
)

/** What a job holds on a worker. */
internal class Holding(val spec: JobSpec, val worker: InstanceId, var limit: Capacity, val sinceMillis: Long) {
    var isThrottled = false
    var evictionAskedAtMillis: Long? = null
    var isStopAsked = false
    var isPreemptible = spec.idempotent && spec.priority != Priority.URGENT
    var peak: Capacity = Capacity.ZERO

    /** Processors that throttling would give back. */
    fun throttleGainMilli(share: Double): Long =
        if (isThrottled || spec.priority != Priority.BATCH) 0 else (limit.processorsMilli * (1 - share)).toLong()
}

/** One worker. */
internal class WorkerSlot(val position: Int, val info: WorkerCapacity) {
    var free: Capacity = info.capacity
    var throttleGainMilli: Long = 0
    var evictable: Capacity = Capacity.ZERO
    val holdings = LinkedHashMap<JobId, Holding>()

    /** Job for which the worker is kept free. */
    var reservedFor: JobId? = null
    var isUsable = true
}

/** The workers of one pool by position: those without accelerators first, neighbours in different racks. */
internal class WorkerSlots(private val settings: PlacementSettings) {
    var all: List<WorkerSlot> = emptyList()
        private set
    private var byId: Map<InstanceId, WorkerSlot> = emptyMap()
    private var roomTree = CapacityTree(1)
    private var throttleTree = CapacityTree(1)
    private var evictTree = CapacityTree(1)

    /** Positions from here on are kept for urgent jobs. */
    var urgentFrom: Int = 0
        private set

    operator fun get(id: InstanceId): WorkerSlot? = byId[id]

    /** Replaces the workers; holdings must be taken again. */
    fun rebuild(workers: Collection<WorkerCapacity>) {
        val ordered = inOrder(workers)
        all = ordered.mapIndexed { position, info -> WorkerSlot(position, info) }
        byId = all.associateBy { it.info.id }
        roomTree = CapacityTree(all.size)
        throttleTree = CapacityTree(all.size)
        evictTree = CapacityTree(all.size)
        urgentFrom = all.size - (all.size * settings.urgentReserve).toInt()
        all.forEach(::refresh)
    }

    fun take(holding: Holding) {
        val slot = byId[holding.worker] ?: return
        slot.holdings[holding.spec.id] = holding
        slot.free -= holding.limit
        slot.throttleGainMilli += holding.throttleGainMilli(settings.throttledShare)
        if (holding.isPreemptible) slot.evictable += holding.limit
        refresh(slot)
    }

    fun give(holding: Holding) {
        val slot = byId[holding.worker] ?: return
        if (slot.holdings.remove(holding.spec.id) == null) return
        slot.free += holding.limit
        slot.throttleGainMilli -= holding.throttleGainMilli(settings.throttledShare)
        if (holding.isPreemptible) slot.evictable -= holding.limit
        refresh(slot)
    }

    /** Applies [change] to a holding and keeps the indexes right. */
    fun change(holding: Holding, change: (Holding) -> Unit) {
        give(holding)
        change(holding)
        take(holding)
    }

    /** Brings the indexes in line with [slot]. */
    fun refresh(slot: WorkerSlot) {
        if (!slot.isUsable || !slot.info.accepting || slot.reservedFor != null) {
            listOf(roomTree, throttleTree, evictTree).forEach { it.hide(slot.position) }
            return
        }
        roomTree.set(slot.position, slot.free)
        throttleTree.set(slot.position, slot.free + Capacity(slot.throttleGainMilli, 0))
        evictTree.set(slot.position, slot.free + slot.evictable)
    }

    /** First worker with free room for [need]. */
    fun withRoom(need: Capacity, urgent: Boolean, accept: (WorkerSlot) -> Boolean): WorkerSlot? =
        slotAt(roomTree.first(need, if (urgent) all.size else urgentFrom) { accept(all[it]) })

    /** First worker with room for [need] once its batch jobs are throttled. */
    fun withRoomByThrottling(need: Capacity, accept: (WorkerSlot) -> Boolean): WorkerSlot? =
        slotAt(throttleTree.first(need, all.size) { accept(all[it]) })

    /** First worker with room for [need] once jobs are taken off it. */
    fun withRoomByEviction(need: Capacity, accept: (WorkerSlot) -> Boolean): WorkerSlot? =
        slotAt(evictTree.first(need, all.size) { accept(all[it]) })

    private fun slotAt(position: Int): WorkerSlot? = if (position == CapacityTree.NONE) null else all[position]

    private fun inOrder(workers: Collection<WorkerCapacity>): List<WorkerCapacity> {
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
