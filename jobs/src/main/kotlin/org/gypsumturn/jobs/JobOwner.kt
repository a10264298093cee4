// Runs the jobs of the pools that this process owns: places them on workers, starts them and records their results.

package org.gypsumturn.jobs

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.isFinal
import org.gypsumturn.placement.JobEvent
import org.gypsumturn.placement.WorkerCapacity
import org.gypsumturn.placement.hasActiveAttempt
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.TaskKey
import org.gypsumturn.ports.WorkerTasks

/** Numbers of pools, jobs and workers that an owner handles, for metrics. */
public data class JobOwnerCounts(
    public val pools: Int,
    public val openJobs: Int,
    public val waitingJobs: Int,
    public val pendingWrites: Int,
    public val quarantinedWorkers: Int,
    public val isTableUp: Boolean,
)

/**
 * Runs the jobs of the pools that rendezvous hashing assigns to [self]. All calls must come from the same thread.
 * [step] blocks on the table and the workers. It passes calls to several workers to [parallelCalls] as a group.
 */
public class JobOwner(
    table: TableStore,
    workers: WorkerTasks,
    private val self: NodeId,
    private val settings: JobOwnerSettings = JobOwnerSettings(),
    parallelCalls: ParallelCalls = { calls -> calls.forEach { it() } },
) {
    private val state = OwnerState(settings)
    private val health = TableHealth(self, settings)
    private val supervisor = TaskSupervisor(workers, state, parallelCalls)
    private val inbox = Inbox(table, state, health, ::onJobAdopted, ::onRowChanged, ::onJobEnded)
    private val ownership = PoolOwnership(table, self, state, health, ::onJobAdopted)
    private val teamUsage = TeamUsage(table, self, state, health)
    private val endedJobSweeper = EndedJobSweeper(table, state, health)
    private val writer = JobWriter(table, state, health, inbox, WriteResultHandler())
    private var membersVersion: ViewVersion? = null
    private var membersByPool: Map<PoolId, List<WorkerCapacity>> = emptyMap()

    /** Runs one round at [nowMillis] for the fleet in [view]. [liveControls] are the processes that may own pools. */
    public fun step(nowMillis: Long, view: FleetView, liveControls: Set<NodeId>) {
        refreshMembers(view)
        ownership.update(nowMillis, view, liveControls)
        state.pools.values.forEach { it.updateMembers(view.version, membersByPool[it.id].orEmpty(), nowMillis) }
        inbox.poll(nowMillis, ownership.buckets())
        supervisor.renewDue(nowMillis)
        if (health.isUp) placeWaitingJobs(nowMillis)
        writer.write(nowMillis)
        supervisor.startQueued(nowMillis)
        teamUsage.exchange(nowMillis, view, liveControls)
        endedJobSweeper.sweep(nowMillis)
    }

    /** Returns the pools that this process owns, as far as it knows. */
    public fun ownedPools(): List<PoolId> = state.pools.keys.sorted()

    /** Returns the workers that fail the tasks they start. They count as lost against the budget of their pool. */
    public fun quarantinedWorkers(): List<InstanceId> =
        state.pools.values.flatMap { it.scheduler.quarantinedWorkers() }.sorted()

    /** Returns the workers with a task of an owned pool, as far as this process knows. */
    public fun busyWorkers(): Set<InstanceId> = state.pools.values
        .flatMap { pool -> pool.jobs.values }
        .filter { it.pendingRecord.state.hasActiveAttempt }
        .mapNotNull { it.pendingRecord.worker }
        .toSet()

    public fun counts(): JobOwnerCounts = JobOwnerCounts(
        state.pools.size,
        state.pools.values.sumOf { it.jobs.size },
        state.pools.values.sumOf { it.scheduler.waitingCount },
        state.dirtyCount,
        state.pools.values.sumOf { it.scheduler.quarantinedWorkers().size },
        health.isUp,
    )

    private fun refreshMembers(view: FleetView) {
        if (view.version == membersVersion) return
        membersVersion = view.version
        state.teamUsageTracker.setTeams(view.teams)
        membersByPool =
            view.instances.values.groupBy({ it.pool }) {
                val isLeaving = it.state == InstanceState.DRAINING || it.state == InstanceState.LEAVING
                WorkerCapacity(it.id, it.domain, it.capacity, it.state == InstanceState.SERVING, isLeaving)
            }
    }

    private fun placeWaitingJobs(nowMillis: Long) {
        for (pool in state.pools.values) {
            if (!pool.isLoaded || pool.scheduler.waitingCount == 0) continue
            val maxPlacements = settings.maxAwaitingStart - state.awaitingStartCount()
            quarantineUnplaceable(pool, nowMillis)
            pool.scheduler.place(nowMillis, maxPlacements).forEach { placement ->
                val job = pool.jobs[placement.job.id] ?: return@forEach
                state.recordEvent(job, JobEvent.Assigned(placement.worker, pool.epoch), nowMillis)
                if (!job.pendingRecord.state.hasActiveAttempt) pool.scheduler.release(placement.job.id, nowMillis)
            }
        }
    }

    private fun quarantineUnplaceable(pool: OwnedPool, nowMillis: Long) {
        for (unplaceable in pool.scheduler.unplaceableJobs(nowMillis)) {
            val job = pool.jobs[unplaceable.job] ?: continue
            pool.scheduler.withdraw(unplaceable.job)
            state.recordEvent(job, JobEvent.Quarantined(unplaceable.reason), nowMillis)
        }
    }

    private fun onJobAdopted(job: OpenJob, nowMillis: Long) {
        if (job.record.state.hasActiveAttempt) state.trackTask(job, nowMillis)
    }

    private fun onJobEnded(job: OpenJob, nowMillis: Long) {
        val task = job.task
        val worker = job.record.worker
        state.dropJob(job, nowMillis)
        if (task != null && worker != null) state.untrackTask(worker, task)
    }

    private fun onRowChanged(job: OpenJob, found: JobRecord, revision: Revision, nowMillis: Long) {
        if (job.isWriting) return
        job.rebase(found, revision)
        state.markDirty(job)
        reconcile(job, nowMillis)
    }

    /** Updates the scheduler and the tracked tasks after another process changed the row of [job]. */
    private fun reconcile(job: OpenJob, nowMillis: Long) {
        if (job.record.state.hasActiveAttempt) {
            if (job.leaseUntilMillis == 0L) {
                job.leaseUntilMillis = nowMillis + settings.leaseMillis + settings.leaseMarginMillis
            }
            job.record.worker?.let { job.pool.scheduler.allocate(job.record.spec, it, nowMillis) }
            state.trackTask(job, nowMillis)
        } else if (!job.pendingRecord.state.hasActiveAttempt) {
            job.pool.scheduler.release(job.record.spec.id, nowMillis)
            if (!job.pendingRecord.state.isFinal) job.pool.enqueue(job)
        }
    }

    private inner class WriteResultHandler : WriteListener {
        override fun onCommitted(job: OpenJob, before: JobRecord, nowMillis: Long) {
            val record = job.record
            val attemptEnded =
                before.state.hasActiveAttempt && (!record.state.hasActiveAttempt || record.attempt != before.attempt)
            if (attemptEnded) {
                val key = TaskKey(before.spec.id, before.attempt, before.epoch)
                before.worker?.let { state.untrackTask(it, key) }
            }
            when {
                record.state.isFinal -> state.dropJob(job, nowMillis)
                record.state.hasActiveAttempt && record.attempt != before.attempt -> enqueueStart(job)
                attemptEnded -> job.pool.enqueue(job)
            }
        }

        override fun onChangedByOther(job: OpenJob, nowMillis: Long) = reconcile(job, nowMillis)

        override fun onEndedByOther(job: OpenJob, nowMillis: Long) = onJobEnded(job, nowMillis)

        override fun onPoolLost(pool: OwnedPool, nowMillis: Long) = ownership.handleLoss(nowMillis, pool)

        private fun enqueueStart(job: OpenJob) {
            job.startStatus = StartStatus.UNKNOWN
            supervisor.enqueueStart(job)
        }
    }
}
