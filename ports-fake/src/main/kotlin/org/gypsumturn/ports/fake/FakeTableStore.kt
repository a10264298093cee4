// An in-memory table that keeps the contract of the platform's table service and fails on demand.

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

/** What the table does to the next call. */
public enum class TableFault {
    /** The call is served. */
    NONE,

    /** The call fails without effect, and the caller knows it. */
    REFUSE,

    /** The call takes effect, and its answer is lost. */
    LOSE_ANSWER,

    /** The call has no effect, and the caller cannot know it. */
    LOSE_REQUEST,
}

/** Counts of the calls that a table has served. */
public data class TableUsage(
    public val readRows: Long,
    public val writtenRows: Long,
    public val commits: Long,
    public val conflicts: Long,
)

/**
 * A table in memory. Thread-safe.
 *
 * @param fault decides, before each call, what becomes of it; `isCommit` tells commits from reads
 */
public class FakeTableStore(private val fault: (isCommit: Boolean) -> TableFault = { TableFault.NONE }) : TableStore {
    private val rows = TreeMap<String, Row>()
    private var lastRevision = 0L
    private var readRows = 0L
    private var writtenRows = 0L
    private var commits = 0L
    private var conflicts = 0L

    /** What the table has served so far. */
    @Synchronized
    public fun usage(): TableUsage = TableUsage(readRows, writtenRows, commits, conflicts)

    @Synchronized
    override fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>> {
        if (fault(false) != TableFault.NONE) return unavailable()
        readRows += keys.size
        return Verdict.Ran(keys.map(::current))
    }

    @Synchronized
    override fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>> {
        if (fault(false) != TableFault.NONE) return unavailable()
        val start = if (after != null && after.value >= prefix) after.value else prefix
        val found =
            rows
                .tailMap(start, after == null || after.value < prefix)
                .values
                .asSequence()
                .takeWhile { it.key.value.startsWith(prefix) }
                .take(limit)
                .toList()
        readRows += found.size
        return Verdict.Ran(found)
    }

    @Synchronized
    override fun commit(transaction: Transaction, timeoutMillis: Long): Verdict<CommitOutcome> = when (fault(true)) {
        TableFault.NONE -> Verdict.Ran(apply(transaction))

        TableFault.REFUSE -> unavailable()

        TableFault.LOSE_REQUEST -> lost()

        TableFault.LOSE_ANSWER -> {
            apply(transaction)
            lost()
        }
    }

    private fun apply(transaction: Transaction): CommitOutcome {
        commits++
        val changed =
            transaction.conditions
                .map { it to current(it.key) }
                .filter { (condition, row) -> row.revision != condition.revision }
                .map { it.second }
        if (changed.isNotEmpty()) {
            conflicts++
            return CommitOutcome.Conflict(changed)
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

    private fun current(key: RowKey): Row = rows[key.value] ?: Row(key, Revision.ABSENT, null)

    private fun unavailable() = Verdict.NotRun(Failure(FailureKind.UNREACHABLE, "the table is down"))

    private fun lost() = Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "the table did not answer"))
}
