// The fence row of the partition that holds progress. A new lease holder writes its epoch, a fencing token, to the row
// before it reads the partition, and makes each of its writes conditional on the row. Late writes of earlier holders
// then fail.

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

/** The fence row as one lease holder uses it in its term with [epoch]. */
public class ProgressFence(
    private val store: RowStore,
    private val epoch: Epoch,
    private val post: Post,
    private val postDelayed: DelayedPost,
) {
    /** Revision of the fence row that this holder wrote; absent until that is known. */
    public var revision: Revision = Revision.ABSENT
        private set

    /** Whether a later holder has written the row. This holder must give no more orders then. */
    public var superseded: Boolean = false
        private set

    /** Set when the term is over. Writes are no longer retried, and answers that arrive later are ignored. */
    public var cancelled: Boolean = false

    private var expectedRevision = Revision.ABSENT

    /** The condition that each write to the partition must have. */
    public fun condition(): RowCondition = RowCondition(JobRows.FENCE, revision)

    /**
     * Writes the epoch to the fence row, and calls [onWritten] once that has taken effect. Failed writes are repeated.
     * If a later holder has written the row, [superseded] is set instead.
     */
    public fun writeEpoch(onWritten: () -> Unit) {
        val write = RowWrite(JobRows.FENCE, epoch.value.toString().encodeToByteArray())
        val transaction = RowTransaction(listOf(RowCondition(JobRows.FENCE, expectedRevision)), listOf(write))
        store.transact(transaction, WRITE_TIMEOUT_MILLIS) { verdict ->
            post { if (!cancelled) onAnswer(verdict, onWritten) }
        }
    }

    private fun onAnswer(verdict: Verdict<TransactionOutcome>, onWritten: () -> Unit) {
        when (val outcome = (verdict as? Verdict.Ran)?.value) {
            is TransactionOutcome.Committed -> {
                revision = outcome.revision
                onWritten()
            }

            is TransactionOutcome.Conflict -> onConflict(outcome, onWritten)

            null -> postDelayed(RETRY_MILLIS) { if (!cancelled) writeEpoch(onWritten) }
        }
    }

    /** The row has another epoch, or the epoch of this holder from a write whose answer was lost. */
    private fun onConflict(outcome: TransactionOutcome.Conflict, onWritten: () -> Unit) {
        val row = outcome.current.firstOrNull { it.address == JobRows.FENCE }
        val storedEpoch = row?.value?.decodeToString()?.toLongOrNull() ?: 0
        expectedRevision = row?.revision ?: Revision.ABSENT
        when {
            storedEpoch > epoch.value -> superseded = true

            storedEpoch == epoch.value -> {
                revision = expectedRevision
                onWritten()
            }

            else -> writeEpoch(onWritten)
        }
    }

    /** Records that a write failed because a later holder has written the fence row. */
    public fun markSuperseded() {
        superseded = true
    }

    private companion object {
        /** Timeout of a write. */
        const val WRITE_TIMEOUT_MILLIS = 1_500L

        /** Pause before a failed write is repeated. */
        const val RETRY_MILLIS = 100L
    }
}
