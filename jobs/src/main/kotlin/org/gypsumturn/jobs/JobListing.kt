// Lists the jobs of a pool in pages, for callers and operators.

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

/** Merges the open and the ended jobs of a pool into pages in the order of ids. */
internal class JobListing(private val table: TableStore) {
    fun page(pool: PoolId, state: JobState?, after: JobId?, limit: Int, timeoutMillis: Long): Verdict<JobPage> {
        val found = mutableListOf<JobRecord>()
        var lastId = after
        repeat(MAX_PAGES) {
            val rows =
                when (val answer = readMergedPage(pool, state, lastId, timeoutMillis)) {
                    is Verdict.Ran -> answer.value
                    is Verdict.NotRun -> return answer
                    is Verdict.MayHaveRun -> return answer
                }
            found += rows.jobs.filter { state == null || it.state == state }
            lastId = rows.jobs.lastOrNull()?.spec?.id ?: lastId
            if (found.size >= limit || !rows.hasMore) {
                return Verdict.Ran(JobPage(found.take(limit), rows.hasMore || found.size > limit))
            }
        }
        return Verdict.Ran(JobPage(found.take(limit), hasMore = true))
    }

    private fun readMergedPage(pool: PoolId, state: JobState?, after: JobId?, timeoutMillis: Long): Verdict<JobPage> {
        val prefixes =
            when {
                state == null -> listOf(JobRows.openPrefix(pool), JobRows.donePrefix(pool))
                state.isFinal -> listOf(JobRows.donePrefix(pool))
                else -> listOf(JobRows.openPrefix(pool))
            }
        val pages = mutableListOf<List<Row>>()
        for (prefix in prefixes) {
            val startAfter = after?.let { RowKey(prefix + it.value) }
            when (val answer = table.scan(prefix, startAfter, PAGE_ROWS, timeoutMillis)) {
                is Verdict.Ran -> pages += answer.value
                is Verdict.NotRun -> return answer
                is Verdict.MayHaveRun -> return answer
            }
        }
        return Verdict.Ran(mergePages(pages))
    }

    /**
     * Merges pages of rows. If a page is full, its prefix may have further rows, so jobs with ids after its last row
     * are left for the next page. Otherwise ids would be skipped.
     */
    private fun mergePages(pages: List<List<Row>>): JobPage {
        val decoded = pages.map { page -> page.mapNotNull { it.value?.let(JobRows::decodeJob) } }
        val endId = decoded.filter { it.size >= PAGE_ROWS }.minOfOrNull { it.last().spec.id }
        val jobs = decoded.flatten().filter { endId == null || it.spec.id <= endId }.sortedBy { it.spec.id }
        return JobPage(jobs.distinctBy { it.spec.id }, hasMore = endId != null)
    }

    private companion object {
        const val PAGE_ROWS = 200
        const val MAX_PAGES = 20
    }
}
