// The work of the holder of the control lease during one term. It reads the stored state, follows the changes of jobs
// and executors, schedules tasks, and stores their progress.

package org.gypsumturn.node

import org.gypsumturn.batch.lease.ClockReadings
import org.gypsumturn.batch.lease.ControlLease
import org.gypsumturn.batch.machines.MachineTimes
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.ExecutorCalls
import org.gypsumturn.batch.port.FleetUpdate
import org.gypsumturn.batch.port.FleetUpdateFeed
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.MachineControl
import org.gypsumturn.batch.port.PlacementAdvisor
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.DecisionLog
import org.gypsumturn.batch.schedule.JobKnowledge
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.schedule.StoredRoster
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.PoolRoster
import org.gypsumturn.batch.workspace.WorkspaceStatus
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict

/**
 * The services that a session calls. [machines] and [advisor] are null if none is configured.
 *
 * @property storeContact tells whether the store answers; if it is null the store counts as answering at any time
 * @property reportJobsAsOf receives the time on the steady clock up to which the stored jobs are known, whenever it
 * changes, and null at the end of the term
 * @property nowMillis reads the steady clock
 * @property wallMillis reads the time of day, as milliseconds since 1970
 */
public class SessionPorts(
    public val store: RowStore,
    public val updates: FleetUpdateFeed,
    public val executors: ExecutorCalls,
    public val machines: MachineControl?,
    public val advisor: PlacementAdvisor?,
    public val storeContact: StoreContact? = null,
    public val reportJobsAsOf: (Long?) -> Unit = { },
    public val nowMillis: () -> Long = NodeClock::steadyMillis,
    public val wallMillis: () -> Long = NodeClock::wallMillis,
)

/**
 * One term of holding [lease]. Its state belongs to the control thread.
 *
 * @param reportWorkspaces receives the state of the workspaces from time to time, and none at the end of the term
 * @param post runs an action on the control thread
 * @param postDelayed runs an action on the control thread after a delay in milliseconds
 */
public class HolderSession(
    private val lease: ControlLease,
    private val settings: SchedulerSettings,
    machineTimes: MachineTimes,
    private val ports: SessionPorts,
    decisionLog: DecisionLog,
    private val reportWorkspaces: (List<WorkspaceStatus>) -> Unit,
    private val post: Post,
    private val postDelayed: DelayedPost,
) {
    private val epoch = lease.epoch
    private val scheduler = BatchScheduler(settings, epoch, decisionLog)
    private val orderSender =
        ExecutorOrderSender(scheduler, ports.executors, ports.advisor, epoch, post) {
            ClockReadings(ports.nowMillis(), ports.wallMillis())
        }
    private val fence = ProgressFence(ports.store, epoch, post, postDelayed)
    private val progressWriter =
        ProgressWriter(scheduler, fence, ports.store, settings.maxProgressBytes, ports.nowMillis, post)
    private val jobIntake = JobIntake(scheduler, ports.store, settings, decisionLog, post)
    private val jobFeedListener = object : JobFeedListener {
        override fun onRowsChanged(rows: List<StoredRow>) =
            jobIntake.applyRows(ports.nowMillis(), rows, neverStarted = true)

        override fun onRowsReadAgain(rows: List<StoredRow>) =
            jobIntake.applyRows(ports.nowMillis(), rows, neverStarted = true)

        override fun onKnown(asOfMillis: Long) = recordJobsKnown(asOfMillis)

        override fun onPollResult(verdict: Verdict<*>) = recordStoreResult(verdict)
    }
    private val jobFeed =
        JobFeed(
            ports.store,
            jobPollWaitMillis(),
            post,
            postDelayed,
            ports.nowMillis,
            { ports.storeContact?.lastAnswerMillis ?: ports.nowMillis() },
            jobFeedListener,
        )
    private val executorListener = object : FleetUpdateListener {
        override fun onAllRead(updates: List<FleetUpdate>) = onExecutorsRead(updates)

        override fun onUpdates(updates: List<FleetUpdate>) = updates.forEach(::applyExecutorUpdate)

        override fun onKnown(asOfMillis: Long) = recordExecutorsKnown(asOfMillis)

        override fun onCallResult(verdict: Verdict<*>) = recordStoreResult(verdict)
    }
    private val executorFollower = FleetUpdateFollower(
        ports.updates,
        FleetUpdateKind.EXECUTORS,
        EXECUTORS_POLL_WAIT_MILLIS,
        EXECUTORS_POLL_GAP_MILLIS,
        post,
        postDelayed,
        ports.nowMillis,
        executorListener,
    )
    private val takeoverReader = TakeoverReader(ports.store, post, postDelayed, onComplete = ::onJobsRead)
    private val machines =
        ports.machines?.let {
            MachineOrderDispatcher(
                scheduler,
                epoch,
                fence,
                machineTimes,
                ports.store,
                ports.updates,
                it,
                decisionLog,
                post,
            )
        }
    private val waves = LinkedHashMap<Long, UpkeepWave>()

    /** When the term began. The control leases of earlier holders had lapsed by then, or were given up. */
    private val startedMillis = ports.nowMillis()

    private val storedRosters = HashMap<PoolId, StoredRoster>()
    private var configuration: FleetConfiguration? = null
    private var jobsLoaded = false
    private var executorsLoaded = false
    private var ready = false
    private var closed = false
    private val jobFeedAge = FeedAge(MAX_COUNT_AGE_MILLIS)
    private val executorFeedAge = FeedAge(SchedulerSettings.MAX_EXECUTORS_AGE_MILLIS)
    private val storeOutage = OutageLog("store lost", "store regained", "by" to "holder")
    private var workspacesReportedMillis = 0L

    /** Time at which reading all stored rows began. */
    private var readStartMillis = 0L

    /** Whether the store or an executor has shown that another process has taken the lease over. */
    public val fencedOff: Boolean get() = fence.superseded || scheduler.fencedOff

    /** Starts reading the stored state. Orders are given once all of it has been read. */
    public fun start() {
        fence.writeEpoch {
            readStartMillis = ports.nowMillis()
            takeoverReader.start()
        }
        executorFollower.start()
    }

    /** Ends the session. Answers that arrive later are ignored. */
    public fun close() {
        closed = true
        reportWorkspaces(emptyList())
        ports.reportJobsAsOf(null)
        orderSender.closed = true
        machines?.close()
        jobIntake.closed = true
        jobFeed.close()
        executorFollower.close()
        takeoverReader.cancelled = true
        fence.cancelled = true
    }

    /** Puts [configuration] in force. */
    public fun configure(configuration: FleetConfiguration) {
        this.configuration = configuration
        scheduler.configure(configuration)
    }

    /** Adds a wave that the operator has requested. */
    public fun addWave(wave: UpkeepWave) {
        waves[wave.number] = wave
        if (ready) machines?.addWave(wave, firstHolder = true)
    }

    /** The state of job [id] that callers may see; null until the stored state has been read. */
    public fun jobState(id: JobId): HolderAnswer? {
        if (!ready) return null
        val accepts = jobIntake.acceptsUnmatched
        return scheduler.job(id)?.let { HolderAnswer.State(it.visiblePhase, it.job.workspace, accepts) }
            ?: HolderAnswer.NoJob(accepts)
    }

    /** Applies a stored cancellation that a node has told of. Before the stored rows are read it is not needed. */
    public fun applyCancellation(notice: CancellationNotice) {
        if (jobsLoaded && !closed) jobIntake.applyNotice(ports.nowMillis(), notice)
    }

    /**
     * Number of jobs of [queue] of which no task has been started; null until the stored state has been read, and while
     * the changes of jobs have not been read for longer than a count may be old.
     */
    public fun pendingJobCount(nowMillis: Long, queue: QueueId): Int? =
        if (ready && jobFeedAge.isWithinBound(nowMillis)) scheduler.pendingJobCount(queue) else null

    /**
     * Does all work that is due at [now]. Does nothing until the stored state has been read, and once another process
     * has taken the lease over.
     */
    public fun runDueWork(now: ClockReadings) {
        if (!ready || closed || fencedOff) return
        val overdueMillis = lease.overdueMillis(now)
        val orders = scheduler.runSchedulingPass(
            now.steadyMillis,
            now.wallMillis,
            overdueMillis,
            jobKnowledge(now.steadyMillis),
            executorsAsOfMillis,
        )
        val confirmed = confirmationOf(now)
        orders.forEach { orderSender.send(it, confirmed) }
        scheduler.takeQuestions().forEach(orderSender::askAdvisor)
        if (now.steadyMillis - workspacesReportedMillis >= WORKSPACE_REPORT_MILLIS) {
            workspacesReportedMillis = now.steadyMillis
            reportWorkspaces(scheduler.workspaceStatus())
        }
        if (overdueMillis < 0) {
            progressWriter.writeIfDue(now.steadyMillis)
            configuration?.let { machines?.runDueWork(now, it) }
            jobIntake.removeExpiredRows(now.steadyMillis)
        }
    }

    /**
     * When what the orders of the pass at [decided] rest on was last certain. That is the present time if the lease is
     * valid and jobs and executors are known well enough now, so that a pass which takes long on a slow machine loses
     * no orders.
     */
    private fun confirmationOf(decided: ClockReadings): ClockReadings {
        val now = ClockReadings(ports.nowMillis(), ports.wallMillis())
        val jobs = jobKnowledge(now.steadyMillis)
        val isConfirmed = lease.overdueMillis(now) < 0 &&
            jobs.allowsStarts(now.steadyMillis, settings.maxJobsAgeMillis) &&
            jobs.allowsStartsByEntries(
                now.steadyMillis,
                executorsAsOfMillis,
                SchedulerSettings.MAX_EXECUTORS_AGE_MILLIS,
            )
        return if (isConfirmed) now else decided
    }

    /** Time up to which the executors' entries are known. */
    private val executorsAsOfMillis: Long get() = executorFeedAge.asOfMillis ?: readStartMillis

    private fun jobKnowledge(nowMillis: Long) = JobKnowledge(
        jobFeedAge.asOfMillis ?: readStartMillis,
        ports.storeContact?.lastAnswerMillis ?: nowMillis,
        ports.storeContact?.failedCallSentMillis,
    )

    /** Several polls fit into the time for which knowledge of jobs is current. */
    private fun jobPollWaitMillis() = minOf(MAX_JOB_POLL_WAIT_MILLIS, settings.maxJobsAgeMillis / JOB_POLLS_WITHIN_AGE)

    private fun recordJobsKnown(asOfMillis: Long) {
        jobFeedAge.recordKnown(asOfMillis)
        ports.reportJobsAsOf(jobFeedAge.asOfMillis)
    }

    private fun onJobsRead(stored: StoredJobs) {
        val nowMillis = ports.nowMillis()
        jobIntake.applyRows(nowMillis, stored.jobRows, stored.progressRows, neverStarted = false)
        logEvent(
            "jobs read",
            "epoch" to epoch,
            "jobs" to scheduler.jobs.size,
            "active" to scheduler.activeJobs.size,
            "cancellations" to jobIntake.unmatchedCount,
            "revision" to stored.jobsRevision,
        )
        machines?.applyStoredWaves(stored.waveRows)
        applyRosterRows(stored.rosterRows)
        recordJobsKnown(readStartMillis)
        jobsLoaded = true
        jobFeed.start(stored.jobsRevision)
        becomeReadyIfLoaded()
    }

    private fun applyRosterRows(rows: List<StoredRow>) {
        rows.forEach { row ->
            val value = row.value ?: return@forEach
            try {
                storedRosters[PoolId(row.address.key)] = StoredRoster(PoolRoster.decode(value), row.revision)
            } catch (e: IllegalArgumentException) {
                logEvent("row unreadable", "key" to row.address.key, "why" to e.message)
            }
        }
    }

    private fun onExecutorsRead(updates: List<FleetUpdate>) {
        val listed = updates.mapNotNullTo(HashSet<InstanceId>()) { (it as? FleetUpdate.ExecutorListed)?.executor?.id }
        val nowMillis = ports.nowMillis()
        scheduler.executors.keys.filter { it !in listed }.forEach { scheduler.onExecutorUnlisted(nowMillis, it) }
        updates.forEach(::applyExecutorUpdate)
    }

    private fun recordExecutorsKnown(asOfMillis: Long) {
        executorFeedAge.recordKnown(asOfMillis)
        scheduler.onExecutorsRead(executorFeedAge.asOfMillis ?: asOfMillis)
        executorsLoaded = true
        becomeReadyIfLoaded()
    }

    private fun applyExecutorUpdate(update: FleetUpdate) {
        val nowMillis = ports.nowMillis()
        when (update) {
            is FleetUpdate.ExecutorListed -> scheduler.onExecutorListed(nowMillis, update.executor)
            is FleetUpdate.ExecutorUnlisted -> scheduler.onExecutorUnlisted(nowMillis, update.id)
            is FleetUpdate.Unreadable -> logEvent("row unreadable", "key" to update.key, "why" to update.reason)
            else -> Unit
        }
    }

    private fun recordStoreResult(verdict: Verdict<*>) {
        if (storeOutage.recordResult(verdict)) scheduler.onStoreRegained(ports.nowMillis())
    }

    private fun becomeReadyIfLoaded() {
        if (ready || !jobsLoaded || !executorsLoaded) return
        ready = true
        val nowMillis = ports.nowMillis()
        scheduler.startRecovery(nowMillis, storedRosters, startedMillis + settings.earlierLeasesMillis)
        waves.values.forEach { machines?.addWave(it, firstHolder = false) }
        logEvent("session ready", "epoch" to epoch, "executors" to scheduler.executors.size)
    }

    private companion object {
        /**
         * How long a long poll of the executors' entries waits for changes, and the pause between two polls, since the
         * entries change with each heartbeat. With both, the entries are known up to less than
         * [SchedulerSettings.MAX_EXECUTORS_AGE_MILLIS] ago also if the store takes 0.8 s for a call.
         */
        const val EXECUTORS_POLL_WAIT_MILLIS = 200L
        const val EXECUTORS_POLL_GAP_MILLIS = 250L

        /** How long a long poll of jobs waits at most. */
        const val MAX_JOB_POLL_WAIT_MILLIS = 500L
        const val JOB_POLLS_WITHIN_AGE = 4

        /** Callers may get a count of waiting jobs that is at most this old. */
        const val MAX_COUNT_AGE_MILLIS = 2_000L

        /** Time between two reports of the state of the workspaces. */
        const val WORKSPACE_REPORT_MILLIS = 2_000L
    }
}
