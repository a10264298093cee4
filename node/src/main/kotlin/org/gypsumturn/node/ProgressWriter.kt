// Stores the progress of jobs in groups, one transaction at a time, behind the fence of the partition.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowCondition
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.ProgressChange
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** Writes what [scheduler] has changed. */
public class ProgressWriter(
    private val scheduler: BatchScheduler,
    private val fence: ProgressFence,
    private val store: RowStore,
    private val post: Post,
) {
    private var writing = false
    private val outage = OutageLog("progress not stored", "progress stored again")
    private var notBeforeMillis = 0L

    /** Sends the next group if one is due. */
    public fun work(nowMillis: Long) {
        if (writing || !scheduler.hasChanges || nowMillis < notBeforeMillis) return
        val changes = scheduler.takeChanges(GROUP_ROWS)
        val conditions = changes.map { RowCondition(JobRows.progress(it.job.job.id), it.revision) }
        val writes = changes.map { RowWrite(JobRows.progress(it.job.job.id), it.record.encode()) }
        writing = true
        store.transact(RowTransaction(conditions + fence.condition(), writes), WRITE_TIMEOUT_MILLIS) { verdict ->
            post { answered(changes, verdict) }
        }
    }

    private fun answered(changes: List<ProgressChange>, verdict: Verdict<TransactionOutcome>) {
        writing = false
        val nowMillis = NodeClock.steadyMillis()
        notBeforeMillis = nowMillis + GROUP_MILLIS
        when (val outcome = (verdict as? Verdict.Ran)?.value) {
            is TransactionOutcome.Committed -> {
                changes.forEach { scheduler.onProgressStored(it, outcome.revision) }
                outage.note(verdict, "jobs" to changes.size)
            }

            is TransactionOutcome.Conflict -> conflicted(changes, outcome)

            null -> {
                outage.note(verdict, "jobs" to changes.size)
                notBeforeMillis = nowMillis + RETRY_MILLIS
                scheduler.returnChanges(changes) { null }
            }
        }
    }

    /** Another holder, or an earlier write of ours that was not answered. */
    private fun conflicted(changes: List<ProgressChange>, outcome: TransactionOutcome.Conflict) {
        val revisions = outcome.current.associate { it.address to it.revision }
        if (revisions[JobRows.FENCE] != fence.revision) {
            fence.broken()
            return
        }
        scheduler.returnChanges(changes) { id: JobId -> revisions[JobRows.progress(id)] ?: Revision.ABSENT }
    }

    private companion object {
        /** Rows of a group; a transaction takes a hundred entries, conditions included. */
        const val GROUP_ROWS = 48

        /** Pause between two groups, so that ends of the same moment share one. */
        const val GROUP_MILLIS = 20L

        /** Pause after a failed write. */
        const val RETRY_MILLIS = 150L

        /** Longest wait for a write. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L
    }
}
