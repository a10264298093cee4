// State that the parts of an owner share: the owned pools, the workers with tasks, and the jobs whose rows must be
// written.

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

/** State of one owner. Only the thread of the owner may access it. */
internal class OwnerState(val settings: JobOwnerSettings) {
    val pools: MutableMap<PoolId, OwnedPool> = HashMap()
    val sizeEstimator = JobSizeEstimator(settings.placement)
    val teamUsageTracker = TeamUsageTracker()
    val trackedWorkers: MutableMap<InstanceId, TrackedWorker> = HashMap()

    /** Jobs to write, by priority: starts of urgent jobs, then ends and other changes, then other starts. */
    private val dirty = List(WRITE_RANKS) { LinkedHashSet<OpenJob>() }

    val dirtyCount: Int get() = dirty.sumOf { it.size }

    /** Adds [event] to [job] and marks its row to be written, if the event changes the record. */
    fun recordEvent(job: OpenJob, event: JobEvent, nowMillis: Long) {
        if (job.addEvent(event, nowMillis)) markDirty(job)
    }

    fun markDirty(job: OpenJob) {
        dirty.forEach { it -= job }
        if (job.isDirty) dirty[writeRankOf(job)] += job
    }

    fun unmarkDirty(job: OpenJob) {
        dirty.forEach { it -= job }
    }

    /** Returns the next jobs to write, at most [max]. */
    fun nextDirty(max: Int): List<OpenJob> = dirty.asSequence().flatten().take(max).toList()

    fun awaitingStartCount(): Int = dirty[URGENT_START].size + dirty[OTHER_START].size

    /** Whether [job] is still the current entry of its id in a pool that is still owned. */
    fun isCurrent(job: OpenJob): Boolean = pools[job.pool.id] === job.pool && job.pool.jobs[job.record.spec.id] === job

    /** Tracks the task of [job] on its worker, so that its lease is renewed and its reports are read. */
    fun trackTask(job: OpenJob, nowMillis: Long) {
        val worker = job.record.worker ?: return
        val trackedWorker = trackedWorkers.getOrPut(worker) { TrackedWorker(worker, job.pool, nowMillis) }
        trackedWorker.tasks[job.record.spec.id] = job
    }

    /** Stops tracking the task [key] on [worker]. Its end is recorded in the table, so the worker may forget it. */
    fun untrackTask(worker: InstanceId, key: TaskKey) {
        val trackedWorker = trackedWorkers[worker] ?: return
        val trackedJob = trackedWorker.tasks[key.job]
        if (trackedJob != null && trackedJob.task != key) trackedWorker.tasks.remove(key.job)
        trackedWorker.tasksToForget += key
    }

    /** Drops [pool] and its jobs from memory. Their pending changes are not written. */
    fun dropPool(pool: OwnedPool, nowMillis: Long) {
        pool.jobs.keys.forEach { pool.scheduler.release(it, nowMillis) }
        if (pools[pool.id] === pool) pools.remove(pool.id)
        dirty.forEach { rank -> rank.removeIf { it.pool === pool } }
        trackedWorkers.values.removeIf { it.pool === pool }
    }

    /** Drops [job] from memory, once its row is final or removed. */
    fun dropJob(job: OpenJob, nowMillis: Long) {
        unmarkDirty(job)
        job.pool.remove(job.record.spec.id, nowMillis)
        job.record.worker?.let { trackedWorkers[it]?.tasks?.remove(job.record.spec.id) }
    }

    private fun writeRankOf(job: OpenJob): Int = when {
        job.pendingRecord.state != JobState.ASSIGNED || job.pendingRecord.attempt == job.record.attempt -> END
        job.pendingRecord.state.isFinal -> END
        job.record.spec.priority == Priority.URGENT -> URGENT_START
        else -> OTHER_START
    }

    private companion object {
        const val URGENT_START = 0
        const val END = 1
        const val OTHER_START = 2
        const val WRITE_RANKS = 3
    }
}
