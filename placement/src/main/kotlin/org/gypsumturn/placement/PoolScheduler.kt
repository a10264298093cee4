// Schedules the jobs of one pool on its workers. It is deterministic and does no I/O: the owner of the pool reports
// workers, jobs and results to it, and asks it which waiting jobs start on which workers.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec

/**
 * A job that has been waiting since [waitingSinceMillis].
 *
 * @property avoidedWorkers workers on which the job has failed
 * @property observedUsage usage observed in earlier attempts; at least this much is allocated to the job
 */
public data class WaitingJob(
    public val spec: JobSpec,
    public val waitingSinceMillis: Long,
    public val avoidedWorkers: Set<InstanceId> = emptySet(),
    public val observedUsage: Capacity = Capacity.ZERO,
)

/** A placement decision: [job] starts on [worker] with the capacity [limit] allocated to it. */
public data class Placement(public val job: JobSpec, public val worker: InstanceId, public val limit: Capacity)

/** A job that cannot run in its pool, and the reason. */
public data class Unplaceable(public val job: JobId, public val reason: String)

/**
 * Schedules the jobs of one pool. Not thread-safe.
 *
 * @param sizeEstimator statistics of the job classes; several pools may share them
 * @param teamUsage capacity that the teams use; shared by all pools of one owner
 */
public class PoolScheduler(
    private val settings: PlacementSettings = PlacementSettings(),
    private val sizeEstimator: JobSizeEstimator = JobSizeEstimator(settings),
    private val teamUsage: TeamUsageTracker = TeamUsageTracker(),
) {
    private val workers = WorkerIndex(settings)
    private val queues = JobQueues()
    private val allocations = HashMap<JobId, Allocation>()
    private val failureClassifier = FailureClassifier()
    private val preemption = Preemption(workers, settings)
    private val usability = WorkerUsability(workers, failureClassifier, settings)
    private val placementRound = PlacementRound(workers, queues, preemption, sizeEstimator, teamUsage, settings)
    private var currentWorkers: List<WorkerCapacity> = emptyList()

    /** Number of waiting jobs. */
    public val waitingCount: Int get() = queues.size

    /** Replaces the workers. Jobs on a worker that was removed keep their allocations until they are released. */
    public fun setWorkers(current: List<WorkerCapacity>, nowMillis: Long) {
        if (current == currentWorkers) return
        currentWorkers = current
        workers.rebuild(current)
        allocations.values.forEach(workers::addAllocation)
        usability.updateAll(nowMillis)
        placementRound.restoreReservations()
        workers.all.filter { it.info.draining }.forEach { preemption.drain(it, nowMillis) }
    }

    /** Adds [job] to the queue of jobs that wait for a worker. */
    public fun enqueue(job: WaitingJob) {
        val expectedMillis = sizeEstimator.expectedRunMillis(job.spec).coerceIn(0, settings.maxCountedRunMillis)
        queues.add(job, job.waitingSinceMillis + (settings.runTimeWeight * expectedMillis).toLong())
    }

    /** Removes a job from the queue, if it is there. */
    public fun withdraw(id: JobId) {
        if (queues.remove(id) != null) placementRound.forget(id)
    }

    /** Allocates capacity to a job that is already assigned to [worker], as found when the pool was taken over. */
    public fun allocate(spec: JobSpec, worker: InstanceId, nowMillis: Long) {
        if (allocations[spec.id]?.worker == worker) return
        release(spec.id, nowMillis)
        addAllocation(Allocation(spec, worker, sizeEstimator.estimateCapacity(spec), nowMillis))
    }

    /** Frees the capacity that is allocated to a job, if any. */
    public fun release(id: JobId, nowMillis: Long) {
        val allocation = allocations.remove(id) ?: return
        workers.removeAllocation(allocation)
        teamUsage.subtract(allocation.spec.team, allocation.limit)
        failureClassifier.recordAbandoned(id, allocation.worker)
        val worker = workers[allocation.worker] ?: return
        usability.update(worker, nowMillis)
        preemption.unthrottle(worker)
    }

    /** Removes all state of a job that has ended. */
    public fun removeJob(id: JobId, nowMillis: Long) {
        withdraw(id)
        release(id, nowMillis)
        preemption.forget(id)
    }

    /** Capacity that is allocated to a job, or null if there is none. */
    public fun limitOf(id: JobId): Capacity? = allocations[id]?.limit

    /**
     * Records the reported usage of a running job. The report may be old. A job that uses more than its allocation gets
     * a larger one.
     */
    public fun recordUsage(id: JobId, usage: Capacity) {
        val allocation = allocations[id] ?: return
        allocation.peakUsage = larger(allocation.peakUsage, usage)
        val grown = larger(allocation.limit, usage)
        if (grown == allocation.limit || allocation.isThrottled) return
        teamUsage.subtract(allocation.spec.team, allocation.limit)
        workers.updateAllocation(allocation) { it.limit = grown }
        teamUsage.add(allocation.spec.team, grown)
    }

    /** Records that a job succeeded. Must be called before its release. */
    public fun recordSuccess(spec: JobSpec, worker: InstanceId, usage: Capacity, ranMillis: Long, nowMillis: Long) {
        val peakUsage = larger(allocations[spec.id]?.peakUsage ?: Capacity.ZERO, usage)
        sizeEstimator.recordUsage(spec, peakUsage, ranMillis)
        failureClassifier.recordSuccess(spec, worker, allocations[spec.id]?.startedMillis ?: nowMillis)
        workers[worker]?.let { usability.update(it, nowMillis) }
    }

    /**
     * Records that a job failed. Must be called before its release. Returns why the job can never run if [record] now
     * shows that, otherwise null.
     */
    public fun recordFailure(record: JobRecord, worker: InstanceId, detail: String, nowMillis: Long): String? {
        failureClassifier.recordFailure(
            record.spec,
            worker,
            allocations[record.spec.id]?.startedMillis ?: nowMillis,
            nowMillis,
        )
        workers[worker]?.let { usability.update(it, nowMillis) }
        return failureClassifier.unrunnableReason(record, detail)
    }

    /** Gives [worker] no new jobs for a while, because it did not take one. */
    public fun suspendWorker(worker: InstanceId, nowMillis: Long) {
        workers[worker]?.let { usability.suspend(it, nowMillis) }
    }

    /** Workers that were quarantined because their attempts failed, and on which no attempt has succeeded since. */
    public fun quarantinedWorkers(): Set<InstanceId> = failureClassifier.quarantinedWorkers()

    /** Whether actions on jobs of [worker] are waiting to be sent. */
    public fun hasActions(worker: InstanceId): Boolean = preemption.hasActions(worker)

    /** Removes and returns the actions on jobs of [worker]. */
    public fun takeActions(worker: InstanceId): List<JobAction> = preemption.takeActions(worker)

    /** Puts back [actions] that did not reach [worker], so that they are sent again. */
    public fun returnActions(worker: InstanceId, actions: List<JobAction>) {
        preemption.returnActions(worker, actions)
    }

    /**
     * Chooses workers for at most [max] waiting jobs, removes these jobs from the queue and allocates their capacity.
     */
    public fun place(nowMillis: Long, max: Int): List<Placement> {
        usability.processWakeUps(nowMillis)
        return placementRound.run(nowMillis, max) { job, worker, limit ->
            queues.remove(job.spec.id)
            val allocation = Allocation(job.spec, worker.info.id, limit, nowMillis)
            if (!preemption.mayPreempt(job.spec.id)) allocation.isPreemptible = false
            addAllocation(allocation)
            failureClassifier.recordStart(job.spec.id, worker.info.id, nowMillis)
            usability.update(worker, nowMillis)
        }
    }

    /** Jobs that have waited for long and are larger than every worker of the pool. */
    public fun unplaceableJobs(nowMillis: Long): List<Unplaceable> = placementRound.unplaceableJobs(nowMillis)

    private fun addAllocation(allocation: Allocation) {
        allocations[allocation.spec.id] = allocation
        workers.addAllocation(allocation)
        teamUsage.add(allocation.spec.team, allocation.limit)
    }
}

/** The maximum of [a] and [b] for each resource. */
internal fun larger(a: Capacity, b: Capacity): Capacity = Capacity(
    maxOf(a.processorsMilli, b.processorsMilli),
    maxOf(a.memoryMib, b.memoryMib),
    maxOf(a.accelerators, b.accelerators),
)
