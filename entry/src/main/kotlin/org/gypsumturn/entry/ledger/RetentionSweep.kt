// Removes the rows of keyed requests whose retention time is over, a page at a time.

package org.gypsumturn.entry.ledger

import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore

/**
 * Sweeps the rows of all keyed requests. Not thread-safe; blocks on [table].
 *
 * Each step reads at most [pageRows] rows and removes those that are too old in one transaction. With a step every
 * i milliseconds it costs at most 1000 * pageRows / i row reads a second, and removes what n keyed requests a second
 * leave as long as one walk over all rows is short against the retention time. One entry sweeps at a time; two
 * that do so by chance are harmless, since a removal is conditional on the row's revision.
 */
internal class RetentionSweep(
    private val table: TableStore,
    private val retentionMillis: Long,
    private val pageRows: Int,
    private val storeTimeoutMillis: Long,
) {
    private val committer = GroupCommitter(table)
    private var after: RowKey? = null

    /** Sweeps the next page; the number of rows removed. [epochMillis] is the time since the epoch. */
    fun step(epochMillis: Long): Int {
        val page = table.scan(IntentRows.PREFIX, after, pageRows, storeTimeoutMillis)
        if (page !is Verdict.Ran) return 0
        after = page.value.lastOrNull()?.key?.takeIf { page.value.size == pageRows }
        val old = page.value.filter { row ->
            val written = row.value?.let { IntentRows.decode(it).atMillis } ?: epochMillis
            epochMillis - written > retentionMillis
        }
        if (old.isEmpty()) return 0
        val results = committer.commit(old.map { RowWrite(it.key, it.revision, null) }, storeTimeoutMillis)
        return results.values.count { it is RowWriteResult.Written }
    }
}
