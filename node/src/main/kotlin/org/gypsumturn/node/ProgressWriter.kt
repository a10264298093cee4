// Stores the progress of jobs and the rosters of pools in groups, one transaction at a time. Each transaction is
// conditional on the fence row, so that it fails after another process has taken the lease over. A row that the store
// refuses is written apart from all others, and a job whose progress can't be stored ends as failed.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowCondition
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.ProgressChange
import org.gypsumturn.batch.schedule.RosterChange
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.PoolRoster
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/** Writes the progress and the rosters that [scheduler] has changed. A row holds [maxRowBytes] bytes at most. */
public class ProgressWriter(
    private val scheduler: BatchScheduler,
    private val fence: ProgressFence,
    private val store: RowStore,
    private val maxRowBytes: Int,
    private val nowMillis: () -> Long = NodeClock::steadyMillis,
    private val post: Post,
) {
    private var writing = false
    private val refused = RefusedRows()

    /** Whether the last group was a row that was refused before. */
    private var triesRefused = false
    private val outage = OutageLog("progress not stored", "progress stored again")
    private var nextWriteMillis = 0L

    /** Writes the next group of changes if there are any, no write is open and the pause since the last one is over. */
    public fun writeIfDue(nowMillis: Long) {
        if (writing || !scheduler.hasChanges || nowMillis < nextWriteMillis) return
        val group = takeGroup(nowMillis)
        if (group.writes.isEmpty()) return
        writing = true
        val transaction = RowTransaction(group.conditions + fence.condition(), group.writes)
        store.transact(transaction, WRITE_TIMEOUT_MILLIS) { verdict -> post { onAnswer(group, verdict) } }
    }

    /**
     * Takes changes up to the limits of a transaction. Rosters come first, since starts wait for them. A row that was
     * refused makes a group of its own.
     */
    private fun takeGroup(nowMillis: Long): Group {
        val rosters = scheduler.takeRosterChanges(MAX_GROUP_ROWS)
        val changes = scheduler.takeChanges(MAX_GROUP_ROWS - rosters.size).map { it to it.record.encode() }
        val (large, storable) = changes.partition { (_, value) -> value.size > maxRowBytes }
        large.forEach { (change, value) ->
            scheduler.failUnstorableJob(nowMillis, change, value.size, "larger than a row")
        }
        val takesRow = rowFilter(nowMillis, rosters.map(::addressOf) + storable.map { addressOf(it.first) })
        var bytes = 0
        val (taken, left) = storable.partition { (change, value) ->
            val fits = takesRow(addressOf(change)) && (bytes == 0 || bytes + value.size <= MAX_GROUP_BYTES)
            fits.also { if (it) bytes += value.size }
        }
        val (takenRosters, leftRosters) = rosters.partition { takesRow(addressOf(it)) }
        scheduler.returnRosterChanges(leftRosters) { null }
        scheduler.returnChanges(left.map { it.first }) { null }
        return Group(taken, takenRosters)
    }

    /**
     * Tells which of [candidates] are written next: one that was refused, or all that were not. The two take turns, so
     * that neither waits for the other.
     */
    private fun rowFilter(nowMillis: Long, candidates: List<RowAddress>): (RowAddress) -> Boolean {
        val next = candidates.firstOrNull { refused.isRefused(it) && !refused.isPaused(nowMillis, it) }
        val hasOthers = candidates.any { !refused.isRefused(it) }
        triesRefused = next != null && (!triesRefused || !hasOthers)
        return if (triesRefused) { address -> address == next } else { address -> !refused.isRefused(address) }
    }

    private fun addressOf(change: RosterChange) = PoolRoster.address(change.pool)

    private fun addressOf(change: ProgressChange) = JobRows.progress(change.job.job.id)

    /** Changes that are written in one transaction. */
    private class Group(encodedProgress: List<Pair<ProgressChange, ByteArray>>, val rosters: List<RosterChange>) {
        val progress = encodedProgress.map { it.first }
        val conditions = rosters.map { RowCondition(PoolRoster.address(it.pool), it.revision) } +
            progress.map { RowCondition(JobRows.progress(it.job.job.id), it.revision) }
        val writes = rosters.map { RowWrite(PoolRoster.address(it.pool), it.roster.encode()) } +
            encodedProgress.map { (change, value) -> RowWrite(JobRows.progress(change.job.job.id), value) }
        val addresses = writes.map { it.address }
    }

    private fun onAnswer(group: Group, verdict: Verdict<TransactionOutcome>) {
        writing = false
        val nowMillis = nowMillis()
        nextWriteMillis = nowMillis + GROUP_PAUSE_MILLIS
        when (val outcome = (verdict as? Verdict.Ran)?.value) {
            is TransactionOutcome.Committed -> {
                refused.onCommitted(nowMillis, group.addresses)
                group.rosters.forEach { scheduler.onRosterStored(it, outcome.revision) }
                group.progress.forEach { scheduler.onProgressStored(it, outcome.revision) }
                outage.recordResult(verdict, "jobs" to group.progress.size)
            }

            is TransactionOutcome.Conflict -> onConflict(group, outcome)

            null -> {
                scheduler.returnRosterChanges(group.rosters) { null }
                scheduler.returnChanges(group.progress) { null }
                val failure = verdict.failureOrNull()
                if (failure?.kind == FailureKind.INVALID) {
                    onRefused(nowMillis, group, failure)
                } else {
                    outage.recordResult(verdict, "jobs" to group.progress.size)
                    nextWriteMillis = nowMillis + RETRY_MILLIS
                }
            }
        }
    }

    /** The store refused the transaction and did nothing. Its rows are written one by one to find out which is why. */
    private fun onRefused(nowMillis: Long, group: Group, failure: Failure) {
        refused.onRefused(nowMillis, group.addresses)
        logEvent("progress refused", "rows" to group.addresses.size, "why" to failure.message)
        val change = group.progress.singleOrNull()?.takeIf { group.addresses.size == 1 } ?: return
        if (refused.isHopeless(addressOf(change))) {
            val bytes = group.writes.single().value?.size ?: 0
            scheduler.failUnstorableJob(nowMillis, change, bytes, failure.message)
        }
    }

    /**
     * A condition did not hold. If the fence row has changed, another process has taken the lease over. Otherwise an
     * earlier write of this process took effect although its answer was lost, and the changes are written again with
     * the present revisions.
     */
    private fun onConflict(group: Group, outcome: TransactionOutcome.Conflict) {
        val revisions = outcome.current.associate { it.address to it.revision }
        if (revisions[JobRows.FENCE] != fence.revision) {
            fence.markSuperseded()
            return
        }
        val revisionOf = { address: RowAddress -> revisions[address] ?: Revision.ABSENT }
        scheduler.returnRosterChanges(group.rosters) { pool: PoolId -> revisionOf(PoolRoster.address(pool)) }
        scheduler.returnChanges(group.progress) { id: JobId -> revisionOf(JobRows.progress(id)) }
    }

    private companion object {
        /** Rows of a group at most. A transaction takes 100 entries, and each row needs a condition too. */
        const val MAX_GROUP_ROWS = 48

        /**
         * Most bytes of the values of progress in a group. A transaction of the store takes a million bytes, and the
         * encoding of the values makes them a third larger.
         */
        const val MAX_GROUP_BYTES = 500_000

        /** Pause between two groups, so that changes of the same moment are written in one transaction. */
        const val GROUP_PAUSE_MILLIS = 20L

        /** Pause before a failed write is repeated. */
        const val RETRY_MILLIS = 150L

        /** Timeout of a write. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L
    }
}
