// A store in virtual time whose answers may be lost. A write without an answer takes effect at once, some seconds
// later, or never.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import kotlin.random.Random

/**
 * @param isStored whether a transaction has its effect; used to put faults back that were fixed
 */
internal class LossyRowStore(
    private val loop: VirtualLoop,
    private val random: Random,
    private val isStored: (RowTransaction) -> Boolean = { true },
) : RowStore {
    val memory = MemoryRowStore()

    /** Share of the calls that fail; half of the failed writes take effect late. */
    var failingShare = 0.0

    /** Revisions up to this one are no longer in the history of changes. */
    private var discardedUntil = Revision(0)

    fun discardHistory() = memory.read("", "", null, 1, 0) { discardedUntil = (it as Verdict.Ran).value.revision }

    override fun transact(
        transaction: RowTransaction,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<TransactionOutcome>,
    ) {
        val perform = { onDone: VerdictCallback<TransactionOutcome> ->
            if (isStored(transaction)) {
                memory.transact(transaction, timeoutMillis, onDone)
            } else {
                onDone(Verdict.Ran(TransactionOutcome.Committed(Revision(1), loop.nowMillis)))
            }
        }
        if (random.nextDouble() >= failingShare) {
            loop.runAfter(random.nextLong(4, 30)) { perform(onVerdict) }
            return
        }
        when (random.nextInt(4)) {
            0 -> loop.runAfter(5) { onVerdict(Verdict.NotRun(Failure(FailureKind.NOT_READY, "status 503"))) }

            1 -> answerNothing(timeoutMillis, onVerdict)

            else -> {
                loop.runAfter(random.nextLong(1, MAX_LATE_MILLIS)) { perform { } }
                answerNothing(timeoutMillis, onVerdict)
            }
        }
    }

    override fun read(
        table: String,
        partition: String,
        from: String?,
        limit: Int,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<RowPage>,
    ) {
        if (random.nextDouble() < failingShare) return answerNothing(timeoutMillis, onVerdict)
        loop.runAfter(random.nextLong(1, 200)) {
            memory.read(table, partition, from, limit, timeoutMillis, onVerdict)
        }
    }

    override fun awaitChanges(
        table: String,
        after: Revision,
        waitMillis: Long,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<RowChanges>,
    ) {
        loop.runAfter(random.nextLong(1, 100)) {
            if (after < discardedUntil) {
                onVerdict(Verdict.Ran(RowChanges.Discarded))
            } else {
                memory.awaitChanges(table, after, waitMillis, timeoutMillis, onVerdict)
            }
        }
    }

    private fun <T> answerNothing(timeoutMillis: Long, onVerdict: VerdictCallback<T>) {
        loop.runAfter(timeoutMillis) {
            onVerdict(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time")))
        }
    }

    private companion object {
        /** The platform's store performs a write without an answer up to 6 s late. */
        const val MAX_LATE_MILLIS = 6_000L
    }
}
