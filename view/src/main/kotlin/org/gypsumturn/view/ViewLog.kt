// The log of accepted changes in the platform's table. Every change is one transaction that requires the head row to
// be as the proposer saw it, so changes are totally ordered and each was decided against the view directly before it.

package org.gypsumturn.view

import org.gypsumturn.model.Change
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.map
import org.gypsumturn.model.valueOr
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write

/** A view and the revision of the head row that goes with it. */
public data class LoggedView(public val view: FleetView, public val headRevision: Revision)

/** The newest view, and the changes that led to it where they were read one by one. */
public data class FollowedLog(public val logged: LoggedView, public val changes: List<Change>)

/** A change that is proposed, before it has a version. */
public data class Proposal(
    public val operation: OperationId,
    public val operator: OperatorId,
    public val atMillis: Long,
    public val summary: String,
    public val mutations: List<Mutation>,
)

/** How a proposal ended. */
public sealed interface ProposalOutcome {
    /** The proposal is the newest change. */
    public data class Accepted(public val change: Change, public val next: LoggedView) : ProposalOutcome

    /** Another change came first; nothing was written. Follow the log and decide again. */
    public data object Behind : ProposalOutcome
}

/** Reads and writes the log. Calls block for at most a few times [timeoutMillis]. */
public class ViewLog(private val table: TableStore, private val timeoutMillis: Long) {
    /** The newest view, read from its records. */
    public fun load(): Verdict<FollowedLog> {
        val before = readHead().valueOr { return it }
        val records = scanRecords().valueOr { return it }
        val scanned = FleetView(version = before.version).withRecords(records)
        return follow(LoggedView(scanned, before.revision))
    }

    /** The newest view, read from the changes after [known]. */
    public fun follow(known: LoggedView): Verdict<FollowedLog> {
        val head = readHead().valueOr { return it }
        val followed = mutableListOf<Change>()
        var view = known.view
        while (view.version < head.version) {
            val changes = readChanges(view.version, head.version).valueOr { return it }
            if (changes.isEmpty()) return load()
            view = changes.fold(view) { current, change -> current.apply(change) }
            followed += changes
        }
        return Verdict.Ran(FollowedLog(LoggedView(view, head.revision), followed))
    }

    /** The version at which [operation] was accepted, or null if it was not. */
    public fun versionOf(operation: OperationId): Verdict<ViewVersion?> =
        table.read(listOf(ViewRows.operationKey(operation)), timeoutMillis).map { rows ->
            rows.single().value?.let(ViewRows::decodeOperation)
        }

    /** At most [limit] changes after [version], oldest first. */
    public fun changesAfter(version: ViewVersion, limit: Int): Verdict<List<Change>> {
        val head = readHead().valueOr { return it }
        return readChanges(version, ViewVersion(minOf(head.version.value, version.value + limit)))
    }

    /**
     * Appends [proposal] to the log if [base] is still the newest view.
     *
     * After a lost answer the log is read back. An attempt that may still be under way cannot take effect once the head
     * row has moved on, so the outcome is [Verdict.MayHaveRun] only if the table stays unreachable.
     */
    public fun propose(base: LoggedView, proposal: Proposal): Verdict<ProposalOutcome> {
        val change = proposal.toChange(base.view.version.next())
        val transaction = transactionOf(base, change)
        var mayHaveRun = false
        repeat(MAX_ATTEMPTS) {
            when (val result = table.commit(transaction, timeoutMillis)) {
                is Verdict.Ran ->
                    when (val outcome = result.value) {
                        is CommitOutcome.Committed -> return Verdict.Ran(accepted(base, change, outcome.revision))
                        is CommitOutcome.Conflict -> return if (mayHaveRun) readBack(base, change) else BEHIND
                    }

                is Verdict.NotRun -> if (!mayHaveRun) return result

                is Verdict.MayHaveRun -> mayHaveRun = true
            }
        }
        return Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "the table did not answer whether the change was made"))
    }

    private fun readBack(base: LoggedView, change: Change): Verdict<ProposalOutcome> {
        val keys = listOf(ViewRows.changeKey(change.version), ViewRows.head)
        return when (val result = table.read(keys, timeoutMillis)) {
            is Verdict.Ran -> {
                val recorded = result.value.first().value?.let(ViewRows::decodeChange)
                if (recorded?.operation != change.operation) return BEHIND
                Verdict.Ran(accepted(base, change, result.value.last().revision))
            }

            is Verdict.NotRun -> Verdict.MayHaveRun(result.failure)

            is Verdict.MayHaveRun -> result
        }
    }

    private fun accepted(base: LoggedView, change: Change, headRevision: Revision) =
        ProposalOutcome.Accepted(change, LoggedView(base.view.apply(change), headRevision))

    private fun transactionOf(base: LoggedView, change: Change): Transaction {
        val operationKey = ViewRows.operationKey(change.operation)
        val conditions =
            listOf(Condition(ViewRows.head, base.headRevision), Condition(operationKey, Revision.ABSENT))
        val bookkeeping =
            listOf(
                Write(ViewRows.head, ViewRows.encodeHead(change.version)),
                Write(ViewRows.changeKey(change.version), ViewRows.encodeChange(change)),
                Write(operationKey, ViewRows.encodeOperation(change.version)),
            )
        return Transaction(conditions, bookkeeping + change.mutations.map { ViewRows.recordWrite(it, change.version) })
    }

    private fun readHead(): Verdict<Head> = table.read(listOf(ViewRows.head), timeoutMillis).map { rows ->
        val row = rows.single()
        Head(row.value?.let(ViewRows::decodeHead) ?: ViewVersion.NONE, row.revision)
    }

    private fun readChanges(after: ViewVersion, upTo: ViewVersion): Verdict<List<Change>> {
        val last = minOf(upTo.value, after.value + MAX_CHANGES_PER_READ)
        val keys = (after.value + 1..last).map { ViewRows.changeKey(ViewVersion(it)) }
        if (keys.isEmpty()) return Verdict.Ran(emptyList())
        return table.read(keys, timeoutMillis).map(::decodeChanges)
    }

    // A trimmed change ends the list, so that the caller falls back to the records.
    private fun decodeChanges(rows: List<Row>): List<Change> =
        rows.takeWhile { it.value != null }.mapNotNull { it.value?.let(ViewRows::decodeChange) }

    private fun scanRecords(): Verdict<List<Mutation>> {
        val records = mutableListOf<Mutation>()
        var after: RowKey? = null
        while (true) {
            val page = table.scan(ViewRows.RECORD_PREFIX, after, SCAN_PAGE, timeoutMillis).valueOr { return it }
            records += page.mapNotNull { it.value?.let(ViewRows::decodeRecord) }
            if (page.size < SCAN_PAGE) return Verdict.Ran(records)
            after = page.last().key
        }
    }

    private data class Head(val version: ViewVersion, val revision: Revision)

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val MAX_CHANGES_PER_READ = 200L
        const val SCAN_PAGE = 500
        val BEHIND: Verdict<ProposalOutcome> = Verdict.Ran(ProposalOutcome.Behind)
    }
}

private fun Proposal.toChange(version: ViewVersion) = Change(version, operation, operator, atMillis, summary, mutations)
