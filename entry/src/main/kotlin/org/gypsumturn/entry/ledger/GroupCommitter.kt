// Commits many conditional row writes in one transaction. A write whose condition fails is taken out and the others
// are tried again; a commit without an answer is read back before anything else.

package org.gypsumturn.entry.ledger

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write

/** Writes [value], or removes the row if it is null, provided that the row still has the revision [expected]. */
internal data class RowWrite(val key: RowKey, val expected: Revision, val value: String?)

/** How one write of a group ended. */
internal sealed interface RowWriteResult {
    /** The row holds the value, at [revision]. */
    data class Written(val revision: Revision) : RowWriteResult

    /** The row had changed and is now [row]; nothing was written. */
    data class Conflicted(val row: Row) : RowWriteResult

    /** Nothing was written. */
    data class Refused(val failure: Failure) : RowWriteResult

    /** The row may or may not hold the value. */
    data class Unknown(val failure: Failure) : RowWriteResult
}

/**
 * Commits groups of writes to distinct rows. Blocks on [table]. Values must be unique to their writer, since a value
 * that is read back after a lost answer counts as written.
 *
 * Cost of a group without conflicts: one transaction of as many writes as the group has rows. Each round that meets
 * conflicts adds one transaction; each lost answer adds one read of the rows still open, and one transaction where the
 * write had not taken effect.
 */
internal class GroupCommitter(private val table: TableStore) {
    /** Commits [writes]; the results are by key. */
    fun commit(writes: List<RowWrite>, timeoutMillis: Long): Map<RowKey, RowWriteResult> {
        val results = HashMap<RowKey, RowWriteResult>()
        var open = writes
        var rounds = 0
        var mayBeWritten = false
        while (open.isNotEmpty() && rounds < MAX_ROUNDS) {
            rounds++
            val round = attempt(open, timeoutMillis)
            results += round.results.mapValues { (_, result) -> if (mayBeWritten) doubted(result) else result }
            mayBeWritten = mayBeWritten || round.lost
            open = open.filter { it.key !in results }
        }
        open.forEach { results[it.key] = leftOver(mayBeWritten) }
        return results
    }

    private class Round(val results: Map<RowKey, RowWriteResult>, val lost: Boolean)

    private fun attempt(open: List<RowWrite>, timeoutMillis: Long): Round {
        val transaction = Transaction(
            open.map { Condition(it.key, it.expected) },
            open.map { Write(it.key, it.value) },
        )
        return when (val verdict = table.commit(transaction, timeoutMillis)) {
            is Verdict.NotRun -> Round(open.associate { it.key to RowWriteResult.Refused(verdict.failure) }, false)
            is Verdict.MayHaveRun -> Round(readBack(open, verdict.failure, timeoutMillis), true)
            is Verdict.Ran -> Round(committed(open, verdict.value), false)
        }
    }

    private fun committed(open: List<RowWrite>, outcome: CommitOutcome): Map<RowKey, RowWriteResult> = when (outcome) {
        is CommitOutcome.Committed -> open.associate { it.key to RowWriteResult.Written(outcome.revision) }
        is CommitOutcome.Conflict -> conflicts(open, outcome.changed)
    }

    // A row that this very write had changed in an earlier round, unseen, counts as written.
    private fun conflicts(open: List<RowWrite>, changed: List<Row>): Map<RowKey, RowWriteResult> {
        val writes = open.associateBy { it.key }
        return changed.mapNotNull { row -> writes[row.key]?.let { row.key to judge(it, row) } }.toMap()
    }

    private fun readBack(open: List<RowWrite>, failure: Failure, timeoutMillis: Long): Map<RowKey, RowWriteResult> {
        val rows = table.read(open.map { it.key }, timeoutMillis)
        if (rows !is Verdict.Ran) return open.associate { it.key to RowWriteResult.Unknown(failure) }
        return conflicts(open, rows.value.zip(open).filter { (row, write) -> !untouched(write, row) }.map { it.first })
    }

    private fun untouched(write: RowWrite, row: Row): Boolean = row.revision == write.expected

    private fun judge(write: RowWrite, row: Row): RowWriteResult =
        if (row.value == write.value) RowWriteResult.Written(row.revision) else RowWriteResult.Conflicted(row)

    // The store may still apply a lost commit after it was read back.
    private fun doubted(result: RowWriteResult): RowWriteResult =
        if (result is RowWriteResult.Refused) RowWriteResult.Unknown(result.failure) else result

    private fun leftOver(mayBeWritten: Boolean): RowWriteResult {
        val failure = Failure(FailureKind.UNREACHABLE, "the table did not settle the write")
        return if (mayBeWritten) RowWriteResult.Unknown(failure) else RowWriteResult.Refused(failure)
    }

    private companion object {
        const val MAX_ROUNDS = 8
    }
}
