// One round of placement, which decides which waiting jobs start on which workers. Urgent jobs go first, then normal,
// then batch jobs; batch jobs that have waited too long get a share of the starts before normal jobs. Within a
// priority, the team with the lowest usage per share is next.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import java.util.PriorityQueue

/** Called for each placed job, with its worker and the capacity to allocate; it must allocate the capacity at once. */
internal typealias PlacementHandler = (WaitingJob, WorkerState, Capacity) -> Unit

/** Places the waiting jobs of one pool. */
internal class PlacementRound(
    private val workers: WorkerIndex,
    private val queues: JobQueues,
    private val preemption: Preemption,
    private val sizeEstimator: JobSizeEstimator,
    private val teamUsage: TeamUsageTracker,
    private val settings: PlacementSettings,
) {
    private val reservations = Reservations(workers)

    /**
     * Needs for which no worker had room in this round. Jobs that need at least as much are skipped without a search.
     */
    private val needsWithoutRoom = ArrayList<Capacity>()
    private val placements = ArrayList<Placement>()

    /** Since when jobs that came later have started before a job that found no room. */
    private val passedOverSinceMillis = HashMap<JobId, Long>()

    /** Latest start of waiting among the jobs placed in this round. */
    private var newestPlacedSinceMillis = Long.MIN_VALUE

    /** Number of starts that batch jobs which have waited too long may have before normal jobs. */
    private var batchCredit = 1.0

    fun run(nowMillis: Long, max: Int, onPlaced: PlacementHandler): List<Placement> {
        placements.clear()
        needsWithoutRoom.clear()
        newestPlacedSinceMillis = Long.MIN_VALUE
        if (queues.size == 0 || workers.all.isEmpty()) return emptyList()
        placePriority(Priority.URGENT, nowMillis, max, onPlaced) { true }
        needsWithoutRoom.clear()
        val aged = { job: WaitingJob -> nowMillis - job.waitingSinceMillis >= settings.batchAgingMillis }
        val batchLimit = minOf(max, placements.size + batchCredit.toInt())
        batchCredit -= placePriority(Priority.BATCH, nowMillis, batchLimit, onPlaced, aged)
        val normal = placePriority(Priority.NORMAL, nowMillis, max, onPlaced) { true }
        batchCredit = (batchCredit + normal * settings.agedBatchShare).coerceAtMost(MAX_BATCH_CREDIT)
        placePriority(Priority.BATCH, nowMillis, max, onPlaced) { true }
        recordPassedOver(nowMillis)
        reserveForPassedOver(nowMillis)
        return placements.toList()
    }

    /** Removes the state of a job that no longer waits. */
    fun forget(job: JobId) {
        reservations.release(job)
        passedOverSinceMillis.remove(job)
    }

    fun restoreReservations() {
        reservations.restore()
    }

    fun unplaceableJobs(nowMillis: Long): List<Unplaceable> {
        if (workers.all.isEmpty()) return emptyList()
        return queueHeads().filter { nowMillis - it.waitingSinceMillis >= settings.batchAgingMillis }
            .filter { job ->
                workers.all.none { job.spec.declared.fitsIn(it.info.capacity) && fitsEmptyWorker(job, it) }
            }
            .map { Unplaceable(it.spec.id, "needs ${describe(it.spec.declared)}; no worker of the pool has that much") }
    }

    /**
     * Places jobs of [priority] that meet [isDue] until there are [max] placements in total. Returns how many it
     * placed.
     */
    private fun placePriority(
        priority: Priority,
        nowMillis: Long,
        max: Int,
        onPlaced: PlacementHandler,
        isDue: (WaitingJob) -> Boolean,
    ): Int {
        if (queues.isEmpty(priority)) return 0
        val before = placements.size
        val order = PriorityQueue<TeamTurn>(compareBy({ it.usagePerShare }, { it.team }))
        queues.teams(priority).forEach { order += TeamTurn(it, teamUsage.usagePerShare(it)) }
        while (placements.size < max) {
            val turn = order.poll() ?: break
            val job = placeFirstFitting(turn.team, priority, nowMillis, onPlaced, isDue) ?: continue
            order += TeamTurn(job.spec.team, teamUsage.usagePerShare(job.spec.team))
        }
        return placements.size - before
    }

    private fun placeFirstFitting(
        team: TeamId,
        priority: Priority,
        nowMillis: Long,
        onPlaced: PlacementHandler,
        isDue: (WaitingJob) -> Boolean,
    ): WaitingJob? {
        for (job in queues.firstJobs(priority, team, LOOKAHEAD)) {
            if (!isDue(job)) return null
            val need = needOf(job)
            val worker = findWorker(job, need, nowMillis) ?: continue
            forget(job.spec.id)
            newestPlacedSinceMillis = maxOf(newestPlacedSinceMillis, job.waitingSinceMillis)
            onPlaced(job, worker, need)
            placements += Placement(job.spec, worker.info.id, need)
            return job
        }
        return null
    }

    private fun findWorker(job: WaitingJob, need: Capacity, nowMillis: Long): WorkerState? {
        if (!teamUsage.allows(job.spec.team, need)) return null
        val reserved = reservations.workerFor(job.spec.id)
        if (reserved != null && reserved.isUsable && need.fitsIn(reserved.free)) return reserved
        if (job.spec.priority == Priority.URGENT) return findUrgentWorker(job, need, reserved, nowMillis)
        if (needsWithoutRoom.any { it.fitsIn(need) }) return null
        val found = workers.firstWithRoom(need, urgent = false) { mayRunOn(job, it) }
        if (found == null && job.avoidedWorkers.isEmpty() && needsWithoutRoom.size < MAX_NEEDS) needsWithoutRoom += need
        return found
    }

    private fun findUrgentWorker(
        job: WaitingJob,
        need: Capacity,
        reserved: WorkerState?,
        nowMillis: Long,
    ): WorkerState? {
        val free = workers.firstWithRoom(need, urgent = true) { mayRunOn(job, it) }
        if (free != null) return free
        val throttled = workers.firstWithRoomByThrottling(need) { mayRunOn(job, it) }
        if (throttled != null) {
            preemption.throttle(throttled, need)
            return throttled
        }
        if (reserved != null) {
            preemption.stopOverdue(reserved, nowMillis)
            return null
        }
        val evicted = workers.firstWithRoomByEviction(need) { mayRunOn(job, it) } ?: return null
        preemption.evict(evicted, need, nowMillis)
        reservations.reserve(job.spec.id, evicted)
        return null
    }

    /** A job avoids workers on which it failed, as long as other workers can run it. */
    private fun mayRunOn(job: WaitingJob, worker: WorkerState): Boolean =
        worker.info.id !in job.avoidedWorkers || !hasOtherWorkers(job)

    private fun hasOtherWorkers(job: WaitingJob): Boolean {
        val end = if (job.spec.priority == Priority.URGENT) workers.all.size else workers.urgentReserveStart
        return workers.all.any {
            it.position < end &&
                it.isUsable &&
                it.info.accepting &&
                it.info.id !in job.avoidedWorkers &&
                fitsEmptyWorker(job, it)
        }
    }

    private fun recordPassedOver(nowMillis: Long) {
        queueHeads().filter { it.waitingSinceMillis < newestPlacedSinceMillis }
            .forEach { passedOverSinceMillis.putIfAbsent(it.spec.id, nowMillis) }
    }

    private fun reserveForPassedOver(nowMillis: Long) {
        val bound = maxOf(1, workers.all.size / WORKERS_PER_RESERVATION)
        if (reservations.count >= bound) return
        val passedOver =
            queueHeads()
                .filter { it.spec.priority != Priority.URGENT && reservations.workerFor(it.spec.id) == null }
                .filter {
                    nowMillis - (passedOverSinceMillis[it.spec.id] ?: nowMillis) >= settings.reservationDelayMillis
                }
                .filter { teamUsage.allows(it.spec.team, needOf(it)) }
                .sortedBy { it.waitingSinceMillis }
        for (job in passedOver.take(bound - reservations.count)) {
            workers.all
                .filter {
                    it.reservedFor == null &&
                        it.isUsable &&
                        it.info.accepting &&
                        it.position < workers.urgentReserveStart
                }
                .filter { mayRunOn(job, it) && fitsEmptyWorker(job, it) }
                .maxByOrNull { it.free.processorsMilli + it.free.accelerators * ACCELERATOR_WEIGHT_MILLI }
                ?.let { reservations.reserve(job.spec.id, it) }
        }
    }

    private fun queueHeads(): List<WaitingJob> = Priority.entries.flatMap { queues.queueHeads(it) }

    private fun fitsEmptyWorker(job: WaitingJob, worker: WorkerState): Boolean =
        needOf(job).fitsIn(worker.info.capacity)

    private fun needOf(job: WaitingJob): Capacity = larger(sizeEstimator.estimateCapacity(job.spec), job.observedUsage)

    private fun describe(capacity: Capacity): String =
        "${capacity.processorsMilli} millicores, ${capacity.memoryMib} MiB and ${capacity.accelerators} accelerators"

    private class TeamTurn(val team: TeamId, val usagePerShare: Double)

    private companion object {
        /** Number of jobs at the head of a team's queue that are tried in one turn. */
        const val LOOKAHEAD = 64
        const val MAX_NEEDS = 16
        const val MAX_BATCH_CREDIT = 100.0
        const val WORKERS_PER_RESERVATION = 16

        /** Number of processors, in millicores, that one accelerator counts as. */
        const val ACCELERATOR_WEIGHT_MILLI = 16_000L
    }
}

/** Workers that are reserved, each for one waiting job. */
internal class Reservations(private val workers: WorkerIndex) {
    private val workerByJob = HashMap<JobId, InstanceId>()

    val count: Int get() = workerByJob.size

    fun workerFor(job: JobId): WorkerState? = workerByJob[job]?.let { workers[it] }

    fun reserve(job: JobId, worker: WorkerState) {
        workerByJob[job] = worker.info.id
        worker.reservedFor = job
        workers.updateIndexes(worker)
    }

    fun release(job: JobId) {
        val workerId = workerByJob.remove(job) ?: return
        val worker = workers[workerId] ?: return
        if (worker.reservedFor != job) return
        worker.reservedFor = null
        workers.updateIndexes(worker)
    }

    /**
     * Restores the reservations after the workers were replaced. A reservation of a worker that takes no jobs is
     * dropped.
     */
    fun restore() {
        val kept = workerByJob.filterValues { workers[it]?.info?.accepting == true }
        workerByJob.clear()
        kept.forEach { (job, workerId) -> workers[workerId]?.let { reserve(job, it) } }
    }
}
