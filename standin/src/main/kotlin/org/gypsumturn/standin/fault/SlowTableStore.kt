// Table whose calls are delayed before they take effect, to simulate a slow store.

package org.gypsumturn.standin.fault

import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction

/** Calls [delay], which may block, before it passes each call on to [table]. */
internal class SlowTableStore(private val table: TableStore, private val delay: () -> Unit) : TableStore {
    override fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>> {
        delay()
        return table.read(keys, timeoutMillis)
    }

    override fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>> {
        delay()
        return table.scan(prefix, after, limit, timeoutMillis)
    }

    override fun commit(transaction: Transaction, timeoutMillis: Long): Verdict<CommitOutcome> {
        delay()
        return table.commit(transaction, timeoutMillis)
    }
}
