// The fence of the partition that holds progress: a new holder writes its epoch there before it reads, and makes each
// of its writes depend on the row. A late write of an earlier holder then fails.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowCondition
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** The fence of one term with [epoch]. */
public class ProgressFence(
    private val store: RowStore,
    private val epoch: Epoch,
    private val post: Post,
    private val later: Later,
) {
    /** Revision of the fence row as this holder wrote it. */
    public var revision: Revision = Revision.ABSENT
        private set

    /** Whether a later holder has written its epoch. */
    public var lost: Boolean = false
        private set

    /** Set when the result is not wanted any more. */
    public var cancelled: Boolean = false

    private var before = Revision.ABSENT

    /** The condition of each write behind the fence. */
    public fun condition(): RowCondition = RowCondition(JobRows.FENCE, revision)

    /** Writes the epoch, and calls [done] once that has taken effect. */
    public fun raise(done: () -> Unit) {
        val write = RowWrite(JobRows.FENCE, epoch.value.toString().encodeToByteArray())
        val transaction = RowTransaction(listOf(RowCondition(JobRows.FENCE, before)), listOf(write))
        store.transact(transaction, WRITE_TIMEOUT_MILLIS) { verdict ->
            post { if (!cancelled) answered(verdict, done) }
        }
    }

    private fun answered(verdict: Verdict<TransactionOutcome>, done: () -> Unit) {
        when (val outcome = (verdict as? Verdict.Ran)?.value) {
            is TransactionOutcome.Committed -> {
                revision = outcome.revision
                done()
            }

            is TransactionOutcome.Conflict -> conflicted(outcome, done)

            null -> later(RETRY_MILLIS) { if (!cancelled) raise(done) }
        }
    }

    /** Another epoch stands there, or this one from a try that was not answered. */
    private fun conflicted(outcome: TransactionOutcome.Conflict, done: () -> Unit) {
        val row = outcome.current.firstOrNull { it.address == JobRows.FENCE }
        val found = row?.value?.decodeToString()?.toLongOrNull() ?: 0
        before = row?.revision ?: Revision.ABSENT
        when {
            found > epoch.value -> lost = true

            found == epoch.value -> {
                revision = before
                done()
            }

            else -> raise(done)
        }
    }

    /** Takes in that a write behind the fence met another epoch. */
    public fun broken() {
        lost = true
    }

    private companion object {
        /** Longest wait for a write. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L

        /** Pause after a failed write. */
        const val RETRY_MILLIS = 100L
    }
}
