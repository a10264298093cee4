// A store of rows in memory for tests of the node, with the ways in which the platform's store fails.

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

internal enum class StoreTrouble { NONE, REFUSES, ANSWER_LOST, SILENT }

internal class MemoryRowStore : RowStore {
    val rows = LinkedHashMap<RowAddress, StoredRow>()
    var trouble = StoreTrouble.NONE
    var calls = 0
    private var revision = 0L

    override fun transact(
        transaction: RowTransaction,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<TransactionOutcome>,
    ) {
        answer(onVerdict) {
            val fits = transaction.conditions.all { (rows[it.address]?.revision ?: Revision.ABSENT) == it.revision }
            if (fits) apply(transaction) else TransactionOutcome.Conflict(present(transaction))
        }
    }

    private fun present(transaction: RowTransaction) = transaction.conditions.mapNotNull { rows[it.address] }

    private fun apply(transaction: RowTransaction): TransactionOutcome {
        val next = Revision(++revision)
        transaction.writes.forEach { write ->
            if (write.value == null) {
                rows.remove(write.address)
            } else {
                rows[write.address] = StoredRow(write.address, next, write.value)
            }
        }
        return TransactionOutcome.Committed(next, revision)
    }

    override fun read(
        table: String,
        partition: String,
        from: String?,
        limit: Int,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<RowPage>,
    ) {
        answer(onVerdict) {
            val found = rows.values.filter { it.address.table == table && it.address.partition == partition }
                .filter { it.address.key >= from.orEmpty() }.sortedBy { it.address.key }
            RowPage(found.take(limit), found.size > limit, Revision(revision), revision)
        }
    }

    override fun awaitChanges(
        table: String,
        after: Revision,
        waitMillis: Long,
        timeoutMillis: Long,
        onVerdict: VerdictCallback<RowChanges>,
    ) {
        answer(onVerdict) {
            val found = rows.values.filter { it.address.table == table && it.revision > after }
            RowChanges.Known(found, Revision(revision), revision)
        }
    }

    private fun <T> answer(done: VerdictCallback<T>, act: () -> T) {
        calls++
        when (trouble) {
            StoreTrouble.NONE -> done(Verdict.Ran(act()))

            StoreTrouble.REFUSES -> done(Verdict.NotRun(Failure(FailureKind.NOT_READY, "status 503")))

            StoreTrouble.SILENT -> done(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time")))

            StoreTrouble.ANSWER_LOST -> {
                act()
                done(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time")))
            }
        }
    }
}
