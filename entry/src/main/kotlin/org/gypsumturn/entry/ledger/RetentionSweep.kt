// Removes the rows of keyed requests whose retention time is over, one page of rows at a time.

package org.gypsumturn.entry.ledger

import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore

/**
 * Scans the rows of all keyed requests in a cycle and removes old ones. Not thread-safe; blocks on [table].
 *
 * Each step reads at most [pageRows] rows and removes those that are older than [retentionMillis] in one transaction.
 * With a step every i milliseconds it reads at most 1000 * pageRows / i rows per second. The sweep keeps up with new
 * rows as long as one scan of all rows takes much less time than the retention time. Normally one entry sweeps at a
 * time. Two at once do no harm, because each removal is conditional on the revision of the row.
 */
internal class RetentionSweep(
    private val table: TableStore,
    private val retentionMillis: Long,
    private val pageRows: Int,
    private val storeTimeoutMillis: Long,
) {
    private val committer = GroupCommitter(table)
    private var afterKey: RowKey? = null

    /**
     * Sweeps the next page and returns the number of rows removed. [epochMillis] is the current time since the epoch.
     */
    fun sweepPage(epochMillis: Long): Int {
        val page = table.scan(IntentRowCodec.PREFIX, afterKey, pageRows, storeTimeoutMillis)
        if (page !is Verdict.Ran) return 0
        afterKey = page.value.lastOrNull()?.key?.takeIf { page.value.size == pageRows }
        val expired = page.value.filter { row ->
            val written = row.value?.let { IntentRowCodec.decode(it).atMillis } ?: epochMillis
            epochMillis - written > retentionMillis
        }
        if (expired.isEmpty()) return 0
        val results = committer.commit(expired.map { RowWrite(it.key, it.revision, null) }, storeTimeoutMillis)
        return results.values.count { it is RowWriteResult.Written }
    }
}
