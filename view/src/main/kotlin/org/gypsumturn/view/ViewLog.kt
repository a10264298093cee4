// The log of accepted changes to the view, stored in the platform's table. Each change is one transaction that requires
// the head row to be unchanged since the proposer read it. Changes are therefore totally ordered, and each was decided
// against the view directly before it.

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

/** A view as stored in the table; [headRevision] is the revision of the head row at that version. */
public data class StoredView(public val view: FleetView, public val headRevision: Revision)

/** The newest view as [stored], and those [changes] up to it that were read one by one and not from the records. */
public data class ViewUpdate(public val stored: StoredView, public val changes: List<Change>)

/** A proposed change. It gets a version when it is accepted. */
public data class Proposal(
    public val operation: OperationId,
    public val operator: OperatorId,
    public val atMillis: Long,
    public val summary: String,
    public val mutations: List<Mutation>,
)

/** Outcome of a proposal. */
public sealed interface ProposalOutcome {
    /** The proposal was appended to the log as [change]; [next] is the view that results from it. */
    public data class Accepted(public val change: Change, public val next: StoredView) : ProposalOutcome

    /**
     * Another change was accepted after the base of the proposal; nothing was written. The caller loads the newest view
     * and decides again.
     */
    public data object StaleBase : ProposalOutcome
}

/** Reads and appends changes. Each table operation is limited to [timeoutMillis]; a call may need several of them. */
public class ViewLog(private val table: TableStore, private val timeoutMillis: Long) {
    /** Reads the newest view from its records, and applies the changes that were accepted during the reading. */
    public fun load(): Verdict<ViewUpdate> {
        val before = readHead().valueOr { return it }
        val records = scanRecords().valueOr { return it }
        val scanned = FleetView(version = before.version).withRecords(records)
        return loadSince(StoredView(scanned, before.revision))
    }

    /** Reads the changes after [known] and returns the newest view. Reads the records if a change has been trimmed. */
    public fun loadSince(known: StoredView): Verdict<ViewUpdate> {
        val head = readHead().valueOr { return it }
        val applied = mutableListOf<Change>()
        var view = known.view
        while (view.version < head.version) {
            val changes = readChanges(view.version, head.version).valueOr { return it }
            if (changes.isEmpty()) return load()
            view = changes.fold(view) { current, change -> current.apply(change) }
            applied += changes
        }
        return Verdict.Ran(ViewUpdate(StoredView(view, head.revision), applied))
    }

    /** The version at which [operation] was accepted, or null if it has not been accepted. */
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
     * If the answer to a commit is lost, the commit is retried, and after a conflict the log is read back. An earlier
     * attempt that is still on its way cannot take effect once the head row has changed, so the outcome is
     * [Verdict.MayHaveRun] only if the table stays unreachable.
     */
    public fun propose(base: StoredView, proposal: Proposal): Verdict<ProposalOutcome> {
        val change = proposal.toChange(base.view.version.next())
        val transaction = transactionOf(base, change)
        var mayHaveRun = false
        repeat(MAX_ATTEMPTS) {
            when (val result = table.commit(transaction, timeoutMillis)) {
                is Verdict.Ran ->
                    when (val outcome = result.value) {
                        is CommitOutcome.Committed -> return Verdict.Ran(accepted(base, change, outcome.revision))
                        is CommitOutcome.Conflict -> return if (mayHaveRun) readBack(base, change) else STALE_BASE
                    }

                is Verdict.NotRun -> if (!mayHaveRun) return result

                is Verdict.MayHaveRun -> mayHaveRun = true
            }
        }
        return Verdict.MayHaveRun(
            Failure(FailureKind.TIMEOUT, "the table did not answer whether the change was made"),
        )
    }

    private fun readBack(base: StoredView, change: Change): Verdict<ProposalOutcome> {
        val keys = listOf(ViewRows.changeKey(change.version), ViewRows.head)
        return when (val result = table.read(keys, timeoutMillis)) {
            is Verdict.Ran -> {
                val recorded = result.value.first().value?.let(ViewRows::decodeChange)
                if (recorded?.operation != change.operation) return STALE_BASE
                Verdict.Ran(accepted(base, change, result.value.last().revision))
            }

            is Verdict.NotRun -> Verdict.MayHaveRun(result.failure)

            is Verdict.MayHaveRun -> result
        }
    }

    private fun accepted(base: StoredView, change: Change, headRevision: Revision) =
        ProposalOutcome.Accepted(change, StoredView(base.view.apply(change), headRevision))

    private fun transactionOf(base: StoredView, change: Change): Transaction {
        val operationKey = ViewRows.operationKey(change.operation)
        val conditions =
            listOf(Condition(ViewRows.head, base.headRevision), Condition(operationKey, Revision.ABSENT))
        val logWrites =
            listOf(
                Write(ViewRows.head, ViewRows.encodeHead(change.version)),
                Write(ViewRows.changeKey(change.version), ViewRows.encodeChange(change)),
                Write(operationKey, ViewRows.encodeOperation(change.version)),
            )
        return Transaction(conditions, logWrites + change.mutations.map { ViewRows.recordWrite(it, change.version) })
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

    // The list ends before the first change that has been trimmed, so that the caller falls back to the records.
    private fun decodeChanges(rows: List<Row>): List<Change> =
        rows.takeWhile { it.value != null }.mapNotNull { it.value?.let(ViewRows::decodeChange) }

    private fun scanRecords(): Verdict<List<Mutation>> {
        val records = mutableListOf<Mutation>()
        var after: RowKey? = null
        while (true) {
            val page = table.scan(ViewRows.RECORD_PREFIX, after, SCAN_PAGE_ROWS, timeoutMillis).valueOr { return it }
            records += page.mapNotNull { it.value?.let(ViewRows::decodeRecord) }
            if (page.size < SCAN_PAGE_ROWS) return Verdict.Ran(records)
            after = page.last().key
        }
    }

    private data class Head(val version: ViewVersion, val revision: Revision)

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val MAX_CHANGES_PER_READ = 200L
        const val SCAN_PAGE_ROWS = 500
        val STALE_BASE: Verdict<ProposalOutcome> = Verdict.Ran(ProposalOutcome.StaleBase)
    }
}

private fun Proposal.toChange(version: ViewVersion) = Change(version, operation, operator, atMillis, summary, mutations)
