// Removes the rows of jobs that ended longer ago than the retention time, one page at a time, to spread the load on the
// table.

package org.gypsumturn.jobs

import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write

/** Goes through the ended jobs of the owned pools and removes expired ones. */
internal class EndedJobSweeper(
    private val table: TableStore,
    private val state: OwnerState,
    private val health: TableHealth,
) {
    private val settings = state.settings
    private var nextSweepMillis = Long.MIN_VALUE
    private var pool: PoolId? = null
    private var after: RowKey? = null

    /** Reads the next page of ended jobs, if a sweep is due, and removes the expired ones. */
    fun sweep(nowMillis: Long) {
        if (nowMillis < nextSweepMillis || !health.isUp) return
        nextSweepMillis = nowMillis + settings.sweepEveryMillis
        val current = pool?.let { state.pools[it] } ?: advancePool() ?: return
        val page = table.scan(JobRows.donePrefix(current.id), after, PAGE_ROWS, settings.tableTimeoutMillis)
        if (page !is Verdict.Ran) return health.onFailure(nowMillis)
        val expired =
            page.value.filter { row ->
                val ended = row.value?.let(JobRows::decodeJob)?.finishedAtMillis ?: nowMillis
                nowMillis - ended > settings.retentionMillis
            }
        if (expired.isNotEmpty()) {
            val removal = Transaction(listOf(current.fenceCondition()), expired.map { Write(it.key, null) })
            if (table.commit(removal, settings.tableTimeoutMillis) !is Verdict.Ran) return health.onFailure(nowMillis)
        }
        after = page.value.lastOrNull()?.key
        if (page.value.size < PAGE_ROWS) advancePool()
    }

    private fun advancePool(): OwnedPool? {
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
