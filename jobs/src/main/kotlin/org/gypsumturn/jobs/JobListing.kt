// Pages of a pool's jobs for callers and operators.

package org.gypsumturn.jobs

import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobState
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.isFinal
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore

/** Pages through the open and the ended jobs of a pool in one order of ids. */
internal class JobListing(private val table: TableStore) {
    fun page(pool: PoolId, state: JobState?, after: JobId?, limit: Int, timeoutMillis: Long): Verdict<JobPage> {
        val found = mutableListOf<JobRecord>()
        var last = after
        repeat(MAX_PAGES) {
            val rows =
                when (val answer = merged(pool, state, last, timeoutMillis)) {
                    is Verdict.Ran -> answer.value
                    is Verdict.NotRun -> return answer
                    is Verdict.MayHaveRun -> return answer
                }
            found += rows.jobs.filter { state == null || it.state == state }
            last = rows.jobs.lastOrNull()?.spec?.id ?: last
            if (found.size >= limit || !rows.more) {
                return Verdict.Ran(JobPage(found.take(limit), rows.more || found.size > limit))
            }
        }
        return Verdict.Ran(JobPage(found.take(limit), more = true))
    }

    private fun merged(pool: PoolId, state: JobState?, after: JobId?, timeoutMillis: Long): Verdict<JobPage> {
        val prefixes =
            when {
                state == null -> listOf(JobRows.openPrefix(pool), JobRows.donePrefix(pool))
                state.isFinal -> listOf(JobRows.donePrefix(pool))
                else -> listOf(JobRows.openPrefix(pool))
            }
        val pages = mutableListOf<List<Row>>()
        for (prefix in prefixes) {
            val from = after?.let { RowKey(prefix + it.value) }
            when (val answer = table.scan(prefix, from, PAGE_ROWS, timeoutMillis)) {
                is Verdict.Ran -> pages += answer.value
                is Verdict.NotRun -> return answer
                is Verdict.MayHaveRun -> return answer
            }
        }
        return Verdict.Ran(merge(pages))
    }

    /** Rows past the end of a page that was cut short are left for the next page, so that no id is skipped. */
    private fun merge(pages: List<List<Row>>): JobPage {
        val decoded = pages.map { page -> page.mapNotNull { it.value?.let(JobRows::decodeJob) } }
        val cut = decoded.filter { it.size >= PAGE_ROWS }.minOfOrNull { it.last().spec.id }
        val jobs = decoded.flatten().filter { cut == null || it.spec.id <= cut }.sortedBy { it.spec.id }
        return JobPage(jobs.distinctBy { it.spec.id }, more = cut != null)
    }

    private companion object {
        const val PAGE_ROWS = 200
        const val MAX_PAGES = 20
    }
}
