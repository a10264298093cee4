// Grouped writes of jobs' rows. A group whose answer is lost is read back before anything else is written.

package org.gypsumturn.jobs

import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.isFinal
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction

/** What the writer tells of its results. */
internal interface WriteListener {
    /** The row of [job] changed from [before] to what it is now, by this owner's write. */
    fun committed(job: HeldJob, before: JobRecord, nowMillis: Long)

    /** Another process changed the row of [job]. */
    fun changedByOther(job: HeldJob, nowMillis: Long)

    /** Another process ended [job]. */
    fun endedByOther(job: HeldJob, nowMillis: Long)

    /** Another process took [pool]. */
    fun fenced(pool: OwnedPool, nowMillis: Long)
}

/** Writes what is pending in [state]. */
internal class JobWriter(
    private val table: TableStore,
    private val state: OwnerState,
    private val health: TableHealth,
    private val inbox: Inbox,
    private val listener: WriteListener,
) {
    private val settings = state.settings
    private var unresolved: List<HeldJob> = emptyList()

    /** Writes at most the round's number of groups. */
    fun write(nowMillis: Long) {
        repeat(settings.maxCommitsPerStep) {
            if (!health.mayCall(nowMillis)) return
            if (unresolved.isNotEmpty() && !resolve(nowMillis)) return
            val group = state.nextDirty(settings.maxRowsPerCommit)
            val handled = inbox.takeHandled(MAX_NOTICES_PER_COMMIT)
            if (group.isEmpty() && handled.isEmpty()) return
            if (!commit(nowMillis, group, handled)) return
        }
    }

    private fun commit(nowMillis: Long, group: List<HeldJob>, handled: List<HandledNotice>): Boolean {
        val pools = (group.map { it.pool } + handled.map { it.pool }).distinct()
        val conditions =
            pools.map { it.fenceCondition() } +
                group.map { Condition(JobRows.open(it.pool.id, it.record.spec.id), it.revision) }
        val writes = group.flatMap { JobWrites.of(it.beginWrite()) } + handled.map { it.removal() }
        val answer = table.commit(Transaction(conditions, writes), settings.tableTimeoutMillis)
        when (answer) {
            is Verdict.Ran -> health.answered()
            is Verdict.NotRun -> health.failed(nowMillis)
            is Verdict.MayHaveRun -> health.failed(nowMillis)
        }
        val outcome = (answer as? Verdict.Ran)?.value
        if (outcome is CommitOutcome.Committed) {
            group.forEach { finishWrite(it, outcome.revision, nowMillis) }
            return true
        }
        inbox.giveBack(handled)
        if (outcome is CommitOutcome.Conflict) adopt(outcome.changed, group, pools, nowMillis)
        if (answer is Verdict.MayHaveRun) {
            unresolved = group
        } else {
            group.filter { it.isWriting }.forEach { it.abandonWrite() }
        }
        return outcome != null
    }

    private fun finishWrite(job: HeldJob, revision: Revision, nowMillis: Long) {
        val before = job.record
        job.commitWrite(revision)
        state.markDirty(job)
        listener.committed(job, before, nowMillis)
    }

    private fun adopt(changed: List<Row>, group: List<HeldJob>, pools: List<OwnedPool>, nowMillis: Long) {
        val byKey = changed.associateBy { it.key }
        pools.filter { JobRows.owner(it.id) in byKey }.forEach { listener.fenced(it, nowMillis) }
        group.filter(state::holds).forEach { job ->
            byKey[JobRows.open(job.pool.id, job.record.spec.id)]?.let { settle(job, it, nowMillis) }
        }
    }

    /** Reads the rows of the unresolved group; false while the table does not answer. */
    private fun resolve(nowMillis: Long): Boolean {
        val group = unresolved.filter(state::holds)
        val pools = group.map { it.pool }.distinct()
        val keys = pools.map { JobRows.owner(it.id) } + group.map { JobRows.open(it.pool.id, it.record.spec.id) }
        val answer = table.read(keys, settings.tableTimeoutMillis)
        if (answer !is Verdict.Ran) {
            health.failed(nowMillis)
            return false
        }
        health.answered()
        unresolved = emptyList()
        pools.zip(answer.value).filterNot { (pool, row) -> pool.fenceCondition().revision == row.revision }
            .forEach { (pool, _) -> listener.fenced(pool, nowMillis) }
        group.zip(answer.value.drop(pools.size)).filter { (job, _) -> state.holds(job) }.forEach { (job, row) ->
            if (row.revision == job.revision) job.abandonWrite() else settle(job, row, nowMillis)
        }
        return true
    }

    private fun settle(job: HeldJob, row: Row, nowMillis: Long) {
        val found = row.value?.let(JobRows::decodeJob)
        when {
            found == null && job.next.state.isFinal -> finishWrite(job, row.revision, nowMillis)

            found == null -> listener.endedByOther(job, nowMillis)

            job.wrote(found) -> finishWrite(job, row.revision, nowMillis)

            else -> {
                job.rebase(found, row.revision)
                state.markDirty(job)
                listener.changedByOther(job, nowMillis)
            }
        }
    }

    private companion object {
        const val MAX_NOTICES_PER_COMMIT = 50
    }
}
