// What an owner keeps of one pool: the fence under which it writes, the unfinished jobs and the pool's scheduler.

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

/** A pool that this process owns under [epoch]. */
internal class OwnedPool(val id: PoolId, val epoch: Epoch, private val fence: Revision, val scheduler: PoolScheduler) {
    val jobs: MutableMap<JobId, HeldJob> = HashMap()

    /** Where loading stopped; null before the first page. */
    var loadedTo: RowKey? = null
    var isLoaded: Boolean = false
    private var membersVersion: ViewVersion? = null

    /** Requires that no other process has taken the pool. */
    fun fenceCondition(): Condition = Condition(JobRows.owner(id), fence)

    /** Takes in a row of the table, unless the job is known. */
    fun adopt(record: JobRecord, revision: Revision, nowMillis: Long, leaseUntilMillis: Long): HeldJob? {
        if (record.spec.id in jobs) return null
        val job = HeldJob(record, revision, this)
        jobs[record.spec.id] = job
        if (record.state.hasActiveAttempt) {
            job.leaseUntilMillis = leaseUntilMillis
            record.worker?.let { scheduler.allocate(record.spec, it, nowMillis) }
        } else {
            enqueue(job)
        }
        return job
    }

    /** Tells the scheduler of the pool's members, once for each version of the view. */
    fun useMembers(version: ViewVersion, members: List<WorkerCapacity>, nowMillis: Long) {
        if (version == membersVersion) return
        membersVersion = version
        scheduler.setWorkers(members, nowMillis)
    }

    /** Lets [job] wait for a worker. */
    fun enqueue(job: HeldJob) {
        val record = job.record
        scheduler.enqueue(WaitingJob(record.spec, record.acceptedAtMillis, record.failedOn.toSet(), job.used))
    }

    /** Forgets a job that has ended. */
    fun drop(id: JobId, nowMillis: Long) {
        jobs.remove(id)
        scheduler.forget(id, nowMillis)
    }
}

/** Tasks and silence of one worker. */
internal class WorkerLink(val id: InstanceId, val pool: OwnedPool, nowMillis: Long) {
    val tasks: MutableMap<JobId, HeldJob> = LinkedHashMap()
    val toForget: MutableSet<TaskKey> = LinkedHashSet()
    var nextRenewalMillis: Long = nowMillis
    var lastAnswerMillis: Long = nowMillis

    /** Whether the last call was not answered. */
    var isSuspect: Boolean = false

    val isIdle: Boolean get() = tasks.isEmpty() && toForget.isEmpty()
}
