// What the parts of an owner share: the owned pools, the workers with tasks, and the jobs whose rows must be written.

package org.gypsumturn.jobs

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobState
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.isFinal
import org.gypsumturn.placement.JobEvent
import org.gypsumturn.placement.JobSizeEstimator
import org.gypsumturn.placement.TeamUsageTracker
import org.gypsumturn.ports.TaskKey

/** State of one owner. It belongs to the owner's thread. */
internal class OwnerState(val settings: JobOwnerSettings) {
    val pools: MutableMap<PoolId, OwnedPool> = HashMap()
    val sizes = JobSizeEstimator(settings.placement)
    val ledger = TeamUsageTracker()
    val workers: MutableMap<InstanceId, WorkerLink> = HashMap()

    /** Jobs to write, by urgency: starts of urgent jobs, then ends and returns, then other starts. */
    private val dirty = List(WRITE_RANKS) { LinkedHashSet<HeldJob>() }

    val dirtyCount: Int get() = dirty.sumOf { it.size }

    /** Adds [event] to [job] and marks its row to be written, if the event means anything. */
    fun record(job: HeldJob, event: JobEvent, nowMillis: Long) {
        if (job.add(event, nowMillis)) markDirty(job)
    }

    fun markDirty(job: HeldJob) {
        dirty.forEach { it -= job }
        if (job.isDirty) dirty[rankOf(job)] += job
    }

    fun unmark(job: HeldJob) {
        dirty.forEach { it -= job }
    }

    /** The next jobs to write, at most [max]. */
    fun nextDirty(max: Int): List<HeldJob> = dirty.asSequence().flatten().take(max).toList()

    fun awaitingStart(): Int = dirty[URGENT_START].size + dirty[OTHER_START].size

    /** Whether [job] is still held by an owned pool. */
    fun holds(job: HeldJob): Boolean = pools[job.pool.id] === job.pool && job.pool.jobs[job.record.spec.id] === job

    /** Lets [job]'s task be watched on its worker. */
    fun watch(job: HeldJob, nowMillis: Long) {
        val worker = job.record.worker ?: return
        val link = workers.getOrPut(worker) { WorkerLink(worker, job.pool, nowMillis) }
        link.tasks[job.record.spec.id] = job
    }

    /** No longer watches the task [key] on [worker]; its end is recorded, so the worker may forget it. */
    fun unwatch(worker: InstanceId, key: TaskKey) {
        val link = workers[worker] ?: return
        val watched = link.tasks[key.job]
        if (watched != null && watched.task != key) link.tasks.remove(key.job)
        link.toForget += key
    }

    /** Drops [pool] and all that is held of it; nothing of it will be written. */
    fun dropPool(pool: OwnedPool, nowMillis: Long) {
        pool.jobs.keys.forEach { pool.scheduler.release(it, nowMillis) }
        if (pools[pool.id] === pool) pools.remove(pool.id)
        dirty.forEach { rank -> rank.removeIf { it.pool === pool } }
        workers.values.removeIf { it.pool === pool }
    }

    /** Ends [job] in memory, once its row is final or gone. */
    fun dropJob(job: HeldJob, nowMillis: Long) {
        unmark(job)
        job.pool.drop(job.record.spec.id, nowMillis)
        job.record.worker?.let { workers[it]?.tasks?.remove(job.record.spec.id) }
    }

    private fun rankOf(job: HeldJob): Int = when {
        job.next.state != JobState.ASSIGNED || job.next.attempt == job.record.attempt -> ENDS
        job.next.state.isFinal -> ENDS
        job.record.spec.priority == Priority.URGENT -> URGENT_START
        else -> OTHER_START
    }

    private companion object {
        const val URGENT_START = 0
        const val ENDS = 1
        const val OTHER_START = 2
        const val WRITE_RANKS = 3
    }
}
