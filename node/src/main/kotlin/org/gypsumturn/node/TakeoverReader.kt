// Reads what earlier holders and the acceptors have stored: jobs, cancellations and progress, page by page.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/** Everything that is stored about jobs and waves; changes after [jobsRevision] are not in it. */
public class StoredJobs(
    public val jobRows: List<StoredRow>,
    public val progressRows: List<StoredRow>,
    public val waveRows: List<StoredRow>,
    public val jobsRevision: Revision,
)

/** Reads [StoredJobs] once; a page that fails is read again until [cancelled]. */
public class TakeoverReader(
    private val store: RowStore,
    private val post: Post,
    private val later: Later,
    private val done: (StoredJobs) -> Unit,
) {
    private val jobRows = ArrayList<StoredRow>()
    private val progressRows = ArrayList<StoredRow>()
    private val waveRows = ArrayList<StoredRow>()
    private var jobsRevision = Revision(Long.MAX_VALUE)
    private var open = JobRows.PARTITIONS + 2

    /** Set when the result is not wanted any more. */
    public var cancelled: Boolean = false

    /** Begins to read. */
    public fun start() {
        JobRows.partitions.forEach { partition ->
            readPartition(JobRows.TABLE, partition, null, jobRows) { revision ->
                jobsRevision = minOf(jobsRevision, revision)
            }
        }
        readPartition(JobRows.PROGRESS_TABLE, JobRows.PROGRESS_PARTITION, null, progressRows) { }
        readPartition(WaveRows.TABLE, JobRows.PROGRESS_PARTITION, null, waveRows) { }
    }

    private fun readPartition(
        table: String,
        partition: String,
        from: String?,
        into: MutableList<StoredRow>,
        began: (Revision) -> Unit,
    ) {
        store.read(table, partition, from, PAGE_ROWS, CALL_TIMEOUT_MILLIS) { verdict ->
            post {
                if (!cancelled) {
                    if (verdict is Verdict.Ran) {
                        took(verdict.value, table, partition, into, began)
                    } else {
                        logEvent("takeover read failed", "table" to table, "why" to verdict.failureOrNull()?.message)
                        later(RETRY_MILLIS) { readPartition(table, partition, from, into, began) }
                    }
                }
            }
        }
    }

    private fun took(
        page: RowPage,
        table: String,
        partition: String,
        into: MutableList<StoredRow>,
        began: (Revision) -> Unit,
    ) {
        into += page.rows
        began(page.revision)
        val next = page.nextKey
        if (next != null) {
            readPartition(table, partition, next, into, began)
            return
        }
        open--
        if (open == 0) done(StoredJobs(jobRows, progressRows, waveRows, jobsRevision))
    }

    private companion object {
        /** Rows of a page; the store gives no more at once. */
        const val PAGE_ROWS = 500

        /** Longest wait for a page; a slow store takes about half a second. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** Pause before a page is read again. */
        const val RETRY_MILLIS = 150L
    }
}
