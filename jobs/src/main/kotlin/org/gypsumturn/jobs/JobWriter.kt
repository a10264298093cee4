// Writes the rows of jobs in groups, one commit each. If a commit is not answered, the rows of its group are read back
// before anything else is written.

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

/** Receives the results of the writes. */
internal interface WriteListener {
    /** A write of this owner changed the record of [job] from [before] to its present one. */
    fun onCommitted(job: OpenJob, before: JobRecord, nowMillis: Long)

    /** Another process changed the row of [job], which now has the changed record. */
    fun onChangedByOther(job: OpenJob, nowMillis: Long)

    /** Another process ended [job]. */
    fun onEndedByOther(job: OpenJob, nowMillis: Long)

    /** Another process took [pool]. */
    fun onPoolLost(pool: OwnedPool, nowMillis: Long)
}

/** Writes the dirty jobs of [state] and removes handled notices. */
internal class JobWriter(
    private val table: TableStore,
    private val state: OwnerState,
    private val health: TableHealth,
    private val inbox: Inbox,
    private val listener: WriteListener,
) {
    private val settings = state.settings
    private var unansweredGroup: List<OpenJob> = emptyList()

    /** Writes groups until nothing is left, the table fails, or the limit of commits per round is reached. */
    fun write(nowMillis: Long) {
        repeat(settings.maxCommitsPerStep) {
            if (!health.mayCall(nowMillis)) return
            if (unansweredGroup.isNotEmpty() && !readBackUnanswered(nowMillis)) return
            val group = state.nextDirty(settings.maxRowsPerCommit)
            val handled = inbox.takeHandled(MAX_NOTICES_PER_COMMIT)
            if (group.isEmpty() && handled.isEmpty()) return
            if (!commitGroup(nowMillis, group, handled)) return
        }
    }

    private fun commitGroup(nowMillis: Long, group: List<OpenJob>, handled: List<HandledNotice>): Boolean {
        val pools = (group.map { it.pool } + handled.map { it.pool }).distinct()
        val conditions =
            pools.map { it.fenceCondition() } +
                group.map { Condition(JobRows.open(it.pool.id, it.record.spec.id), it.revision) }
        val writes = group.flatMap { JobWrites.of(it.beginWrite()) } + handled.map { it.removal() }
        val answer = table.commit(Transaction(conditions, writes), settings.tableTimeoutMillis)
        when (answer) {
            is Verdict.Ran -> health.onAnswer()
            is Verdict.NotRun -> health.onFailure(nowMillis)
            is Verdict.MayHaveRun -> health.onFailure(nowMillis)
        }
        val outcome = (answer as? Verdict.Ran)?.value
        if (outcome is CommitOutcome.Committed) {
            group.forEach { finishWrite(it, outcome.revision, nowMillis) }
            return true
        }
        inbox.restoreHandled(handled)
        if (outcome is CommitOutcome.Conflict) handleConflict(outcome.changed, group, pools, nowMillis)
        if (answer is Verdict.MayHaveRun) {
            unansweredGroup = group
        } else {
            group.filter { it.isWriting }.forEach { it.abandonWrite() }
        }
        return outcome != null
    }

    private fun finishWrite(job: OpenJob, revision: Revision, nowMillis: Long) {
        val before = job.record
        job.commitWrite(revision)
        state.markDirty(job)
        listener.onCommitted(job, before, nowMillis)
    }

    private fun handleConflict(changed: List<Row>, group: List<OpenJob>, pools: List<OwnedPool>, nowMillis: Long) {
        val byKey = changed.associateBy { it.key }
        pools.filter { JobRows.owner(it.id) in byKey }.forEach { listener.onPoolLost(it, nowMillis) }
        group.filter(state::isCurrent).forEach { job ->
            byKey[JobRows.open(job.pool.id, job.record.spec.id)]?.let { applyFoundRow(job, it, nowMillis) }
        }
    }

    /** Reads back the rows of the group whose commit was not answered. Returns false if the table does not answer. */
    private fun readBackUnanswered(nowMillis: Long): Boolean {
        val group = unansweredGroup.filter(state::isCurrent)
        val pools = group.map { it.pool }.distinct()
        val keys = pools.map { JobRows.owner(it.id) } + group.map { JobRows.open(it.pool.id, it.record.spec.id) }
        val answer = table.read(keys, settings.tableTimeoutMillis)
        if (answer !is Verdict.Ran) {
            health.onFailure(nowMillis)
            return false
        }
        health.onAnswer()
        unansweredGroup = emptyList()
        pools.zip(answer.value).filterNot { (pool, row) -> pool.fenceCondition().revision == row.revision }
            .forEach { (pool, _) -> listener.onPoolLost(pool, nowMillis) }
        group.zip(answer.value.drop(pools.size)).filter { (job, _) -> state.isCurrent(job) }.forEach { (job, row) ->
            if (row.revision == job.revision) job.abandonWrite() else applyFoundRow(job, row, nowMillis)
        }
        return true
    }

    private fun applyFoundRow(job: OpenJob, row: Row, nowMillis: Long) {
        val found = row.value?.let(JobRows::decodeJob)
        when {
            found == null && job.pendingRecord.state.isFinal -> finishWrite(job, row.revision, nowMillis)

            found == null -> listener.onEndedByOther(job, nowMillis)

            job.matchesLastWrite(found) -> finishWrite(job, row.revision, nowMillis)

            else -> {
                job.rebase(found, row.revision)
                state.markDirty(job)
                listener.onChangedByOther(job, nowMillis)
            }
        }
    }

    private companion object {
        const val MAX_NOTICES_PER_COMMIT = 50
    }
}
