// Removes the rows of jobs that ended long ago, a page at a time, so that the cost is small and steady.

package org.gypsumturn.jobs

import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write

/** Walks through the ended jobs of the owned pools. */
internal class Retention(
    private val table: TableStore,
    private val state: OwnerState,
    private val health: TableHealth,
) {
    private val settings = state.settings
    private var nextMillis = Long.MIN_VALUE
    private var pool: PoolId? = null
    private var after: RowKey? = null

    /** Looks at one page, if it is time. */
    fun sweep(nowMillis: Long) {
        if (nowMillis < nextMillis || !health.isUp) return
        nextMillis = nowMillis + settings.sweepEveryMillis
        val current = pool?.let { state.pools[it] } ?: nextPool() ?: return
        val page = table.scan(JobRows.donePrefix(current.id), after, PAGE_ROWS, settings.tableTimeoutMillis)
        if (page !is Verdict.Ran) return health.failed(nowMillis)
        val old =
            page.value.filter { row ->
                val ended = row.value?.let(JobRows::decodeJob)?.finishedAtMillis ?: nowMillis
                nowMillis - ended > settings.retentionMillis
            }
        if (old.isNotEmpty()) {
            val removal = Transaction(listOf(current.fenceCondition()), old.map { Write(it.key, null) })
            if (table.commit(removal, settings.tableTimeoutMillis) !is Verdict.Ran) return health.failed(nowMillis)
        }
        after = page.value.lastOrNull()?.key
        if (page.value.size < PAGE_ROWS) nextPool()
    }

    private fun nextPool(): OwnedPool? {
        val pools = state.pools.keys.sorted()
        val next = pools.firstOrNull { candidate -> pool?.let { candidate > it } ?: true } ?: pools.firstOrNull()
        pool = next
        after = null
        return next?.let { state.pools[it] }
    }

    private companion object {
        const val PAGE_ROWS = 200
    }
}
