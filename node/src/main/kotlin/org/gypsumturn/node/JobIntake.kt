// Passes the stored rows of jobs and cancellations on to the scheduler of the lease holder, and removes those that are
// no longer kept. Rows arrive in any order: partitions are read one by one, and a job may be stored after its
// cancellation.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowCondition
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.DecisionLog
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.StoredCancellation
import org.gypsumturn.batch.state.UnmatchedCancellations
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/**
 * The rows of jobs and cancellations during one term of the control lease. All calls must be on the thread of
 * [scheduler].
 *
 * @param post runs an action on the thread of the scheduler
 */
public class JobIntake(
    private val scheduler: BatchScheduler,
    private val store: RowStore,
    settings: SchedulerSettings,
    private val decisionLog: DecisionLog,
    private val post: Post,
) {
    /** Cancellations are kept for as long as ended jobs, so that a cancelled job is no longer known when they go. */
    private val unmatched = UnmatchedCancellations(settings.endedJobKeptMillis)
    private val rowsByJob = HashMap<JobId, MutableSet<RowAddress>>()
    private var lastRemovalMillis = 0L
    private var removesCancellations = false
    private var openNoticeReads = 0

    /** Whether cancellations of jobs that are not known may be stored. */
    public val acceptsUnmatched: Boolean get() = !unmatched.isFull

    /** Number of cancellations whose job is not known. */
    public val unmatchedCount: Int get() = unmatched.size

    /** Set at the end of the term. Answers that arrive later are ignored. */
    public var closed: Boolean = false

    /**
     * Applies [rows] of jobs and cancellations that were read at [nowMillis], with the stored progress of the jobs in
     * [progressRows]. [neverStarted] tells that no earlier holder can have started the jobs, and is false for each row
     * that was stored when this term began. The revision of the row can't tell this, since the node that accepted the
     * job may write the row again.
     */
    public fun applyRows(
        nowMillis: Long,
        rows: List<StoredRow>,
        progressRows: List<StoredRow> = emptyList(),
        neverStarted: Boolean,
    ) {
        val progress = progressRows.associateBy { it.address.key }
        rows.forEach { row ->
            val cancelled = JobRows.cancelledJob(row.address)
            val value = row.value
            try {
                when {
                    cancelled != null -> applyCancellation(nowMillis, cancelled, row)
                    value != null -> applyJob(nowMillis, row, value, progress[row.address.key], neverStarted)
                }
            } catch (e: IllegalArgumentException) {
                logEvent("row unreadable", "key" to row.address.key, "why" to e.message)
            }
        }
    }

    private fun applyJob(
        nowMillis: Long,
        row: StoredRow,
        value: ByteArray,
        progress: StoredRow?,
        neverStarted: Boolean,
    ) {
        rowsOf(JobId(row.address.key)) += row.address
        val record = progress?.value?.let { ProgressRecord.decode(it) }
        val job = JobRows.decode(value)
        scheduler.addJob(nowMillis, job, record, progress?.revision ?: Revision.ABSENT, neverStarted)
        unmatched.takeMatching(job).forEach { cancellation ->
            val heldMillis = nowMillis - cancellation.readMillis
            cancel(nowMillis, job.id, cancellation.address, cancellation.revision, cancellation.content, heldMillis)
        }
    }

    private fun applyCancellation(nowMillis: Long, id: JobId, row: StoredRow) {
        val value = row.value
        if (value == null) {
            unmatched.onRemoved(row.address, row.revision)
            return
        }
        val content = StoredCancellation.decode(value)
        val job = scheduler.job(id)
        if (job != null && content.appliesTo(job.job)) {
            unmatched.onRemoved(row.address, row.revision)
            cancel(nowMillis, id, row.address, row.revision, content, heldMillis = 0)
        } else {
            unmatched.add(nowMillis, id, row.address, row.revision, content)
        }
    }

    private fun cancel(
        nowMillis: Long,
        id: JobId,
        address: RowAddress,
        revision: Revision,
        content: StoredCancellation,
        heldMillis: Long,
    ) {
        rowsOf(id) += address
        if (content.caller != null) {
            decisionLog(
                "cancellation matched",
                arrayOf("job" to id, "workspace" to content.caller?.workspace, "held_ms" to heldMillis),
            )
        }
        cancelJob(nowMillis, id, address, "by" to "feed", "revision" to revision, "held_ms" to heldMillis)
    }

    /** Cancels job [id], whose cancellation is stored at [address]. The log line has [fields] too. */
    private fun cancelJob(nowMillis: Long, id: JobId, address: RowAddress, vararg fields: Pair<String, Any?>) {
        if (scheduler.job(id)?.phase?.ended == false) {
            decisionLog(
                "cancellation applied",
                arrayOf(
                    "job" to id,
                    "partition" to address.partition,
                    *fields,
                    "jobs_age_ms" to scheduler.jobKnowledge?.ageMillis(nowMillis),
                ),
            )
        }
        scheduler.cancelJob(nowMillis, id)
    }

    /**
     * Applies the stored cancellation of [notice] at [nowMillis], as if its row had been read. If the job is not known,
     * or is not the caller's, the row is read, which tells its revision.
     */
    public fun applyNotice(nowMillis: Long, notice: CancellationNotice) {
        val address = JobRows.cancellation(notice.job, notice.partition, notice.content.caller)
        val job = scheduler.job(notice.job)
        if (job != null && notice.content.appliesTo(job.job)) {
            rowsOf(notice.job) += address
            cancelJob(nowMillis, notice.job, address, "by" to "notice")
        } else {
            readNoticedRow(nowMillis, address)
        }
    }

    private fun readNoticedRow(nowMillis: Long, address: RowAddress) {
        if (openNoticeReads >= MAX_NOTICE_READS) return
        openNoticeReads++
        store.read(address.table, address.partition, address.key, 1, CALL_TIMEOUT_MILLIS) { verdict ->
            post {
                openNoticeReads--
                val rows = (verdict as? Verdict.Ran)?.value?.rows.orEmpty().filter { it.address == address }
                if (!closed) applyRows(nowMillis, rows, neverStarted = false)
            }
        }
    }

    private fun rowsOf(id: JobId) = rowsByJob.getOrPut(id) { HashSet(1) }

    /** Removes rows of jobs and cancellations that are no longer kept, if the last removal is long enough ago. */
    public fun removeExpiredRows(nowMillis: Long) {
        if (nowMillis - lastRemovalMillis < REMOVAL_INTERVAL_MILLIS) return
        lastRemovalMillis = nowMillis
        val expired = scheduler.takeExpiredJobs(nowMillis, MAX_REMOVED_JOBS)
        if (expired.isNotEmpty()) removeRows(expired)
        if (!removesCancellations) removeExpiredCancellations(nowMillis)
    }

    /**
     * Removes the rows of [jobs]. The progress of a job goes only after the job itself, since a stored job without
     * progress would be taken for a new one.
     */
    private fun removeRows(jobs: List<JobState>) {
        val groups = jobs.flatMap { rowsByJob.remove(it.job.id).orEmpty() }.groupBy { it.partition }.values
        var open = groups.size
        var failed = false
        groups.forEach { rows ->
            remove(rows) { removed ->
                open--
                failed = failed || !removed
                if (open == 0 && !failed) remove(jobs.map { JobRows.progress(it.job.id) }) { }
            }
        }
    }

    private fun remove(rows: List<RowAddress>, onDone: (Boolean) -> Unit) {
        transact(emptyList(), rows) { verdict ->
            // The next lease holder reads rows that are left as jobs that have ended, and removes them.
            onDone(verdict is Verdict.Ran)
        }
    }

    /**
     * Removes the rows of expired cancellations, partition by partition. Each is removed only if it is unchanged, since
     * a caller may have repeated the request. A cancellation is forgotten once its row is known to be gone, so that a
     * removal that fails is repeated.
     */
    private fun removeExpiredCancellations(nowMillis: Long) {
        val expired = unmatched.expiredRows(nowMillis, MAX_REMOVED_CANCELLATIONS)
        removesCancellations = expired.isNotEmpty()
        if (expired.isEmpty()) return
        transact(expired, expired.map { it.address }) { verdict ->
            when (val outcome = (verdict as? Verdict.Ran)?.value) {
                is TransactionOutcome.Committed -> {
                    expired.forEach { unmatched.onRemoved(it.address, it.revision) }
                    logEvent("cancellations expired", "rows" to expired.size, "left" to unmatched.size)
                    removeExpiredCancellations(nowMillis)
                }

                is TransactionOutcome.Conflict -> {
                    applyCurrentRows(nowMillis, expired, outcome.current)
                    removesCancellations = false
                }

                null -> removesCancellations = false
            }
        }
    }

    /** Takes over which of the rows in [conditions] have changed, or are gone by a removal that got no answer. */
    private fun applyCurrentRows(nowMillis: Long, conditions: List<RowCondition>, current: List<StoredRow>) {
        val present = current.mapTo(HashSet()) { it.address }
        conditions.filter { it.address !in present }.forEach { unmatched.onRemoved(it.address, it.revision) }
        applyRows(nowMillis, current, neverStarted = false)
    }

    private fun transact(
        conditions: List<RowCondition>,
        removed: List<RowAddress>,
        onVerdict: (Verdict<TransactionOutcome>) -> Unit,
    ) {
        val transaction = RowTransaction(conditions, removed.map { RowWrite(it, null) })
        store.transact(transaction, CALL_TIMEOUT_MILLIS) { verdict ->
            verdict.failureOrNull()?.let { logEvent("rows not removed", "rows" to removed.size, "why" to it.message) }
            post { if (!closed) onVerdict(verdict) }
        }
    }

    private companion object {
        /** Timeout of a removal, and of a read. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** Reads of rows of notices without an answer from which on the feed of jobs is relied on. */
        const val MAX_NOTICE_READS = 16

        /** Time between two removals of rows of expired jobs. */
        const val REMOVAL_INTERVAL_MILLIS = 2_000L

        /** Number of jobs whose rows are removed at once. */
        const val MAX_REMOVED_JOBS = 40

        /** Number of cancellations that are removed at once. A transaction takes 100 entries, two for each row. */
        const val MAX_REMOVED_CANCELLATIONS = 48
    }
}
