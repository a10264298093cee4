// What the holder of the control lease does for as long as it holds it: reads what is stored, follows jobs and
// executors, schedules, stores progress, and drops what has expired.

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
import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.DecisionLog
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/** What a session talks to. */
public class SessionPorts(
    public val store: RowStore,
    public val news: FleetUpdateFeed,
    public val executors: ExecutorCalls,
    public val machines: MachineControl?,
    public val advisor: PlacementAdvisor?,
)

/** One term of holding the lease. */
public class HolderSession(
    private val lease: ControlLease,
    private val settings: SchedulerSettings,
    machineTimes: MachineTimes,
    private val ports: SessionPorts,
    decisions: DecisionLog,
    private val post: Post,
    private val later: Later,
) {
    private val epoch = lease.epoch
    private val scheduler = BatchScheduler(settings, epoch, decisions)
    private val carrier = OrderCarrier(scheduler, ports.executors, ports.advisor, epoch, post)
    private val fence = ProgressFence(ports.store, epoch, post, later)
    private val writer = ProgressWriter(scheduler, fence, ports.store, post)
    private val reader = TakeoverReader(ports.store, post, later, ::jobsRead)
    private val machines =
        ports.machines?.let {
            MachineDuty(scheduler, epoch, fence, machineTimes, ports.store, ports.news, it, decisions, post)
        }
    private val waves = LinkedHashMap<Long, UpkeepWave>()
    private val earlyCancellations = HashSet<JobId>()
    private val rowsOfJob = HashMap<JobId, MutableSet<RowAddress>>()
    private var configuration: FleetConfiguration? = null
    private var jobsLoaded = false
    private var executorsLoaded = false
    private var ready = false
    private var closed = false
    private val storeOutage = OutageLog("store lost", "store regained", "by" to "holder")
    private var sweptMillis = 0L

    /** Whether another process has taken the lease over. */
    public val fencedOff: Boolean get() = fence.lost || scheduler.fencedOff

    /** Begins to read. */
    public fun start() {
        fence.raise { reader.start() }
        readExecutors()
    }

    /** Ends the session; answers that are still under way are passed over. */
    public fun close() {
        closed = true
        carrier.closed = true
        machines?.close()
        reader.cancelled = true
        fence.cancelled = true
    }

    /** Puts [configuration] in force. */
    public fun configured(configuration: FleetConfiguration) {
        this.configuration = configuration
        scheduler.configure(configuration)
    }

    /** A wave was asked for. */
    public fun waveRequested(wave: UpkeepWave) {
        waves[wave.number] = wave
        if (ready) machines?.waveRequested(wave, fresh = true)
    }

    /** The state of a job as it may be shown; null while not everything is read. */
    public fun jobState(id: JobId): HolderAnswer? {
        if (!ready) return null
        return scheduler.job(id)?.let { HolderAnswer.State(it.visiblePhase) } ?: HolderAnswer.NoJob
    }

    /** Jobs of [queue] of which nothing was started; null while not everything is read. */
    public fun pendingJobs(queue: QueueId): Int? = if (ready) scheduler.pendingJobCount(queue) else null

    /** Does what is due at [now]. */
    public fun work(now: ClockReadings) {
        if (!ready || closed) return
        val overdueMillis = lease.overdueMillis(now)
        scheduler.runSchedulingPass(now.steadyMillis, now.wallMillis, overdueMillis).forEach(carrier::carry)
        scheduler.takeQuestions().forEach(carrier::ask)
        if (overdueMillis < 0) {
            writer.work(now.steadyMillis)
            configuration?.let { machines?.work(now, it) }
            sweep(now.steadyMillis)
        }
    }

    private fun jobsRead(stored: StoredJobs) {
        val nowMillis = NodeClock.steadyMillis()
        val progress = stored.progressRows.associateBy { it.address.key }
        stored.jobRows.forEach { row -> takeJobRow(nowMillis, row, progress[row.address.key], fresh = false) }
        logEvent(
            "jobs read",
            "epoch" to epoch,
            "jobs" to scheduler.jobs.size,
            "active" to scheduler.activeJobs.size,
            "revision" to stored.jobsRevision,
        )
        machines?.wavesStored(stored.waveRows)
        jobsLoaded = true
        followJobs(stored.jobsRevision)
        readyIfLoaded()
    }

    /**
     * Takes a row in. A job that stood in the store when this term began is not [fresh]: an earlier holder may have
     * begun it. The revision of its row tells nothing, since an acceptor may write a row again.
     */
    private fun takeJobRow(nowMillis: Long, row: StoredRow, progress: StoredRow?, fresh: Boolean) {
        val value = row.value ?: return
        val cancelled = JobRows.cancelledJob(row.address)
        rowsOfJob.getOrPut(cancelled ?: JobId(row.address.key)) { HashSet(1) } += row.address
        if (cancelled != null) {
            if (scheduler.job(cancelled) == null) earlyCancellations += cancelled
            scheduler.cancelJob(nowMillis, cancelled)
            return
        }
        try {
            val record = progress?.value?.let { ProgressRecord.decode(it) }
            val revision = progress?.revision ?: Revision.ABSENT
            val job = JobRows.decode(value)
            scheduler.addJob(nowMillis, job, record, revision, fresh)
            if (earlyCancellations.remove(job.id)) scheduler.cancelJob(nowMillis, job.id)
        } catch (e: IllegalArgumentException) {
            logEvent("row unreadable", "key" to row.address.key, "why" to e.message)
        }
    }

    private fun followJobs(after: Revision) {
        ports.store.awaitChanges(JobRows.TABLE, after, WAIT_MILLIS, WAIT_MILLIS + WAIT_TIMEOUT_MILLIS) { verdict ->
            post { if (!closed) jobsChanged(after, verdict) }
        }
    }

    private fun jobsChanged(after: Revision, verdict: Verdict<RowChanges>) {
        noteStore(verdict)
        when (val changes = (verdict as? Verdict.Ran)?.value) {
            is RowChanges.Known -> {
                val nowMillis = NodeClock.steadyMillis()
                changes.rows.forEach { takeJobRow(nowMillis, it, null, fresh = true) }
                followJobs(changes.revision)
            }

            RowChanges.Discarded -> {
                logEvent("history discarded", "table" to JobRows.TABLE)
                TakeoverReader(ports.store, post, later, ::jobsReadAgain).start()
            }

            null -> later(RETRY_MILLIS) { if (!closed) followJobs(after) }
        }
    }

    private fun jobsReadAgain(stored: StoredJobs) {
        val nowMillis = NodeClock.steadyMillis()
        stored.jobRows.forEach { takeJobRow(nowMillis, it, null, fresh = true) }
        followJobs(stored.jobsRevision)
    }

    private fun readExecutors() {
        ports.news.readAll(FleetUpdateKind.EXECUTORS, CALL_TIMEOUT_MILLIS) { verdict ->
            post { if (!closed) executorsRead(verdict) }
        }
    }

    private fun executorsRead(verdict: Verdict<FleetUpdatePage>) {
        noteStore(verdict)
        val page = (verdict as? Verdict.Ran)?.value
        if (page == null) {
            later(RETRY_MILLIS) { if (!closed) readExecutors() }
            return
        }
        val news = page.updates.orEmpty()
        val listed = news.mapNotNullTo(HashSet<InstanceId>()) { (it as? FleetUpdate.ExecutorListed)?.executor?.id }
        val nowMillis = NodeClock.steadyMillis()
        scheduler.executors.keys.filter { it !in listed }.forEach { scheduler.onExecutorUnlisted(nowMillis, it) }
        news.forEach(::takeExecutor)
        executorsLoaded = true
        followExecutors(page.revision)
        readyIfLoaded()
    }

    private fun followExecutors(after: Revision) {
        ports.news.awaitUpdates(
            FleetUpdateKind.EXECUTORS,
            after,
            WAIT_MILLIS,
            WAIT_MILLIS + WAIT_TIMEOUT_MILLIS,
        ) { verdict ->
            post { if (!closed) executorsChanged(after, verdict) }
        }
    }

    private fun executorsChanged(after: Revision, verdict: Verdict<FleetUpdatePage>) {
        noteStore(verdict)
        val page = (verdict as? Verdict.Ran)?.value
        when {
            page == null -> later(RETRY_MILLIS) { if (!closed) followExecutors(after) }

            page.updates == null -> {
                logEvent("history discarded", "table" to FleetUpdateKind.EXECUTORS)
                readExecutors()
            }

            else -> {
                page.updates.orEmpty().forEach(::takeExecutor)
                later(LIST_PAUSE_MILLIS) { if (!closed) followExecutors(page.revision) }
            }
        }
    }

    private fun takeExecutor(news: FleetUpdate) {
        val nowMillis = NodeClock.steadyMillis()
        when (news) {
            is FleetUpdate.ExecutorListed -> scheduler.onExecutorListed(nowMillis, news.executor)
            is FleetUpdate.ExecutorUnlisted -> scheduler.onExecutorUnlisted(nowMillis, news.id)
            is FleetUpdate.Unreadable -> logEvent("row unreadable", "key" to news.key, "why" to news.reason)
            else -> Unit
        }
    }

    private fun noteStore(verdict: Verdict<*>) {
        if (storeOutage.note(verdict)) scheduler.onStoreRegained(NodeClock.steadyMillis())
    }

    private fun readyIfLoaded() {
        if (ready || !jobsLoaded || !executorsLoaded) return
        ready = true
        val waitMillis = settings.leaseMillis + settings.leaseMillis / SLOW_CLOCK_PART + LEASE_SLACK_MILLIS
        if (scheduler.activeJobs.isNotEmpty()) scheduler.startRecovery(NodeClock.steadyMillis() + waitMillis)
        waves.values.forEach { machines?.waveRequested(it, fresh = false) }
        logEvent("session ready", "epoch" to epoch, "executors" to scheduler.executors.size)
    }

    /** Removes the rows of jobs whose end is old. */
    private fun sweep(nowMillis: Long) {
        if (nowMillis - sweptMillis < SWEEP_MILLIS) return
        sweptMillis = nowMillis
        val expired = scheduler.takeExpiredJobs(nowMillis, SWEEP_JOBS)
        if (expired.isNotEmpty()) removeRows(expired)
    }

    /** Removes jobs before their progress: a job without progress would be taken for a new one. */
    private fun removeRows(jobs: List<JobState>) {
        val groups = jobs.flatMap { rowsOfJob.remove(it.job.id).orEmpty() }.groupBy { it.partition }.values
        var open = groups.size
        var failed = false
        groups.forEach { rows ->
            remove(rows) { done ->
                open--
                failed = failed || !done
                if (open == 0 && !failed) remove(jobs.map { JobRows.progress(it.job.id) }) { }
            }
        }
    }

    private fun remove(rows: List<RowAddress>, done: (Boolean) -> Unit) {
        val transaction = RowTransaction(emptyList(), rows.map { RowWrite(it, null) })
        ports.store.transact(transaction, CALL_TIMEOUT_MILLIS) { verdict ->
            // Rows that stay are removed by the next holder, which reads them as ended jobs.
            verdict.failureOrNull()?.let { logEvent("rows not removed", "rows" to rows.size, "why" to it.message) }
            post { if (!closed) done(verdict is Verdict.Ran) }
        }
    }

    private companion object {
        /** How long a call waits for changes. */
        const val WAIT_MILLIS = 1_000L

        /** Time beyond the wait after which the connection is given up. */
        const val WAIT_TIMEOUT_MILLIS = 700L

        /** Longest wait for a read or a removal. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** Pause after a failed call. */
        const val RETRY_MILLIS = 100L

        /** Pause between two looks at the executors' entries, which change with each heartbeat. */
        const val LIST_PAUSE_MILLIS = 250L

        /** Executors' clocks may run slow by two in a hundred; this part of a lease is above that. */
        const val SLOW_CLOCK_PART = 30

        /** An earlier holder's last order may have been under way for a while. */
        const val LEASE_SLACK_MILLIS = 200L

        /** Time between two removals of expired rows. */
        const val SWEEP_MILLIS = 2_000L

        /** Jobs whose rows are removed at once. */
        const val SWEEP_JOBS = 40
    }
}
