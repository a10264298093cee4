// Commits many conditional row writes in one transaction. If the conditions of some writes fail, the other writes are
// retried without them. If a commit gets no answer, the rows are read back to find out whether it took effect.

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

/** Writes [value], or removes the row if [value] is null, on condition that the row has the revision [expected]. */
internal data class RowWrite(val key: RowKey, val expected: Revision, val value: String?)

/** The result of one write of a group. */
internal sealed interface RowWriteResult {
    /** The row has the value, with the revision [revision]. */
    data class Written(val revision: Revision) : RowWriteResult

    /** The row was changed by another writer and is now [row]; nothing was written. */
    data class Conflicted(val row: Row) : RowWriteResult

    /** The value was certainly not written. */
    data class Refused(val failure: Failure) : RowWriteResult

    /** The value may have been written. */
    data class Unknown(val failure: Failure) : RowWriteResult
}

/**
 * Commits groups of writes to distinct rows. Calls block on [table]. Each value must be unique to its writer, because a
 * row that has the value when it is read back after a lost answer counts as written.
 *
 * Cost of a group without conflicts: one transaction of as many writes as the group has rows. Each round with
 * conflicts adds one transaction. Each lost answer adds one read of the unsettled rows, and one transaction if some of
 * the writes did not take effect.
 */
internal class GroupCommitter(private val table: TableStore) {
    /** Commits [writes] and returns their results by key. Each call of the table may take [timeoutMillis]. */
    fun commit(writes: List<RowWrite>, timeoutMillis: Long): Map<RowKey, RowWriteResult> {
        val results = HashMap<RowKey, RowWriteResult>()
        var open = writes
        var rounds = 0
        var mayBeWritten = false
        while (open.isNotEmpty() && rounds < MAX_ROUNDS) {
            rounds++
            val round = runRound(open, timeoutMillis)
            results += round.results.mapValues { (_, result) -> if (mayBeWritten) unknownIfRefused(result) else result }
            mayBeWritten = mayBeWritten || round.answerLost
            open = open.filter { it.key !in results }
        }
        open.forEach { results[it.key] = unsettledResult(mayBeWritten) }
        return results
    }

    private class Round(val results: Map<RowKey, RowWriteResult>, val answerLost: Boolean)

    private fun runRound(open: List<RowWrite>, timeoutMillis: Long): Round {
        val transaction = Transaction(
            open.map { Condition(it.key, it.expected) },
            open.map { Write(it.key, it.value) },
        )
        return when (val verdict = table.commit(transaction, timeoutMillis)) {
            is Verdict.NotRun -> Round(open.associate { it.key to RowWriteResult.Refused(verdict.failure) }, false)
            is Verdict.MayHaveRun -> Round(readBack(open, verdict.failure, timeoutMillis), true)
            is Verdict.Ran -> Round(toResults(open, verdict.value), false)
        }
    }

    private fun toResults(open: List<RowWrite>, outcome: CommitOutcome): Map<RowKey, RowWriteResult> = when (outcome) {
        is CommitOutcome.Committed -> open.associate { it.key to RowWriteResult.Written(outcome.revision) }
        is CommitOutcome.Conflict -> conflictResults(open, outcome.changed)
    }

    // A row that already has the value was written by an earlier round whose answer was lost. It counts as written.
    private fun conflictResults(open: List<RowWrite>, changed: List<Row>): Map<RowKey, RowWriteResult> {
        val writes = open.associateBy { it.key }
        return changed.mapNotNull { row -> writes[row.key]?.let { row.key to resultOf(it, row) } }.toMap()
    }

    private fun readBack(open: List<RowWrite>, failure: Failure, timeoutMillis: Long): Map<RowKey, RowWriteResult> {
        val rows = table.read(open.map { it.key }, timeoutMillis)
        if (rows !is Verdict.Ran) return open.associate { it.key to RowWriteResult.Unknown(failure) }
        return conflictResults(
            open,
            rows.value.zip(open).filter { (row, write) -> !isUnchanged(write, row) }.map { it.first },
        )
    }

    private fun isUnchanged(write: RowWrite, row: Row): Boolean = row.revision == write.expected

    private fun resultOf(write: RowWrite, row: Row): RowWriteResult =
        if (row.value == write.value) RowWriteResult.Written(row.revision) else RowWriteResult.Conflicted(row)

    // The table may still apply a commit without an answer after the rows were read back. From then on a refusal does
    // not prove that nothing was written.
    private fun unknownIfRefused(result: RowWriteResult): RowWriteResult =
        if (result is RowWriteResult.Refused) RowWriteResult.Unknown(result.failure) else result

    private fun unsettledResult(mayBeWritten: Boolean): RowWriteResult {
        val failure = Failure(FailureKind.UNREACHABLE, "the table did not settle the write")
        return if (mayBeWritten) RowWriteResult.Unknown(failure) else RowWriteResult.Refused(failure)
    }

    private companion object {
        const val MAX_ROUNDS = 8
    }
}
