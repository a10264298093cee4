// In-memory table for tests and for the stand-in. It implements the contract of the platform's table and can be made to
// fail on demand.

package org.gypsumturn.ports.fake

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write
import java.util.TreeMap

/** Fault applied to a call of the table, the object store or the instance list. */
public enum class PortFault {
    /** The call succeeds. */
    NONE,

    /** The call has no effect, and the caller is told so. */
    REFUSE,

    /** The call takes effect, but the caller gets no answer. */
    LOSE_ANSWER,

    /** The call has no effect, and the caller gets no answer, so it cannot tell this from [LOSE_ANSWER]. */
    LOSE_REQUEST,
}

/**
 * Counters of a table since it was created. [readRows] includes keys that were read but have no row, and [commits]
 * includes those that ended in a conflict.
 */
public data class TableUsage(
    public val readRows: Long,
    public val writtenRows: Long,
    public val commits: Long,
    public val conflicts: Long,
)

/**
 * A table in memory. Thread-safe.
 *
 * @param fault called once for each call, returns the fault to apply to it; `isCommit` is false for reads and scans,
 *   which have no effect to lose and fail as not run with any fault
 */
public class FakeTableStore(private val fault: (isCommit: Boolean) -> PortFault = { PortFault.NONE }) : TableStore {
    private val rows = TreeMap<String, Row>()
    private var lastRevision = 0L
    private var readRows = 0L
    private var writtenRows = 0L
    private var commits = 0L
    private var conflicts = 0L

    /** Current values of the counters. */
    @Synchronized
    public fun usage(): TableUsage = TableUsage(readRows, writtenRows, commits, conflicts)

    @Synchronized
    override fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>> {
        if (fault(false) != PortFault.NONE) return unreachable()
        readRows += keys.size
        return Verdict.Ran(keys.map(::currentRow))
    }

    @Synchronized
    override fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>> {
        if (fault(false) != PortFault.NONE) return unreachable()
        val start = if (after != null && after.value >= prefix) after.value else prefix
        val foundRows =
            rows
                .tailMap(start, after == null || after.value < prefix)
                .values
                .asSequence()
                .takeWhile { it.key.value.startsWith(prefix) }
                .take(limit)
                .toList()
        readRows += foundRows.size
        return Verdict.Ran(foundRows)
    }

    @Synchronized
    override fun commit(transaction: Transaction, timeoutMillis: Long): Verdict<CommitOutcome> = when (fault(true)) {
        PortFault.NONE -> Verdict.Ran(apply(transaction))

        PortFault.REFUSE -> unreachable()

        PortFault.LOSE_REQUEST -> answerTimeout()

        PortFault.LOSE_ANSWER -> {
            apply(transaction)
            answerTimeout()
        }
    }

    private fun apply(transaction: Transaction): CommitOutcome {
        commits++
        val changedRows =
            transaction.conditions
                .map { it to currentRow(it.key) }
                .filter { (condition, row) -> row.revision != condition.revision }
                .map { it.second }
        if (changedRows.isNotEmpty()) {
            conflicts++
            return CommitOutcome.Conflict(changedRows)
        }
        val revision = Revision(++lastRevision)
        transaction.writes.forEach { write(it, revision) }
        writtenRows += transaction.writes.size
        return CommitOutcome.Committed(revision)
    }

    private fun write(write: Write, revision: Revision) {
        if (write.value == null) {
            rows.remove(write.key.value)
        } else {
            rows[write.key.value] = Row(write.key, revision, write.value)
        }
    }

    private fun currentRow(key: RowKey): Row = rows[key.value] ?: Row(key, Revision.ABSENT, null)

    private fun unreachable() = Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "the table is down"))

    private fun answerTimeout() = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "the table did not answer"))
}
