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
import org.gypsumturn.batch.port.FleetUpdatePage
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
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/**
 * The services that a session calls. [machines] and [advisor] are null if none is configured.
 *
 * @property storeContact tells whether the store answers; if it is null the store counts as answering at any time
 * @property reportJobsAsOf receives the time on the steady clock up to which the stored jobs are known, whenever it
 * changes, and null at the end of the term
 * @property nowMillis reads the steady clock
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
        ExecutorOrderSender(scheduler, ports.executors, ports.advisor, epoch, post, ports.nowMillis)
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

    private val storedRosters = HashMap<PoolId, StoredRoster>()
    private var configuration: FleetConfiguration? = null
    private var jobsLoaded = false
    private var executorsLoaded = false
    private var ready = false
    private var closed = false
    private val jobFeedAge = FeedAge(MAX_COUNT_AGE_MILLIS)
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
        readExecutors()
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
        scheduler.runSchedulingPass(now.steadyMillis, now.wallMillis, overdueMillis, jobKnowledge(now.steadyMillis))
            .forEach(orderSender::send)
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

    private fun readExecutors() {
        ports.updates.readAll(FleetUpdateKind.EXECUTORS, CALL_TIMEOUT_MILLIS) { verdict ->
            post { if (!closed) onExecutorsRead(verdict) }
        }
    }

    private fun onExecutorsRead(verdict: Verdict<FleetUpdatePage>) {
        recordStoreResult(verdict)
        val page = (verdict as? Verdict.Ran)?.value
        if (page == null) {
            postDelayed(RETRY_MILLIS) { if (!closed) readExecutors() }
            return
        }
        val updates = page.updates.orEmpty()
        val listed = updates.mapNotNullTo(HashSet<InstanceId>()) { (it as? FleetUpdate.ExecutorListed)?.executor?.id }
        val nowMillis = ports.nowMillis()
        scheduler.executors.keys.filter { it !in listed }.forEach { scheduler.onExecutorUnlisted(nowMillis, it) }
        updates.forEach(::applyExecutorUpdate)
        scheduler.onExecutorsRead(nowMillis)
        executorsLoaded = true
        awaitExecutorUpdates(page.revision)
        becomeReadyIfLoaded()
    }

    private fun awaitExecutorUpdates(after: Revision) {
        ports.updates.awaitUpdates(
            FleetUpdateKind.EXECUTORS,
            after,
            POLL_WAIT_MILLIS,
            POLL_WAIT_MILLIS + POLL_TIMEOUT_MILLIS,
        ) { verdict ->
            post { if (!closed) onExecutorUpdates(after, verdict) }
        }
    }

    private fun onExecutorUpdates(after: Revision, verdict: Verdict<FleetUpdatePage>) {
        recordStoreResult(verdict)
        val page = (verdict as? Verdict.Ran)?.value
        when {
            page == null -> postDelayed(RETRY_MILLIS) { if (!closed) awaitExecutorUpdates(after) }

            page.updates == null -> {
                logEvent("history discarded", "table" to FleetUpdateKind.EXECUTORS)
                readExecutors()
            }

            else -> {
                page.updates.orEmpty().forEach(::applyExecutorUpdate)
                scheduler.onExecutorsRead(ports.nowMillis())
                postDelayed(POLL_GAP_MILLIS) { if (!closed) awaitExecutorUpdates(page.revision) }
            }
        }
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
        val waitMillis = settings.maxLeaseMillis + settings.maxLeaseMillis / SLOW_CLOCK_DIVISOR + LEASE_SLACK_MILLIS
        val nowMillis = ports.nowMillis()
        scheduler.startRecovery(nowMillis, storedRosters, nowMillis + waitMillis)
        waves.values.forEach { machines?.addWave(it, firstHolder = false) }
        logEvent("session ready", "epoch" to epoch, "executors" to scheduler.executors.size)
    }

    private companion object {
        /** How long a long poll waits for changes. */
        const val POLL_WAIT_MILLIS = 1_000L

        /** Time after the end of its wait at which a long poll has failed. */
        const val POLL_TIMEOUT_MILLIS = 700L

        /** How long a long poll of jobs waits at most. */
        const val MAX_JOB_POLL_WAIT_MILLIS = 500L
        const val JOB_POLLS_WITHIN_AGE = 4

        /** Callers may get a count of waiting jobs that is at most this old. */
        const val MAX_COUNT_AGE_MILLIS = 2_000L

        /** Timeout of a read. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** Pause before a failed call is repeated. */
        const val RETRY_MILLIS = 100L

        /** Pause between two polls of the executors' entries, since these change with each heartbeat. */
        const val POLL_GAP_MILLIS = 250L

        /** The clock of an executor may be up to 2 % slow. The lease divided by this is more than that. */
        const val SLOW_CLOCK_DIVISOR = 30

        /** Time that the last order of an earlier lease holder may take to reach an executor. */
        const val LEASE_SLACK_MILLIS = 200L

        /** Time between two reports of the state of the workspaces. */
        const val WORKSPACE_REPORT_MILLIS = 2_000L
    }
}
