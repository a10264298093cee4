// The owner's duty: places the jobs of the owned pools, has them run, and records their ends.

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

/** Counts of what an owner holds, for metrics. */
public data class JobOwnerCounts(
    public val pools: Int,
    public val openJobs: Int,
    public val waitingJobs: Int,
    public val pendingWrites: Int,
    public val quarantinedWorkers: Int,
    public val tableUp: Boolean,
)

/**
 * Runs the jobs of the pools that rendezvous hashing gives to [self]. All calls come from one thread; [step] blocks on
 * the ports, whose calls to workers it hands to [inParallel] in batches.
 */
public class JobOwner(
    table: TableStore,
    workers: WorkerTasks,
    private val self: NodeId,
    private val settings: JobOwnerSettings = JobOwnerSettings(),
    inParallel: ParallelCalls = { calls -> calls.forEach { it() } },
) {
    private val state = OwnerState(settings)
    private val health = TableHealth(self, settings)
    private val supervisor = TaskSupervisor(workers, state, inParallel)
    private val inbox = Inbox(table, state, health, ::adopted, ::rowChanged, ::ended)
    private val ownership = PoolOwnership(table, self, state, health, ::adopted)
    private val usage = TeamUsage(table, self, state, health)
    private val retention = Retention(table, state, health)
    private val writer = JobWriter(table, state, health, inbox, Effects())
    private var membersVersion: ViewVersion? = null
    private var membersByPool: Map<PoolId, List<WorkerCapacity>> = emptyMap()

    /** Does one round at [nowMillis] for the fleet in [view], with [liveControls] as the processes that may own. */
    public fun step(nowMillis: Long, view: FleetView, liveControls: Set<NodeId>) {
        refreshMembers(view)
        ownership.update(nowMillis, view, liveControls)
        state.pools.values.forEach { it.useMembers(view.version, membersByPool[it.id].orEmpty(), nowMillis) }
        inbox.poll(nowMillis, ownership.buckets())
        supervisor.renewDue(nowMillis)
        if (health.isUp) place(nowMillis)
        writer.write(nowMillis)
        supervisor.startAll(nowMillis)
        usage.exchange(nowMillis, view, liveControls)
        retention.sweep(nowMillis)
    }

    /** The pools that this process owns, as far as it knows. */
    public fun ownedPools(): List<PoolId> = state.pools.keys.sorted()

    /** Workers that fail what they start; they count as lost against their pool's availability budget. */
    public fun quarantinedWorkers(): List<InstanceId> =
        state.pools.values.flatMap { it.scheduler.quarantinedWorkers() }.sorted()

    /** Workers that hold a task of an owned pool, as far as this process knows. */
    public fun busyWorkers(): Set<InstanceId> = state.pools.values
        .flatMap { pool -> pool.jobs.values }
        .filter { it.next.state.hasActiveAttempt }
        .mapNotNull { it.next.worker }
        .toSet()

    /** What is held at present. */
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
        state.ledger.setTeams(view.teams)
        membersByPool =
            view.instances.values.groupBy({ it.pool }) {
                val leaves = it.state == InstanceState.DRAINING || it.state == InstanceState.LEAVING
                WorkerCapacity(it.id, it.domain, it.capacity, it.state == InstanceState.SERVING, leaves)
            }
    }

    private fun place(nowMillis: Long) {
        for (pool in state.pools.values) {
            if (!pool.isLoaded || pool.scheduler.waitingCount == 0) continue
            val room = settings.maxAwaitingStart - state.awaitingStart()
            quarantineUnplaceable(pool, nowMillis)
            pool.scheduler.place(nowMillis, room).forEach { placement ->
                val job = pool.jobs[placement.job.id] ?: return@forEach
                state.record(job, JobEvent.Assigned(placement.worker, pool.epoch), nowMillis)
                if (!job.next.state.hasActiveAttempt) pool.scheduler.release(placement.job.id, nowMillis)
            }
        }
    }

    private fun quarantineUnplaceable(pool: OwnedPool, nowMillis: Long) {
        for (unplaceable in pool.scheduler.unplaceableJobs(nowMillis)) {
            val job = pool.jobs[unplaceable.job] ?: continue
            pool.scheduler.withdraw(unplaceable.job)
            state.record(job, JobEvent.Quarantined(unplaceable.reason), nowMillis)
        }
    }

    private fun adopted(job: HeldJob, nowMillis: Long) {
        if (job.record.state.hasActiveAttempt) state.watch(job, nowMillis)
    }

    private fun ended(job: HeldJob, nowMillis: Long) {
        val task = job.task
        val worker = job.record.worker
        state.dropJob(job, nowMillis)
        if (task != null && worker != null) state.unwatch(worker, task)
    }

    private fun rowChanged(job: HeldJob, found: JobRecord, revision: Revision, nowMillis: Long) {
        if (job.isWriting) return
        job.rebase(found, revision)
        state.markDirty(job)
        reconcile(job, nowMillis)
    }

    /** Brings the scheduler and the watched tasks in line with a row that was not written as intended. */
    private fun reconcile(job: HeldJob, nowMillis: Long) {
        if (job.record.state.hasActiveAttempt) {
            if (job.leaseUntilMillis == 0L) {
                job.leaseUntilMillis = nowMillis + settings.leaseMillis + settings.leaseMarginMillis
            }
            job.record.worker?.let { job.pool.scheduler.allocate(job.record.spec, it, nowMillis) }
            state.watch(job, nowMillis)
        } else if (!job.next.state.hasActiveAttempt) {
            job.pool.scheduler.release(job.record.spec.id, nowMillis)
            if (!job.next.state.isFinal) job.pool.enqueue(job)
        }
    }

    private inner class Effects : WriteListener {
        override fun committed(job: HeldJob, before: JobRecord, nowMillis: Long) {
            val record = job.record
            val ended = before.state.hasActiveAttempt && (!record.state.hasActiveAttempt || record.attempt != before.attempt)
            if (ended) {
                val key = TaskKey(before.spec.id, before.attempt, before.epoch)
                before.worker?.let { state.unwatch(it, key) }
            }
            when {
                record.state.isFinal -> state.dropJob(job, nowMillis)
                record.state.hasActiveAttempt && record.attempt != before.attempt -> dispatch(job)
                ended -> job.pool.enqueue(job)
            }
        }

        override fun changedByOther(job: HeldJob, nowMillis: Long) = reconcile(job, nowMillis)

        override fun endedByOther(job: HeldJob, nowMillis: Long) = ended(job, nowMillis)

        override fun fenced(pool: OwnedPool, nowMillis: Long) = ownership.lost(nowMillis, pool)

        private fun dispatch(job: HeldJob) {
            job.start = StartKnowledge.UNKNOWN
            supervisor.enqueueStart(job)
        }
    }
}
