// Records the intents and outcomes of keyed requests, many in one transaction. It owns no thread; a duty hands it
// orders and calls it at short intervals.

package org.gypsumturn.entry.ledger

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.request.IntentOutcome

/**
 * The ledger of keyed requests at one entry. Not thread-safe; calls block on [table].
 *
 * Each key has one row, `intent/<service>/<key>`, from its intent until the retention time is over. A request writes
 * its row twice, once for the intent (on condition that there is none) and once for the outcome, or removes it again
 * if it was certainly not run; the sweep adds one removal. So n keyed requests a second cost 3n row writes a second, in
 * at most 1000 / linger transactions a second, each of as many rows as arrived meanwhile. Reads happen only after a
 * lost answer (the rows of that group) and for repeats of a key whose first request still runs (one row per repeat and
 * look).
 */
internal class IntentLedger(
    private val table: TableStore,
    private val settings: LedgerSettings,
    private val onOutcomeDropped: () -> Unit = {},
) {
    private class OpenIntent(val order: LedgerOrder.Intent, val sinceMillis: Long)

    private class OpenOutcome(val order: LedgerOrder.Outcome, val sinceMillis: Long) {
        var attempted = false
    }

    private val committer = GroupCommitter(table)
    private val intents = ArrayDeque<OpenIntent>()
    private val outcomes = LinkedHashMap<RowKey, OpenOutcome>()
    private val revisions = HashMap<RowKey, Pair<IntentRow, Revision>>()
    private val repeats = RepeatQueue(table, settings)
    private var outcomesNotBeforeMillis = Long.MIN_VALUE

    /** Whether nothing waits to be recorded. */
    val settled: Boolean get() = intents.isEmpty() && outcomes.isEmpty() && repeats.isEmpty

    /** Takes [order] at [nowMillis]. */
    fun accept(nowMillis: Long, order: LedgerOrder) {
        when (order) {
            is LedgerOrder.Intent -> intents.addLast(OpenIntent(order, nowMillis))
            is LedgerOrder.Outcome -> acceptOutcome(nowMillis, order)
        }
    }

    // Of two outcomes under one key only the later one can own the row.
    private fun acceptOutcome(nowMillis: Long, order: LedgerOrder.Outcome) {
        outcomes.remove(order.key)?.let(::tellAttempted)
        if (outcomes.size < settings.maxWaitingOutcomes) {
            outcomes[order.key] = OpenOutcome(order, nowMillis)
        } else {
            order.onAttempt()
            onOutcomeDropped()
        }
    }

    /** Commits what has waited long enough at [nowMillis], and looks at the rows that repeats wait for. */
    fun advance(nowMillis: Long) {
        refuseLate(nowMillis)
        while (groupIsDue(nowMillis)) commitGroup(nowMillis)
        repeats.look(nowMillis).forEach { settleRepeat(nowMillis, it) }
    }

    private fun refuseLate(nowMillis: Long) {
        val late = intents.filter { it.order.deadlineMillis <= nowMillis }
        intents.removeAll(late.toSet())
        val failure = Failure(FailureKind.TIMEOUT, "the deadline passed before the intent was recorded")
        late.forEach { it.order.onEnd(IntentOutcome.NotRecorded(failure), null) }
    }

    private fun groupIsDue(nowMillis: Long): Boolean {
        val dueOutcomes = nowMillis >= outcomesNotBeforeMillis && outcomes.isNotEmpty()
        val waiting = intents.size + if (dueOutcomes) outcomes.size else 0
        val oldestIntent = intents.firstOrNull()?.sinceMillis ?: Long.MAX_VALUE
        val oldestOutcome = if (dueOutcomes) outcomes.values.first().sinceMillis else Long.MAX_VALUE
        val oldest = minOf(oldestIntent, oldestOutcome)
        return waiting >= settings.maxGroupRows || (waiting > 0 && nowMillis - oldest >= settings.lingerMillis)
    }

    private fun commitGroup(nowMillis: Long) {
        val outcomeGroup = if (nowMillis >= outcomesNotBeforeMillis) takeOutcomes(nowMillis) else emptyMap()
        val intentGroup = takeIntents(outcomeGroup.keys)
        val writes = outcomeGroup.map { (key, write) -> RowWrite(key, write.expected, write.value) } +
            intentGroup.map { RowWrite(it.order.key, Revision.ABSENT, IntentRows.encode(it.order.row)) }
        val results = if (writes.isEmpty()) emptyMap() else committer.commit(writes, settings.storeTimeoutMillis)
        outcomeGroup.forEach { (key, write) -> settleOutcome(nowMillis, write.open, results.getValue(key)) }
        intentGroup.forEach { settleIntent(nowMillis, it, results.getValue(it.order.key)) }
    }

    private class OutcomeWrite(val open: OpenOutcome, val expected: Revision, val value: String?)

    private fun takeOutcomes(nowMillis: Long): Map<RowKey, OutcomeWrite> {
        outcomes.values.filter { ownedByOther(it) }.forEach { finish(it) }
        val chosen = LinkedHashMap<RowKey, OutcomeWrite>()
        var bytes = 0
        for (open in outcomes.values.take(settings.maxGroupRows)) {
            val value = open.order.row?.let(IntentRows::encode)
            bytes += value?.length ?: 0
            if (chosen.isNotEmpty() && bytes > MAX_GROUP_BYTES) break
            val expected = revisions[open.order.key]?.second
            if (expected != null) chosen[open.order.key] = OutcomeWrite(open, expected, value)
        }
        if (chosen.isEmpty()) findRevisions(nowMillis)
        return chosen
    }

    private fun ownedByOther(open: OpenOutcome): Boolean =
        revisions[open.order.key]?.first?.sameAttempt(open.order.intent) == false

    // Only an intent whose write was not settled has no known revision.
    private fun findRevisions(nowMillis: Long) {
        val unknown = outcomes.values.filter { it.order.key !in revisions }.take(settings.maxGroupRows)
        if (unknown.isEmpty()) return
        val rows = table.read(unknown.map { it.order.key }, settings.storeTimeoutMillis)
        if (rows !is Verdict.Ran) return unknown.forEach { retryLater(nowMillis, it) }
        rows.value.zip(unknown).forEach { (row, open) ->
            val found = row.value?.let(IntentRows::decode)
            if (found != null && found.sameAttempt(open.order.intent)) {
                revisions[row.key] = found to row.revision
            } else {
                settleOutcome(nowMillis, open, RowWriteResult.Conflicted(row))
            }
        }
    }

    private fun takeIntents(takenKeys: Set<RowKey>): List<OpenIntent> {
        val room = settings.maxGroupRows - takenKeys.size
        val chosen = intents.asSequence().filter { it.order.key !in takenKeys }.distinctBy { it.order.key }.take(room)
        return chosen.toList().also { intents.removeAll(it.toSet()) }
    }

    private fun settleIntent(nowMillis: Long, open: OpenIntent, result: RowWriteResult) {
        val order = open.order
        when (result) {
            is RowWriteResult.Written -> {
                revisions[order.key] = order.row to result.revision
                order.onEnd(IntentOutcome.Recorded, null)
            }

            is RowWriteResult.Conflicted -> judgeExisting(nowMillis, order, result.row)

            is RowWriteResult.Refused -> order.onEnd(IntentOutcome.NotRecorded(result.failure), null)

            is RowWriteResult.Unknown -> order.onEnd(IntentOutcome.Unknown(result.failure), null)
        }
    }

    private fun judgeExisting(nowMillis: Long, order: LedgerOrder.Intent, row: Row) {
        val found = row.value?.let(IntentRows::decode)
        val mayWait = found != null && found.hash == order.row.hash && found.state == IntentState.STARTED
        if (mayWait && repeats.add(nowMillis, order)) return
        repeats.remove(order)
        when {
            found == null -> accept(nowMillis, order)
            found.hash != order.row.hash -> order.onEnd(IntentOutcome.PayloadDiffers, null)
            found.answer != null -> order.onEnd(IntentOutcome.AlreadyAnswered, IntentRows.restore(found.answer))
            else -> order.onEnd(IntentOutcome.AlreadyStarted, null)
        }
    }

    private fun settleRepeat(nowMillis: Long, seen: SeenRepeat) {
        val row = seen.row
        if (row ==
            null
        ) {
            seen.order.onEnd(IntentOutcome.AlreadyStarted, null)
        } else {
            judgeExisting(nowMillis, seen.order, row)
        }
    }

    private fun settleOutcome(nowMillis: Long, open: OpenOutcome, result: RowWriteResult) {
        when (result) {
            is RowWriteResult.Written, is RowWriteResult.Conflicted -> finish(open)
            is RowWriteResult.Refused, is RowWriteResult.Unknown -> retryLater(nowMillis, open)
        }
    }

    private fun retryLater(nowMillis: Long, open: OpenOutcome) {
        outcomesNotBeforeMillis = nowMillis + settings.outcomeRetryMillis
        if (nowMillis - open.sinceMillis > settings.outcomeKeepMillis) {
            finish(open)
            onOutcomeDropped()
        } else {
            tellAttempted(open)
        }
    }

    private fun finish(open: OpenOutcome) {
        outcomes.remove(open.order.key)
        if (!ownedByOther(open)) revisions.remove(open.order.key)
        tellAttempted(open)
    }

    private fun tellAttempted(open: OpenOutcome) {
        if (!open.attempted) open.order.onAttempt()
        open.attempted = true
    }

    private companion object {
        const val MAX_GROUP_BYTES = 1_048_576
    }
}
