// A holder of the control lease in the model. All calls of the scheduler under test are here, one function each.

package org.gypsumturn.batch.check

import org.gypsumturn.batch.TEST_SETTINGS
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.ExecutorOrder
import org.gypsumturn.batch.schedule.JobKnowledge
import org.gypsumturn.batch.schedule.ProgressChange
import org.gypsumturn.batch.schedule.RosterChange
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.schedule.StoredRoster
import org.gypsumturn.batch.state.IncarnationEndSource
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.RunEndEvidence
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** The holder of the term that [epoch] numbers. [log] receives its decisions. */
internal class ModelHolder(
    val epoch: Long,
    nowMillis: Long,
    platform: ModelPlatform?,
    val feed: ModelJobFeed,
    log: (String) -> Unit,
) {
    private val scheduler = BatchScheduler(TEST_SETTINGS, Epoch(epoch), { event, fields ->
        log("    $epoch: $event ${fields.joinToString { "${it.first}=${it.second}" }}")
    })

    /** Its orders for machines; null in scenarios without upkeep. */
    val dispatcher = platform?.let { ModelDispatcher(this, scheduler, it, nowMillis, log) }

    /** Time of the last renewal of its control lease. */
    var renewedMillis = 0L

    /** Whether it does nothing at present, has no path to the store, or has ended its term. */
    var paused = false
    var cut = false
    var closed = false

    /** Whether its writes to the store wait. */
    var writesStall = false

    val acts: Boolean get() = !paused && !closed

    /** Whether it has read the stored state, so that it gives orders. */
    var ready = false

    /** Whether it is to be suspended before it sends the next start, and whether its steady clock stands still then. */
    var suspendsBeforeStart = false
    var suspendsMachine = false

    /** Orders that it has decided and not sent before it was suspended, and when that was. */
    val unsentOrders = ArrayList<ExecutorOrder>()
    var decidedMillis = 0L
        private set

    /** The time since when its machine is suspended. */
    private var suspendedMillis: Long? = null

    /** The time at which it last went on after a pause. */
    var wokeMillis: Long? = null
        private set

    /** Time for which its steady clock has stood still. */
    private var steadyLagMillis = 0L

    /** When the store last answered, and when the rows known last were read, with the lag of its clock at that time. */
    private var storeAnsweredMillis = 0L
    private var knownMillis = 0L
    private var steadyLagWhenKnownMillis = 0L

    private fun steady(nowMillis: Long) = nowMillis - steadyLagMillis

    fun isLeaseValid(nowMillis: Long): Boolean = nowMillis - renewedMillis < VALID_MILLIS

    /** Suspends it with [orders], which it has decided. */
    fun suspend(nowMillis: Long, orders: List<ExecutorOrder>) {
        unsentOrders += orders
        decidedMillis = nowMillis
        if (suspendsMachine) suspendedMillis = nowMillis
        suspendsBeforeStart = false
        paused = true
        cut = true
    }

    fun wake(nowMillis: Long) {
        suspendedMillis?.let { steadyLagMillis += nowMillis - it }
        suspendedMillis = null
        wokeMillis = nowMillis
        paused = false
    }

    /** Entries of executors as it knows them. */
    val entries = LinkedHashMap<InstanceId, ExecutorRecord>()

    fun configure(configuration: FleetConfiguration) = scheduler.configure(configuration)

    fun addJob(nowMillis: Long, job: BatchJob, progress: ProgressRecord?, revision: Revision, neverStarted: Boolean) =
        scheduler.addJob(steady(nowMillis), job, progress, revision, neverStarted)

    fun cancelJob(nowMillis: Long, job: JobId) = scheduler.cancelJob(steady(nowMillis), job)

    fun startRecovery(nowMillis: Long, rosters: Map<PoolId, StoredRoster>) =
        scheduler.startRecovery(steady(nowMillis), rosters, steady(nowMillis) + RECOVERY_MILLIS)

    /** Reads the entries of all executors from the store. */
    fun readEntries(nowMillis: Long, stored: Map<InstanceId, ExecutorRecord>) {
        (entries.keys - stored.keys).forEach { scheduler.onExecutorUnlisted(steady(nowMillis), it) }
        stored.filter {
            entries[it.key] != it.value
        }.forEach { scheduler.onExecutorListed(steady(nowMillis), it.value) }
        entries.clear()
        entries += stored
        scheduler.onExecutorsRead(steady(nowMillis))
    }

    fun onStoreRegained(nowMillis: Long) = scheduler.onStoreRegained(steady(nowMillis))

    /** Sends an order that ends everything on the machine of executor [id], which gets no new runs from now on. */
    fun onMachineOrderSent(id: InstanceId) {
        val executor = scheduler.executors[id] ?: return
        executor.cordoned = true
        executor.terminating = true
    }

    /** Handles that the machine of executor [id] was moved or taken down. */
    fun onMachineOrderDone(nowMillis: Long, id: InstanceId) =
        onExecutorGone(nowMillis, id, planned = true, IncarnationEndSource.ORDER)

    /** Handles a list of machines without executor [id]. As in production it counts for silent executors only. */
    fun onMachineAbsent(nowMillis: Long, id: InstanceId) {
        if (isSilent(id)) onExecutorGone(nowMillis, id, planned = false, IncarnationEndSource.MACHINE_LIST)
    }

    private fun onExecutorGone(nowMillis: Long, id: InstanceId, planned: Boolean, source: IncarnationEndSource) =
        scheduler.onExecutorGone(
            steady(nowMillis),
            id,
            planned,
            RunEndEvidence.IncarnationEnded(source, steady(nowMillis)),
        )

    fun isSilent(id: InstanceId): Boolean = scheduler.executors[id]?.unreachableSinceMillis != null

    /** When the newest call to the store was sent that is known to have failed, if one is. */
    private fun failedCallSentMillis(nowMillis: Long): Long? =
        (nowMillis - STORE_TIMEOUT_MILLIS).takeIf { cut && it >= maxOf(storeAnsweredMillis, wokeMillis ?: 0) }

    /** Makes the decisions that are due, by jobs that it believes to know up to [jobsAsOfMillis]. */
    fun runPass(nowMillis: Long, jobsAsOfMillis: Long): List<ExecutorOrder> {
        if (!cut) storeAnsweredMillis = nowMillis
        if (knownMillis != feed.knownMillis) {
            knownMillis = feed.knownMillis
            steadyLagWhenKnownMillis = steadyLagMillis
        }
        val knowledge = JobKnowledge(
            asOfMillis = jobsAsOfMillis - steadyLagWhenKnownMillis,
            storeAnsweredMillis = steady(storeAnsweredMillis),
            failedCallSentMillis = failedCallSentMillis(nowMillis)?.let(::steady),
        )
        val overdueMillis = nowMillis - renewedMillis - VALID_MILLIS
        return scheduler.runSchedulingPass(steady(nowMillis), nowMillis, overdueMillis, knowledge)
    }

    /** Gives the orders for machines that are due, as long as its control lease is valid. */
    fun runMachineOrders(nowMillis: Long, configuration: FleetConfiguration, mayStore: Boolean) {
        if (isLeaseValid(nowMillis)) dispatcher?.runDueWork(nowMillis, configuration, mayStore)
    }

    fun takeProgressChanges(): List<ProgressChange> = scheduler.takeChanges(CHANGES)

    fun onProgressStored(change: ProgressChange, revision: Revision) = scheduler.onProgressStored(change, revision)

    fun takeRosterChanges(): List<RosterChange> = scheduler.takeRosterChanges(CHANGES)

    fun onRosterStored(change: RosterChange, revision: Revision) = scheduler.onRosterStored(change, revision)

    fun onPollAnswered(nowMillis: Long, order: ExecutorOrder.Poll, verdict: Verdict<PollAnswer>) =
        scheduler.onPollAnswered(steady(nowMillis), order, verdict)

    fun onStartAnswered(nowMillis: Long, order: ExecutorOrder.Start, verdict: Verdict<OrderAnswer>) =
        scheduler.onStartAnswered(steady(nowMillis), order, verdict)

    fun onStopAnswered(nowMillis: Long, order: ExecutorOrder.Stop, verdict: Verdict<OrderAnswer>) =
        scheduler.onStopAnswered(steady(nowMillis), order, verdict)

    fun phaseOf(job: JobId): JobPhase = scheduler.job(job)?.visiblePhase ?: JobPhase.QUEUED

    /** What can be observed of its state, with times relative to the present. */
    fun describe(nowMillis: Long, to: StringBuilder) {
        to.append('h').append(epoch).append(paused).append(cut).append(closed).append(writesStall)
        if (closed) return
        dispatcher?.describe(nowMillis, to)
        to.append(if (cut || paused) nowMillis - renewedMillis else 0)
        to.append(ready).append(suspendsBeforeStart).append(suspendsMachine).append(unsentOrders.size)
        feed.describe(nowMillis, to)
        describeScheduler(steady(suspendedMillis ?: nowMillis), to)
    }

    private fun describeScheduler(nowMillis: Long, to: StringBuilder) {
        scheduler.jobs.forEach { job ->
            to.append(job.phase).append(job.visiblePhase).append(job.completedOccurrences)
            job.occurrences.values.flatMap { it.steps }.flatMap { it.tasks }.forEach { task ->
                to.append(
                    task.done,
                ).append(task.highestAttempt).append(task.failedAttempts).append(task.crashes.atStart)
                to.append(task.crashes.cleared).append(task.crashes.unresolved)
            }
        }
        scheduler.executors.values.forEach { executor ->
            to.append(executor.record.id.value).append(executor.record.address).append(executor.listed)
            to.append(executor.recorded).append(executor.knowsEpoch).append(executor.failedCalls)
            to.append(executor.unreachableSinceMillis?.let { nowMillis - it }).append(executor.pollInFlight)
            to.append(
                executor.incarnation?.let {
                    nowMillis - it.startedAtMillis
                },
            ).append(executor.lastHandledEndNumber)
            to.append(executor.acknowledgedEndNumber).append(executor.pendingEnds.keys)
            to.append(executor.leaseEndMillis(nowMillis, 0)).append('/')
            if (executor.runs.isNotEmpty()) {
                to.append(executor.leasesLapsedAtMillis(TEST_SETTINGS.leaseMillis) - nowMillis)
            }
            executor.runs.values.sortedBy { it.id.attempt }.forEach { run ->
                to.append(run.id.task.name()).append(run.id.attempt).append(run.phase).append(run.unansweredStarts)
                to.append(run.retryAtMillis?.let { it - nowMillis }).append(run.confirmedAtPoll != null)
                to.append(run.stopConfirmedAtPoll != null)
                to.append(run.startsInFlight).append(run.reported).append(run.mayHaveEndedInCrash)
                if (dispatcher != null) to.append(run.percent).append(run.reportRequestMillis?.let { nowMillis - it })
            }
            if (dispatcher != null) {
                to.append(executor.cordoned).append(executor.terminating)
                to.append(maxOf(executor.presenceSinceMillis, nowMillis - MAX_AGE_MILLIS) - nowMillis)
            }
        }
    }

    companion object {
        /** Time after its last renewal at which another node may claim the control lease, and at which it is valid. */
        const val LAPSE_MILLIS = 2_400L
        private const val STORE_TIMEOUT_MILLIS = 1_000L
        private const val MAX_AGE_MILLIS = 10_000L
        private const val VALID_MILLIS = 2_250L

        /** Time after which all run leases of earlier holders have lapsed, as the holder's session computes it. */
        private val RECOVERY_MILLIS = TEST_SETTINGS.leaseMillis + TEST_SETTINGS.leaseMillis / 30 + 200
        private const val CHANGES = 100

        /** Time after which the call with [order] has failed. */
        fun timeoutMillis(order: ExecutorOrder): Long = if (order is ExecutorOrder.Poll) {
            (order.order.waitMillis ?: 0) + SchedulerSettings.POLL_TIMEOUT_MILLIS
        } else {
            SchedulerSettings.ORDER_TIMEOUT_MILLIS
        }
    }
}
