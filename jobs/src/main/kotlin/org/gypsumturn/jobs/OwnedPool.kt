// State of one owned pool: the fence that guards the owner's writes, the open jobs and the scheduler. Also the state of
// one worker with tasks of the pool.

package org.gypsumturn.jobs

import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.placement.PoolScheduler
import org.gypsumturn.placement.WaitingJob
import org.gypsumturn.placement.WorkerCapacity
import org.gypsumturn.placement.hasActiveAttempt
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TaskKey

/**
 * A pool that this process owns under [epoch].
 *
 * @property ownerRowRevision revision of the pool's owner row as claimed by this process, which serves as the fence
 */
internal class OwnedPool(
    val id: PoolId,
    val epoch: Epoch,
    private val ownerRowRevision: Revision,
    val scheduler: PoolScheduler,
) {
    val jobs: MutableMap<JobId, OpenJob> = HashMap()

    /** Key of the last row that was loaded, null before the first page. */
    var lastLoadedKey: RowKey? = null
    var isLoaded: Boolean = false
    private var membersVersion: ViewVersion? = null

    /** Returns the condition under which a commit fails if another process has taken the pool. */
    fun fenceCondition(): Condition = Condition(JobRows.owner(id), ownerRowRevision)

    /** Adds the job of a row that was read from the table. Returns null if the job is already known. */
    fun adopt(record: JobRecord, revision: Revision, nowMillis: Long, leaseUntilMillis: Long): OpenJob? {
        if (record.spec.id in jobs) return null
        val job = OpenJob(record, revision, this)
        jobs[record.spec.id] = job
        if (record.state.hasActiveAttempt) {
            job.leaseUntilMillis = leaseUntilMillis
            record.worker?.let { scheduler.allocate(record.spec, it, nowMillis) }
        } else {
            enqueue(job)
        }
        return job
    }

    /** Passes the members of the pool to the scheduler, once for each version of the view. */
    fun updateMembers(version: ViewVersion, members: List<WorkerCapacity>, nowMillis: Long) {
        if (version == membersVersion) return
        membersVersion = version
        scheduler.setWorkers(members, nowMillis)
    }

    /** Queues [job] for placement on a worker. */
    fun enqueue(job: OpenJob) {
        val record = job.record
        scheduler.enqueue(WaitingJob(record.spec, record.acceptedAtMillis, record.failedOn.toSet(), job.observedUsage))
    }

    /** Removes a job that has ended. */
    fun remove(id: JobId, nowMillis: Long) {
        jobs.remove(id)
        scheduler.removeJob(id, nowMillis)
    }
}

/** A worker with tasks of an owned pool, and when it was last called and last answered. */
internal class TrackedWorker(val id: InstanceId, val pool: OwnedPool, nowMillis: Long) {
    val tasks: MutableMap<JobId, OpenJob> = LinkedHashMap()
    val tasksToForget: MutableSet<TaskKey> = LinkedHashSet()
    var nextRenewalMillis: Long = nowMillis
    var lastAnswerMillis: Long = nowMillis

    /** Whether the last call was not answered. */
    var isUnresponsive: Boolean = false

    val isIdle: Boolean get() = tasks.isEmpty() && tasksToForget.isEmpty()
}
