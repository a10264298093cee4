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

/** A table that one node cannot reach while [cut] is set. */
class CutOffTable(private val table: TableStore, private val cut: AtomicBoolean) : TableStore {
    private val refused = Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "cut off"))

    override fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>> =
        if (cut.get()) refused else table.read(keys, timeoutMillis)

    override fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>> =
        if (cut.get()) refused else table.scan(prefix, after, limit, timeoutMillis)

    override fun commit(transaction: Transaction, timeoutMillis: Long): Verdict<CommitOutcome> =
        if (cut.get()) refused else table.commit(transaction, timeoutMillis)
}
