// Port to the platform's transactional table service. Rows are read and written by key; a transaction writes all of
// its rows or none, and only if each row that it names still has the revision that the writer saw.

package org.gypsumturn.ports

import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** Key of a row. Keys are ordered as strings; a prefix up to a slash names a group of rows. */
@JvmInline
public value class RowKey(public val value: String) : Comparable<RowKey> {
    override fun compareTo(other: RowKey): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A row as read. An absent row has [Revision.ABSENT] and no [value]. */
public data class Row(public val key: RowKey, public val revision: Revision, public val value: String?)

/** Requires that the row [key] still has [revision]. */
public data class Condition(public val key: RowKey, public val revision: Revision)

/** Writes [value] into the row [key]; null removes the row. */
public data class Write(public val key: RowKey, public val value: String?)

/** Conditions and writes that take effect together or not at all. */
public data class Transaction(public val conditions: List<Condition>, public val writes: List<Write>)

/** How the table answered a transaction. */
public sealed interface CommitOutcome {
    /** All writes took effect; [revision] is the new revision of each written row. */
    public data class Committed(public val revision: Revision) : CommitOutcome

    /** Nothing was written, since the rows in [changed] no longer had the revision that was required. */
    public data class Conflict(public val changed: List<Row>) : CommitOutcome
}

/**
 * The platform's table. Calls block until an answer or [timeoutMillis][read]; they are made from a duty's own thread.
 *
 * A read that fails is [Verdict.NotRun]. A commit without an answer is [Verdict.MayHaveRun]: the writer reads back
 * before it does anything else.
 */
public interface TableStore {
    /** Reads rows, in the order of [keys]. */
    public fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>>

    /** Reads at most [limit] rows whose key starts with [prefix] and is greater than [after], in the order of keys. */
    public fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>>

    /** Applies [transaction]. */
    public fun commit(transaction: Transaction, timeoutMillis: Long): Verdict<CommitOutcome>
}
