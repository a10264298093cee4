// Cancels jobs in groups. A cancellation only changes rows: it ends waiting jobs and marks jobs that may be running. It
// starts nothing; the owner of the pool learns of it from a notice.

package org.gypsumturn.jobs

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobState
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.isFinal
import org.gypsumturn.model.map
import org.gypsumturn.placement.JobEvent
import org.gypsumturn.placement.Transition
import org.gypsumturn.placement.after
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write

/** Cancels jobs directly in the table. Each write requires that the row is unchanged since it was read. */
internal class JobCancellation(private val table: TableStore) {
    fun cancel(nowMillis: Long, selection: CancelSelection, timeoutMillis: Long): Verdict<CancelledJobs> {
        val ids =
            when (selection) {
                is CancelSelection.Ids -> Verdict.Ran(selection.ids.distinct())
                is CancelSelection.OfTeam -> idsOf(selection, timeoutMillis)
            }
        if (ids !is Verdict.Ran) return ids.map { CancelledJobs(0, 0, 0, emptyList()) }
        var total = CancelledJobs(0, 0, 0, emptyList())
        for (group in ids.value.chunked(MAX_JOBS_PER_COMMIT)) {
            when (val answer = cancelGroup(nowMillis, selection.pool, group, timeoutMillis)) {
                is Verdict.Ran -> total = total.plus(answer.value)
                is Verdict.MayHaveRun -> return answer
                is Verdict.NotRun -> return if (total.isEmpty) answer else Verdict.MayHaveRun(answer.failure)
            }
        }
        return Verdict.Ran(total)
    }

    private fun idsOf(selection: CancelSelection.OfTeam, timeoutMillis: Long): Verdict<List<JobId>> {
        val ids = mutableListOf<JobId>()
        var after: RowKey? = null
        while (true) {
            val answer = table.scan(JobRows.openPrefix(selection.pool), after, PAGE_ROWS, timeoutMillis)
            if (answer !is Verdict.Ran) return answer.map { emptyList() }
            val records = answer.value.mapNotNull { it.value?.let(JobRows::decodeJob) }
            ids += records.filter { it.spec.team == selection.team }.map { it.spec.id }
            if (answer.value.size < PAGE_ROWS) return Verdict.Ran(ids)
            after = answer.value.last().key
        }
    }

    private fun cancelGroup(
        nowMillis: Long,
        pool: PoolId,
        ids: List<JobId>,
        timeoutMillis: Long,
    ): Verdict<CancelledJobs> {
        var remaining = ids
        var total = CancelledJobs(0, 0, 0, emptyList())
        var lostCommit: Failure? = null
        repeat(MAX_CANCEL_ROUNDS) {
            val read = readGroup(pool, remaining, timeoutMillis)
            if (read !is Verdict.Ran) return failureVerdict(read.map { total }, total, lostCommit)
            val plan = CancelPlan.of(pool, read.value, nowMillis)
            total = total.plus(plan.countsWithoutWrite(lostCommit != null))
            if (plan.changes.isEmpty()) return Verdict.Ran(total)
            remaining = plan.changes.map { it.after.spec.id }
            when (val answer = table.commit(plan.transaction(pool), timeoutMillis)) {
                is Verdict.Ran ->
                    if (answer.value is CommitOutcome.Committed) return Verdict.Ran(total.plus(plan.countsOfCommit()))

                is Verdict.NotRun -> return failureVerdict(answer, total, lostCommit)

                is Verdict.MayHaveRun -> lostCommit = answer.failure
            }
        }
        return Verdict.MayHaveRun(
            lostCommit ?: Failure(FailureKind.CONFLICT, "the jobs kept changing; repeat the call"),
        )
    }

    private fun failureVerdict(
        answer: Verdict<CancelledJobs>,
        total: CancelledJobs,
        lostCommit: Failure?,
    ): Verdict<CancelledJobs> {
        if (lostCommit != null) return Verdict.MayHaveRun(lostCommit)
        return if (answer is Verdict.NotRun && !total.isEmpty) Verdict.MayHaveRun(answer.failure) else answer
    }

    private fun readGroup(pool: PoolId, ids: List<JobId>, timeoutMillis: Long): Verdict<List<FoundJob>> {
        val keys = ids.flatMap { listOf(JobRows.open(pool, it), JobRows.done(pool, it)) }
        return table.read(keys, timeoutMillis).map { rows ->
            ids.zip(rows.chunked(2)).map { (id, pair) -> FoundJob(id, pair[0], pair[1]) }
        }
    }

    private companion object {
        const val MAX_JOBS_PER_COMMIT = 200
        const val PAGE_ROWS = 500
        const val MAX_CANCEL_ROUNDS = 4
    }
}

/** The open row and the ended row of one job, as read from the table. */
internal data class FoundJob(val id: JobId, val open: Row, val done: Row)

/** The record of a job after its cancellation, and the revision of the row that it replaces. */
internal data class CancelChange(val revision: Revision, val after: JobRecord)

/** The rows that a group of cancellations has found and the changes that it will write. */
internal data class CancelPlan(
    val changes: List<CancelChange>,
    val ended: List<JobRecord>,
    val alreadyRequested: Int,
    val unknown: List<JobId>,
) {
    /** Counts jobs that need no write. After a lost answer, a job found cancelled counts as cancelled by this call. */
    fun countsWithoutWrite(afterLostAnswer: Boolean): CancelledJobs {
        val own = if (afterLostAnswer) ended.count { it.state == JobState.CANCELLED } else 0
        return CancelledJobs(own, alreadyRequested, ended.size - own, unknown)
    }

    fun countsOfCommit(): CancelledJobs {
        val ending = changes.count { it.after.state.isFinal }
        return CancelledJobs(ending, changes.size - ending, 0, emptyList())
    }

    fun transaction(pool: PoolId): Transaction {
        val conditions = changes.map { Condition(JobRows.open(pool, it.after.spec.id), it.revision) }
        val writes = changes.flatMap { JobWrites.of(it.after) }
        val (ended, marked) = changes.map { it.after }.partition { it.state.isFinal }
        val notice = InboxNotice(pool, marked.map { it.spec.id }, changed = true, ended = ended.map { it.spec.id })
        val key = JobRows.inbox(pool, "cancel", changes.first().after.spec.id)
        return Transaction(conditions, writes + Write(key, JobRows.encode(notice)))
    }

    companion object {
        fun of(pool: PoolId, found: List<FoundJob>, nowMillis: Long): CancelPlan {
            val ended = found.mapNotNull { it.done.value?.let(JobRows::decodeJob) }
            val unknown = found.filter { it.done.value == null && it.open.value == null }.map { it.id }
            val open = found.filter { it.done.value == null && it.open.value != null }
            val changes =
                open.mapNotNull { job ->
                    val record = JobRows.decodeJob(checkNotNull(job.open.value) { "no row of ${job.id} in $pool" })
                    val next = record.after(JobEvent.CancelRequested, nowMillis)
                    (next as? Transition.Changed)?.let { CancelChange(job.open.revision, it.record) }
                }
            return CancelPlan(changes, ended, open.size - changes.size, unknown)
        }
    }
}

/** Builds the row writes for the record of a job. */
internal object JobWrites {
    /** Returns the writes for [record]. A final record moves from the open rows to the ended rows. */
    fun of(record: JobRecord): List<Write> {
        val pool = record.spec.pool
        val id = record.spec.id
        if (!record.state.isFinal) return listOf(Write(JobRows.open(pool, id), JobRows.encode(record)))
        return listOf(Write(JobRows.open(pool, id), null), Write(JobRows.done(pool, id), JobRows.encode(record)))
    }
}

private val CancelledJobs.isEmpty: Boolean get() = cancelled == 0 && requested == 0

private fun CancelledJobs.plus(other: CancelledJobs): CancelledJobs = CancelledJobs(
    cancelled + other.cancelled,
    requested + other.requested,
    alreadyFinal + other.alreadyFinal,
    unknown + other.unknown,
)
