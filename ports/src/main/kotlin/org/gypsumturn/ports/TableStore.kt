// Port to the platform's transactional table. Rows are read and written by key. A transaction writes all its rows or
// none, and only if each row in its conditions still has the revision that the writer read.

package org.gypsumturn.ports

import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

/** Key of a row. Keys are ordered as strings; rows of one kind share a prefix that ends with a slash. */
@JvmInline
public value class RowKey(public val value: String) : Comparable<RowKey> {
    override fun compareTo(other: RowKey): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A row as read from the table. A row that does not exist has [Revision.ABSENT] and a null [value]. */
public data class Row(public val key: RowKey, public val revision: Revision, public val value: String?)

/** Requires that the row [key] has exactly [revision]; [Revision.ABSENT] requires that it does not exist. */
public data class Condition(public val key: RowKey, public val revision: Revision)

/** Writes [value] into the row [key]; null removes the row. */
public data class Write(public val key: RowKey, public val value: String?)

/** An atomic set of [writes], applied only if all [conditions] hold. */
public data class Transaction(public val conditions: List<Condition>, public val writes: List<Write>)

/** Answer of the table to a transaction. */
public sealed interface CommitOutcome {
    /** All writes took effect; [revision] is the new revision of each written row. */
    public data class Committed(public val revision: Revision) : CommitOutcome

    /** Nothing was written, because the rows in [changed] did not have the required revisions. */
    public data class Conflict(public val changed: List<Row>) : CommitOutcome
}

/**
 * The platform's table. Calls block until an answer or the timeout, so they are made only from threads that may wait.
 *
 * A failed read gives [Verdict.NotRun]. A commit without an answer gives [Verdict.MayHaveRun]; the writer must then
 * read the rows again before it does anything else.
 */
public interface TableStore {
    /** Reads the rows of [keys], in the same order. */
    public fun read(keys: List<RowKey>, timeoutMillis: Long): Verdict<List<Row>>

    /** Reads in key order at most [limit] rows whose key starts with [prefix] and is greater than [after]. */
    public fun scan(prefix: String, after: RowKey?, limit: Int, timeoutMillis: Long): Verdict<List<Row>>

    /** Applies [transaction] if its conditions hold. */
    public fun commit(transaction: Transaction, timeoutMillis: Long): Verdict<CommitOutcome>
}
