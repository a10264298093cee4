// Notices of new and cancelled jobs. An owner looks at one prefix for each of its buckets, so the reads grow with the
// buckets and not with pools or jobs; a notice is removed together with the next grouped commit.

package org.gypsumturn.jobs

import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Write

/** A notice whose jobs are in memory; its row can go. */
internal class HandledNotice(val key: RowKey, val pool: OwnedPool) {
    fun removal(): Write = Write(key, null)
}

/** Reads the notices of the owned buckets. */
internal class Inbox(
    private val table: TableStore,
    private val state: OwnerState,
    private val health: TableHealth,
    private val onAdopted: (HeldJob, Long) -> Unit,
    private val onChanged: (HeldJob, JobRecord, Revision, Long) -> Unit,
    private val onEnded: (HeldJob, Long) -> Unit,
) {
    private val settings = state.settings
    private val handled = LinkedHashMap<RowKey, HandledNotice>()
    private var nextPollMillis = Long.MIN_VALUE

    /** Takes in new jobs and cancellations of the pools in [buckets]. */
    fun poll(nowMillis: Long, buckets: Set<Int>) {
        if (nowMillis < nextPollMillis) return
        nextPollMillis = nowMillis + settings.inboxPollMillis
        handled.values.removeIf { state.pools[it.pool.id] !== it.pool }
        buckets.forEach { if (health.mayCall(nowMillis)) pollBucket(nowMillis, it) }
    }

    /** At most [max] notices to remove. */
    fun takeHandled(max: Int): List<HandledNotice> {
        val taken = handled.values.filter { state.pools[it.pool.id] === it.pool }.take(max)
        taken.forEach { handled.remove(it.key) }
        return taken
    }

    /** The removal of [notices] did not take effect, as far as is known. */
    fun giveBack(notices: List<HandledNotice>) {
        notices.forEach { handled[it.key] = it }
    }

    /** Reads on past a full page, lest notices for a pool that is gone hide those behind them. */
    private fun pollBucket(nowMillis: Long, bucket: Int) {
        var after: RowKey? = null
        repeat(MAX_PAGES) {
            val page = table.scan(JobRows.inboxPrefix(bucket), after, PAGE_NOTICES, settings.tableTimeoutMillis)
            if (page !is Verdict.Ran) return health.failed(nowMillis)
            health.answered()
            if (!page.value.all { take(nowMillis, it) } || page.value.size < PAGE_NOTICES) return
            after = page.value.last().key
        }
    }

    /** False if the table does not answer. */
    private fun take(nowMillis: Long, row: Row): Boolean {
        if (row.key in handled) return true
        val notice = JobRows.decodeNotice(row.value ?: return true)
        val pool = state.pools[notice.pool]?.takeIf { it.isLoaded } ?: return true
        notice.ended.forEach { id -> pool.jobs[id]?.let { onEnded(it, nowMillis) } }
        val read = notice.ids.filter { notice.changed || it !in pool.jobs }
        if (read.isNotEmpty() && !takeIn(nowMillis, pool, read)) return false
        handled[row.key] = HandledNotice(row.key, pool)
        return true
    }

    private fun takeIn(nowMillis: Long, pool: OwnedPool, ids: List<JobId>): Boolean {
        val answer = table.read(ids.map { JobRows.open(pool.id, it) }, settings.tableTimeoutMillis)
        if (answer !is Verdict.Ran) {
            health.failed(nowMillis)
            return false
        }
        ids.zip(answer.value).forEach { (id, row) ->
            val record = row.value?.let(JobRows::decodeJob)
            val known = pool.jobs[id]
            when {
                record == null -> Unit

                known == null -> {
                    val leaseUntil = nowMillis + settings.leaseMillis + settings.leaseMarginMillis
                    pool.adopt(record, row.revision, nowMillis, leaseUntil)?.let { onAdopted(it, nowMillis) }
                }

                row.revision != known.revision -> onChanged(known, record, row.revision, nowMillis)
            }
        }
        return true
    }

    private companion object {
        const val PAGE_NOTICES = 200
        const val MAX_PAGES = 10
    }
}
