// Placement of one pool's jobs on its workers. Deterministic and without I/O: the owner tells it about workers, jobs
// and ends, and asks which waiting jobs start where.

package org.gypsumturn.placement

import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec

/**
 * A job that waits since [sinceMillis].
 *
 * @property avoid workers on which the job failed
 * @property used what earlier attempts were seen to use; no less is set aside
 */
public data class WaitingJob(
    public val spec: JobSpec,
    public val sinceMillis: Long,
    public val avoid: Set<InstanceId> = emptySet(),
    public val used: Capacity = Capacity.ZERO,
)

/** A decision: [job] starts on [worker] with [limit] set aside. */
public data class Placement(public val job: JobSpec, public val worker: InstanceId, public val limit: Capacity)

/** A job that cannot run in its pool, and why. */
public data class Unplaceable(public val job: JobId, public val reason: String)

/**
 * Places the jobs of one pool.
 *
 * @param sizes what is known of the classes of jobs; may be shared by pools
 * @param ledger what the teams hold; shared by all pools of one owner
 */
public class PoolScheduler(
    private val settings: PlacementSettings = PlacementSettings(),
    private val sizes: SizeLearner = SizeLearner(settings),
    private val ledger: TeamLedger = TeamLedger(),
) {
    private val slots = WorkerSlots(settings)
    private val queues = JobQueues()
    private val holdings = HashMap<JobId, Holding>()
    private val judge = FailureJudge()
    private val preemption = Preemption(slots, settings)
    private val usability = WorkerUsability(slots, judge, settings)
    private val round = PlacementRound(slots, queues, preemption, sizes, ledger, settings)
    private var members: List<WorkerCapacity> = emptyList()

    /** Number of jobs that wait. */
    public val waitingCount: Int get() = queues.size

    /** Replaces the workers; what is held on a worker that is gone stays held until it is released. */
    public fun setWorkers(current: List<WorkerCapacity>, nowMillis: Long) {
        if (current == members) return
        members = current
        slots.rebuild(current)
        holdings.values.forEach(slots::take)
        usability.updateAll(nowMillis)
        round.restoreReservations()
        slots.all.filter { it.info.draining }.forEach { preemption.drain(it, nowMillis) }
    }

    /** Lets [job] wait for a worker. */
    public fun enqueue(job: WaitingJob) {
        val expectedMillis = sizes.expectedMillis(job.spec).coerceIn(0, settings.maxCountedRunMillis)
        queues.add(job, job.sinceMillis + (settings.runTimeWeight * expectedMillis).toLong())
    }

    /** Takes a job out of the queue, if it waits. */
    public fun withdraw(id: JobId) {
        if (queues.remove(id) != null) round.forget(id)
    }

    /** Sets capacity aside for a job that was found on [worker]. */
    public fun occupy(spec: JobSpec, worker: InstanceId, nowMillis: Long) {
        if (holdings[spec.id]?.worker == worker) return
        release(spec.id, nowMillis)
        hold(Holding(spec, worker, sizes.estimate(spec), nowMillis))
    }

    /** Gives back what a job held, if anything. */
    public fun release(id: JobId, nowMillis: Long) {
        val holding = holdings.remove(id) ?: return
        slots.give(holding)
        ledger.subtract(holding.spec.team, holding.limit)
        judge.abandoned(id, holding.worker)
        val slot = slots[holding.worker] ?: return
        usability.update(slot, nowMillis)
        preemption.unthrottle(slot)
    }

    /** Forgets a job that has ended. */
    public fun forget(id: JobId, nowMillis: Long) {
        withdraw(id)
        release(id, nowMillis)
        preemption.forget(id)
    }

    /** What is set aside for a job. */
    public fun limitOf(id: JobId): Capacity? = holdings[id]?.limit

    /** Takes in a report, which lags, of what a running job uses; a job that uses more than thought holds more. */
    public fun observe(id: JobId, usage: Capacity) {
        val holding = holdings[id] ?: return
        holding.peak = larger(holding.peak, usage)
        val grown = larger(holding.limit, usage)
        if (grown == holding.limit || holding.isThrottled) return
        ledger.subtract(holding.spec.team, holding.limit)
        slots.change(holding) { it.limit = grown }
        ledger.add(holding.spec.team, grown)
    }

    /** Takes in the good end of a job, before its release. */
    public fun succeeded(spec: JobSpec, worker: InstanceId, usage: Capacity, ranMillis: Long, nowMillis: Long) {
        val peak = larger(holdings[spec.id]?.peak ?: Capacity.ZERO, usage)
        sizes.learn(spec, peak, ranMillis)
        judge.succeeded(spec, worker, holdings[spec.id]?.sinceMillis ?: nowMillis)
        slots[worker]?.let { usability.update(it, nowMillis) }
    }

    /** Takes in the failure of a job, before its release; returns why it can never run, if [record] now shows that. */
    public fun failed(record: JobRecord, worker: InstanceId, detail: String, nowMillis: Long): String? {
        judge.failed(record.spec, worker, holdings[record.spec.id]?.sinceMillis ?: nowMillis, nowMillis)
        slots[worker]?.let { usability.update(it, nowMillis) }
        return judge.jobVerdict(record, detail)
    }

    /** Gives [worker] no new jobs for a while, since it did not take one. */
    public fun refused(worker: InstanceId, nowMillis: Long) {
        slots[worker]?.let { usability.suspend(it, nowMillis) }
    }

    /** Workers that fail what they start. */
    public fun quarantinedWorkers(): Set<InstanceId> = judge.distrusted()

    /** Whether something is to be done to jobs on [worker]. */
    public fun hasActions(worker: InstanceId): Boolean = preemption.hasActions(worker)

    /** What is to be done to jobs on [worker]; each action is given out once. */
    public fun takeActions(worker: InstanceId): List<JobAction> = preemption.takeActions(worker)

    /** Keeps [actions] for the next time, since [worker] did not hear them. */
    public fun giveBackActions(worker: InstanceId, actions: List<JobAction>) {
        preemption.giveBack(worker, actions)
    }

    /** Chooses workers for at most [max] waiting jobs. The chosen ones no longer wait. */
    public fun place(nowMillis: Long, max: Int): List<Placement> {
        usability.wake(nowMillis)
        return round.run(nowMillis, max) { job, slot, limit ->
            queues.remove(job.spec.id)
            val holding = Holding(job.spec, slot.info.id, limit, nowMillis)
            if (!preemption.mayTake(job.spec.id)) holding.isPreemptible = false
            hold(holding)
            judge.began(job.spec.id, slot.info.id, nowMillis)
            usability.update(slot, nowMillis)
        }
    }

    /** Waiting jobs that have waited for long and are larger than each of the pool's workers. */
    public fun unplaceable(nowMillis: Long): List<Unplaceable> = round.unplaceable(nowMillis)

    private fun hold(holding: Holding) {
        holdings[holding.spec.id] = holding
        slots.take(holding)
        ledger.add(holding.spec.team, holding.limit)
    }
}

/** The greater of both capacities in each part. */
internal fun larger(a: Capacity, b: Capacity): Capacity = Capacity(
    maxOf(a.processorsMilli, b.processorsMilli),
    maxOf(a.memoryMib, b.memoryMib),
    maxOf(a.accelerators, b.accelerators),
)
