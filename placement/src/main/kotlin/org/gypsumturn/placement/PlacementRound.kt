// One round of decisions: which waiting jobs start where. Urgent jobs go first, then normal and batch ones; batch jobs
// that have waited too long get a part of the starts before normal ones. Within each the team that holds least for its
// share is next.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import java.util.PriorityQueue

/** Takes in a decision: the job holds the limit on the worker from now on. */
internal typealias Chosen = (WaitingJob, WorkerSlot, Capacity) -> Unit

/** Decides over the waiting jobs of one pool. */
internal class PlacementRound(
    private val slots: WorkerSlots,
    private val queues: JobQueues,
    private val preemption: Preemption,
    private val sizes: SizeLearner,
    private val ledger: TeamLedger,
    private val settings: PlacementSettings,
) {
    private val reservations = Reservations(slots)
    private val unfit = ArrayList<Capacity>()
    private val placements = ArrayList<Placement>()

    /** Since when others that came later have started in place of a job that found no room. */
    private val passedOverSince = HashMap<JobId, Long>()

    private var latestPlacedMillis = Long.MIN_VALUE

    /** Starts that batch jobs which have waited too long may have before normal ones. */
    private var batchCredit = 1.0

    fun run(nowMillis: Long, max: Int, chosen: Chosen): List<Placement> {
        placements.clear()
        unfit.clear()
        latestPlacedMillis = Long.MIN_VALUE
        if (queues.size == 0 || slots.all.isEmpty()) return emptyList()
        pass(Priority.URGENT, nowMillis, max, chosen) { true }
        unfit.clear()
        val aged = { job: WaitingJob -> nowMillis - job.sinceMillis >= settings.batchPatienceMillis }
        val credited = minOf(max, placements.size + batchCredit.toInt())
        batchCredit -= pass(Priority.BATCH, nowMillis, credited, chosen, aged)
        val normal = pass(Priority.NORMAL, nowMillis, max, chosen) { true }
        batchCredit = (batchCredit + normal * settings.batchShare).coerceAtMost(MAX_BATCH_CREDIT)
        pass(Priority.BATCH, nowMillis, max, chosen) { true }
        notePassedOver(nowMillis)
        reserveForPatient(nowMillis)
        return placements.toList()
    }

    /** Gives up what was remembered of a job that no longer waits. */
    fun forget(job: JobId) {
        reservations.drop(job)
        passedOverSince.remove(job)
    }

    fun restoreReservations() {
        reservations.restore()
    }

    fun unplaceable(nowMillis: Long): List<Unplaceable> {
        if (slots.all.isEmpty()) return emptyList()
        return heads().filter { nowMillis - it.sinceMillis >= settings.batchPatienceMillis }
            .filter { job -> slots.all.none { job.spec.declared.fitsIn(it.info.capacity) && fitsWhole(job, it) } }
            .map { Unplaceable(it.spec.id, "needs ${describe(it.spec.declared)}; no worker of the pool has that much") }
    }

    /** Places jobs of [priority] that are [due] until there are [max] placements; returns how many it placed. */
    private fun pass(
        priority: Priority,
        nowMillis: Long,
        max: Int,
        chosen: Chosen,
        due: (WaitingJob) -> Boolean,
    ): Int {
        if (queues.isEmpty(priority)) return 0
        val before = placements.size
        val order = PriorityQueue<TeamTurn>(compareBy({ it.weight }, { it.team }))
        queues.teams(priority).forEach { order += TeamTurn(it, ledger.weight(it)) }
        while (placements.size < max) {
            val turn = order.poll() ?: break
            val job = firstPlaced(turn.team, priority, nowMillis, chosen, due) ?: continue
            order += TeamTurn(job.spec.team, ledger.weight(job.spec.team))
        }
        return placements.size - before
    }

    private fun firstPlaced(
        team: TeamId,
        priority: Priority,
        nowMillis: Long,
        chosen: Chosen,
        due: (WaitingJob) -> Boolean,
    ): WaitingJob? {
        for (job in queues.heads(priority, team, LOOKAHEAD)) {
            if (!due(job)) return null
            val need = needOf(job)
            val slot = slotFor(job, need, nowMillis) ?: continue
            forget(job.spec.id)
            latestPlacedMillis = maxOf(latestPlacedMillis, job.sinceMillis)
            chosen(job, slot, need)
            placements += Placement(job.spec, slot.info.id, need)
            return job
        }
        return null
    }

    private fun slotFor(job: WaitingJob, need: Capacity, nowMillis: Long): WorkerSlot? {
        if (!ledger.allows(job.spec.team, need)) return null
        val reserved = reservations.slotOf(job.spec.id)
        if (reserved != null && reserved.isUsable && need.fitsIn(reserved.free)) return reserved
        if (job.spec.priority == Priority.URGENT) return urgentSlot(job, need, reserved, nowMillis)
        if (unfit.any { it.fitsIn(need) }) return null
        val found = slots.withRoom(need, urgent = false) { accepts(job, it) }
        if (found == null && job.avoid.isEmpty() && unfit.size < MAX_UNFIT) unfit += need
        return found
    }

    private fun urgentSlot(job: WaitingJob, need: Capacity, reserved: WorkerSlot?, nowMillis: Long): WorkerSlot? {
        val free = slots.withRoom(need, urgent = true) { accepts(job, it) }
        if (free != null) return free
        val throttled = slots.withRoomByThrottling(need) { accepts(job, it) }
        if (throttled != null) {
            preemption.throttle(throttled, need)
            return throttled
        }
        if (reserved != null) {
            preemption.stopLate(reserved, nowMillis)
            return null
        }
        val evicted = slots.withRoomByEviction(need) { accepts(job, it) } ?: return null
        preemption.evict(evicted, need, nowMillis)
        reservations.reserve(job.spec.id, evicted)
        return null
    }

    /** A job keeps away from workers on which it failed, as long as there are others for it. */
    private fun accepts(job: WaitingJob, slot: WorkerSlot): Boolean = slot.info.id !in job.avoid || !hasOthers(job)

    private fun hasOthers(job: WaitingJob): Boolean {
        val end = if (job.spec.priority == Priority.URGENT) slots.all.size else slots.urgentFrom
        return slots.all.any {
            it.position < end && it.isUsable && it.info.accepting && it.info.id !in job.avoid && fitsWhole(job, it)
        }
    }

    private fun notePassedOver(nowMillis: Long) {
        heads().filter { it.sinceMillis < latestPlacedMillis }
            .forEach { passedOverSince.putIfAbsent(it.spec.id, nowMillis) }
    }

    private fun reserveForPatient(nowMillis: Long) {
        val bound = maxOf(1, slots.all.size / WORKERS_PER_RESERVATION)
        if (reservations.count >= bound) return
        val patient =
            heads()
                .filter { it.spec.priority != Priority.URGENT && reservations.slotOf(it.spec.id) == null }
                .filter { nowMillis - (passedOverSince[it.spec.id] ?: nowMillis) >= settings.patienceMillis }
                .filter { ledger.allows(it.spec.team, needOf(it)) }
                .sortedBy { it.sinceMillis }
        for (job in patient.take(bound - reservations.count)) {
            slots.all
                .filter { it.reservedFor == null && it.isUsable && it.info.accepting && it.position < slots.urgentFrom }
                .filter { accepts(job, it) && fitsWhole(job, it) }
                .maxByOrNull { it.free.processorsMilli + it.free.accelerators * ACCELERATOR_MILLI }
                ?.let { reservations.reserve(job.spec.id, it) }
        }
    }

    private fun heads(): List<WaitingJob> = Priority.entries.flatMap { queues.first(it) }

    private fun fitsWhole(job: WaitingJob, slot: WorkerSlot): Boolean = needOf(job).fitsIn(slot.info.capacity)

    private fun needOf(job: WaitingJob): Capacity = larger(sizes.estimate(job.spec), job.used)

    private fun describe(capacity: Capacity): String =
        "${capacity.processorsMilli} millicores, ${capacity.memoryMib} MiB and ${capacity.accelerators} accelerators"

    private class TeamTurn(val team: TeamId, val weight: Double)

    private companion object {
        const val LOOKAHEAD = 64
        const val MAX_UNFIT = 16
        const val MAX_BATCH_CREDIT = 100.0
        const val WORKERS_PER_RESERVATION = 16
        const val ACCELERATOR_MILLI = 16_000L
    }
}

/** Workers that are kept free for one waiting job each. */
internal class Reservations(private val slots: WorkerSlots) {
    private val workerOf = HashMap<JobId, InstanceId>()

    val count: Int get() = workerOf.size

    fun slotOf(job: JobId): WorkerSlot? = workerOf[job]?.let { slots[it] }

    fun reserve(job: JobId, slot: WorkerSlot) {
        workerOf[job] = slot.info.id
        slot.reservedFor = job
        slots.refresh(slot)
    }

    fun drop(job: JobId) {
        val worker = workerOf.remove(job) ?: return
        val slot = slots[worker] ?: return
        if (slot.reservedFor != job) return
        slot.reservedFor = null
        slots.refresh(slot)
    }

    /** Marks the reserved workers again after the workers were replaced; one that takes no jobs is given up. */
    fun restore() {
        val kept = workerOf.filterValues { slots[it]?.info?.accepting == true }
        workerOf.clear()
        kept.forEach { (job, worker) -> slots[worker]?.let { reserve(job, it) } }
    }
}
