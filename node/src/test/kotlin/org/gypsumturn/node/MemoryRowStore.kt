// A store of rows in memory for the tests of the node. It can fail in the same ways as the platform's store.

package org.gypsumturn.node

import org.gypsumturn.batch.port.RowAddress
import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/**
 * How calls to the store fail: not at all, with a refusal and without an effect, with an effect but without an answer,
 * or with neither.
 */
internal enum class StoreFailureMode { NONE, REFUSES, ANSWER_LOST, SILENT }

/** [storeMillis] is the clock of the store, which by default advances with each revision. */
internal class MemoryRowStore(private val storeMillis: (revision: Long) -> Long = { it }) : RowStore {
    val rows = LinkedHashMap<RowAddress, StoredRow>()
    var failureMode = StoreFailureMode.NONE
    var callCount = 0

    /** Whether transactions are refused while reads are served. */
    var refusesWrites = false
    private var revision = 0L

    override fun transact(
        transaction: RowTransaction,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<TransactionOutcome>,
    ) {
        if (refusesWrites) return onVerdict(Verdict.NotRun(Failure(FailureKind.NOT_READY, "status 503")))
        answerOrFail(onVerdict) {
            val conditionsHold = transaction.conditions.all {
                (rows[it.address]?.revision ?: Revision.ABSENT) == it.revision
            }
            if (conditionsHold) commit(transaction) else TransactionOutcome.Conflict(currentRows(transaction))
        }
    }

    private fun currentRows(transaction: RowTransaction) = transaction.conditions.mapNotNull { rows[it.address] }

    private fun commit(transaction: RowTransaction): TransactionOutcome {
        val next = Revision(++revision)
        transaction.writes.forEach { write ->
            if (write.value == null) {
                rows.remove(write.address)
            } else {
                rows[write.address] = StoredRow(write.address, next, write.value)
            }
        }
        return TransactionOutcome.Committed(next, storeMillis(revision))
    }

    override fun read(
        table: String,
        partition: String,
        from: String?,
        limit: Int,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<RowPage>,
    ) {
        answerOrFail(onVerdict) {
            val foundRows = rows.values.filter { it.address.table == table && it.address.partition == partition }
                .filter { it.address.key >= from.orEmpty() }.sortedBy { it.address.key }
            RowPage(foundRows.take(limit), foundRows.size > limit, Revision(revision), storeMillis(revision))
        }
    }

    override fun awaitChanges(
        table: String,
        after: Revision,
        waitMillis: Long,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<RowChanges>,
    ) {
        answerOrFail(onVerdict) {
            val foundRows = rows.values.filter { it.address.table == table && it.revision > after }
            RowChanges.Known(foundRows, Revision(revision), storeMillis(revision))
        }
    }

    private fun <T> answerOrFail(onVerdict: VerdictCallback<T>, computeAnswer: () -> T) {
        callCount++
        when (failureMode) {
            StoreFailureMode.NONE -> onVerdict(Verdict.Ran(computeAnswer()))

            StoreFailureMode.REFUSES -> onVerdict(Verdict.NotRun(Failure(FailureKind.NOT_READY, "status 503")))

            StoreFailureMode.SILENT -> onVerdict(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time")))

            StoreFailureMode.ANSWER_LOST -> {
                computeAnswer()
                onVerdict(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time")))
            }
        }
    }
}
