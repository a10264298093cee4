// A table for tests that one node cannot reach, while other nodes still reach the same table.

package org.gypsumturn.peer

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import java.util.concurrent.atomic.AtomicBoolean

/** Passes calls on to [table], and fails them without running them while [isCutOff] is set. */
class CutOffTable(private val table: TableStore, private val isCutOff: AtomicBoolean) : TableStore {
    private val unreachable = Verdict.NotRun(
        Failure(FailureKind.UNREACHABLE, "the test has cut this node off from the table"),
    )

    override fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>> =
        if (isCutOff.get()) unreachable else table.read(keys, timeoutMillis)

    override fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>> =
        if (isCutOff.get()) unreachable else table.scan(prefix, after, limit, timeoutMillis)

    override fun commit(transaction: Transaction, timeoutMillis: Long): Verdict<CommitOutcome> =
        if (isCutOff.get()) unreachable else table.commit(transaction, timeoutMillis)
}
