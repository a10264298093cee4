// Reads the notices of new and cancelled jobs. An owner scans one key prefix for each of its buckets, so the number of
// reads grows with the buckets and not with pools or jobs. A handled notice is removed in the next commit of jobs.

package org.gypsumturn.jobs

import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Write

/** A notice whose jobs are in memory, so that its row can be removed. */
internal class HandledNotice(val key: RowKey, val pool: OwnedPool) {
    fun removal(): Write = Write(key, null)
}

/** Reads the notices of the owned buckets. */
internal class Inbox(
    private val table: TableStore,
    private val state: OwnerState,
    private val health: TableHealth,
    private val onAdopted: (OpenJob, Long) -> Unit,
    private val onChanged: (OpenJob, JobRecord, Revision, Long) -> Unit,
    private val onEnded: (OpenJob, Long) -> Unit,
) {
    private val settings = state.settings
    private val handledNotices = LinkedHashMap<RowKey, HandledNotice>()
    private var nextPollMillis = Long.MIN_VALUE

    /** Reads the notices in [buckets], if a poll is due, and applies them to the owned pools. */
    fun poll(nowMillis: Long, buckets: Set<Int>) {
        if (nowMillis < nextPollMillis) return
        nextPollMillis = nowMillis + settings.inboxPollMillis
        handledNotices.values.removeIf { state.pools[it.pool.id] !== it.pool }
        buckets.forEach { if (health.mayCall(nowMillis)) pollBucket(nowMillis, it) }
    }

    /** Removes and returns at most [max] handled notices, for the caller to remove their rows. */
    fun takeHandled(max: Int): List<HandledNotice> {
        val taken = handledNotices.values.filter { state.pools[it.pool.id] === it.pool }.take(max)
        taken.forEach { handledNotices.remove(it.key) }
        return taken
    }

    /** Puts back [notices] whose removal from the table failed or was not answered. */
    fun restoreHandled(notices: List<HandledNotice>) {
        notices.forEach { handledNotices[it.key] = it }
    }

    /** Reads further pages after a full one, so that notices for a removed pool do not hide later ones. */
    private fun pollBucket(nowMillis: Long, bucket: Int) {
        var after: RowKey? = null
        repeat(MAX_PAGES) {
            val page = table.scan(JobRows.inboxPrefix(bucket), after, PAGE_NOTICES, settings.tableTimeoutMillis)
            if (page !is Verdict.Ran) return health.onFailure(nowMillis)
            health.onAnswer()
            if (!page.value.all { handleNotice(nowMillis, it) } || page.value.size < PAGE_NOTICES) return
            after = page.value.last().key
        }
    }

    /** Handles the notice in [row]. Returns false if the table does not answer. */
    private fun handleNotice(nowMillis: Long, row: Row): Boolean {
        if (row.key in handledNotices) return true
        val notice = JobRows.decodeNotice(row.value ?: return true)
        val pool = state.pools[notice.pool]?.takeIf { it.isLoaded } ?: return true
        notice.ended.forEach { id -> pool.jobs[id]?.let { onEnded(it, nowMillis) } }
        val idsToRead = notice.ids.filter { notice.changed || it !in pool.jobs }
        if (idsToRead.isNotEmpty() && !readNoticedJobs(nowMillis, pool, idsToRead)) return false
        handledNotices[row.key] = HandledNotice(row.key, pool)
        return true
    }

    private fun readNoticedJobs(nowMillis: Long, pool: OwnedPool, ids: List<JobId>): Boolean {
        val answer = table.read(ids.map { JobRows.open(pool.id, it) }, settings.tableTimeoutMillis)
        if (answer !is Verdict.Ran) {
            health.onFailure(nowMillis)
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
