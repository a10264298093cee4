// Reads what the store holds when a term of the control lease begins: jobs and cancellations, which any node may have
// stored, and progress, waves and rosters of pools, which earlier lease holders have stored.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.PoolRoster
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/**
 * The stored rows of jobs, waves and rosters of pools.
 *
 * @property jobsRevision lowest revision at which a part of [jobRows] was read; changes after it may be missing there
 */
public class StoredJobs(
    public val jobRows: List<StoredRow>,
    public val progressRows: List<StoredRow>,
    public val waveRows: List<StoredRow>,
    public val rosterRows: List<StoredRow>,
    public val jobsRevision: Revision,
)

/**
 * Reads [StoredJobs] page by page and calls [onComplete] once with all of it. A page that fails is read again until
 * [cancelled].
 *
 * @param onlyJobs whether only the rows of jobs and cancellations are read, so that the other lists are empty
 */
public class TakeoverReader(
    private val store: RowStore,
    private val post: Post,
    private val postDelayed: DelayedPost,
    private val onlyJobs: Boolean = false,
    private val onComplete: (StoredJobs) -> Unit,
) {
    private val jobRows = ArrayList<StoredRow>()
    private val progressRows = ArrayList<StoredRow>()
    private val waveRows = ArrayList<StoredRow>()
    private val rosterRows = ArrayList<StoredRow>()
    private var jobsRevision = Revision(Long.MAX_VALUE)

    /** Number of partitions whose last page has not been read. */
    private var open = if (onlyJobs) JobRows.PARTITIONS else JobRows.PARTITIONS + 3

    /** Set when the result is no longer needed. No further pages are read and [onComplete] is not called. */
    public var cancelled: Boolean = false

    /** Starts reading all partitions at once. */
    public fun start() {
        JobRows.partitions.forEach { partition ->
            readPartition(JobRows.TABLE, partition, null, jobRows) { revision ->
                jobsRevision = minOf(jobsRevision, revision)
            }
        }
        if (onlyJobs) return
        readPartition(JobRows.PROGRESS_TABLE, JobRows.PROGRESS_PARTITION, null, progressRows) { }
        readPartition(WaveRows.TABLE, JobRows.PROGRESS_PARTITION, null, waveRows) { }
        readPartition(PoolRoster.TABLE, JobRows.PROGRESS_PARTITION, null, rosterRows) { }
    }

    private fun readPartition(
        table: String,
        partition: String,
        from: String?,
        rows: MutableList<StoredRow>,
        onRevision: (Revision) -> Unit,
    ) {
        store.read(table, partition, from, PAGE_ROWS, CALL_TIMEOUT_MILLIS) { verdict ->
            post {
                if (!cancelled) {
                    if (verdict is Verdict.Ran) {
                        onPage(verdict.value, table, partition, rows, onRevision)
                    } else {
                        logEvent("takeover read failed", "table" to table, "why" to verdict.failureOrNull()?.message)
                        postDelayed(RETRY_MILLIS) { readPartition(table, partition, from, rows, onRevision) }
                    }
                }
            }
        }
    }

    private fun onPage(
        page: RowPage,
        table: String,
        partition: String,
        rows: MutableList<StoredRow>,
        onRevision: (Revision) -> Unit,
    ) {
        rows += page.rows
        onRevision(page.revision)
        val next = page.nextKey
        if (next != null) {
            readPartition(table, partition, next, rows, onRevision)
            return
        }
        open--
        if (open == 0) onComplete(StoredJobs(jobRows, progressRows, waveRows, rosterRows, jobsRevision))
    }

    private companion object {
        /** Rows of a page. The store returns no more than this at once. */
        const val PAGE_ROWS = 500

        /** Timeout of reading a page. A slow store takes about half a second. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** Pause before a failed page is read again. */
        const val RETRY_MILLIS = 150L
    }
}
