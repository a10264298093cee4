// Records the intents and outcomes of keyed requests in the table, many in one transaction. It has no thread of its
// own: LedgerLoop passes it commands and calls it at short intervals.

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
 * Records the intents and outcomes of the keyed requests of one entry. Not thread-safe; calls block on [table].
 *
 * Each key has one row, `intent/<service>/<key>`, from its intent until the end of the retention time. A request writes
 * its row twice: once for the intent, on condition that there is no row, and once for the outcome. If the request was
 * certainly not run, the second write removes the row instead. The retention sweep removes the remaining rows. So n
 * keyed requests per second cost 3n row writes per second, in at most 1000 / `lingerMillis` transactions per second,
 * each with the rows that arrived in the meantime. Rows are read only after a lost answer (the rows of that group) and
 * for repeats of a key whose first request is still running (one row per repeat and poll).
 *
 * @param onOutcomeDropped called for each outcome that is given up without being recorded
 */
internal class IntentLedger(
    private val table: TableStore,
    private val settings: LedgerSettings,
    private val onOutcomeDropped: () -> Unit = {},
) {
    private class PendingIntent(val command: LedgerCommand.Intent, val acceptedAtMillis: Long)

    private class PendingOutcome(val command: LedgerCommand.Outcome, val acceptedAtMillis: Long) {
        var attempted = false
    }

    private val committer = GroupCommitter(table)
    private val pendingIntents = ArrayDeque<PendingIntent>()
    private val pendingOutcomes = LinkedHashMap<RowKey, PendingOutcome>()
    private val knownRows = HashMap<RowKey, Pair<IntentRow, Revision>>()
    private val repeats = RepeatQueue(table, settings)
    private var nextOutcomeAttemptMillis = Long.MIN_VALUE

    /** Whether no intent, outcome or repeat is waiting. */
    val isIdle: Boolean get() = pendingIntents.isEmpty() && pendingOutcomes.isEmpty() && repeats.isEmpty

    /** Queues [command]; [nowMillis] is the current time on the monotonic clock. */
    fun accept(nowMillis: Long, command: LedgerCommand) {
        when (command) {
            is LedgerCommand.Intent -> pendingIntents.addLast(PendingIntent(command, nowMillis))
            is LedgerCommand.Outcome -> acceptOutcome(nowMillis, command)
        }
    }

    // If a key already has a pending outcome, only the newer one can belong to the row, so it replaces the older one.
    private fun acceptOutcome(nowMillis: Long, command: LedgerCommand.Outcome) {
        pendingOutcomes.remove(command.key)?.let(::notifyFirstAttempt)
        if (pendingOutcomes.size < settings.maxWaitingOutcomes) {
            pendingOutcomes[command.key] = PendingOutcome(command, nowMillis)
        } else {
            command.onFirstAttempt()
            onOutcomeDropped()
        }
    }

    /** Commits the groups that are full or have waited for `lingerMillis`, and polls the rows that repeats wait for. */
    fun processDue(nowMillis: Long) {
        rejectExpiredIntents(nowMillis)
        while (isGroupDue(nowMillis)) commitGroup(nowMillis)
        repeats.pollRows(nowMillis).forEach { settleRepeat(nowMillis, it) }
    }

    private fun rejectExpiredIntents(nowMillis: Long) {
        val expired = pendingIntents.filter { it.command.deadlineMillis <= nowMillis }
        pendingIntents.removeAll(expired.toSet())
        val failure = Failure(FailureKind.TIMEOUT, "the deadline passed before the intent was recorded")
        expired.forEach { it.command.onResult(IntentOutcome.NotRecorded(failure), null) }
    }

    private fun isGroupDue(nowMillis: Long): Boolean {
        val dueOutcomes = nowMillis >= nextOutcomeAttemptMillis && pendingOutcomes.isNotEmpty()
        val waiting = pendingIntents.size + if (dueOutcomes) pendingOutcomes.size else 0
        val oldestIntent = pendingIntents.firstOrNull()?.acceptedAtMillis ?: Long.MAX_VALUE
        val oldestOutcome = if (dueOutcomes) pendingOutcomes.values.first().acceptedAtMillis else Long.MAX_VALUE
        val oldest = minOf(oldestIntent, oldestOutcome)
        return waiting >= settings.maxGroupRows || (waiting > 0 && nowMillis - oldest >= settings.lingerMillis)
    }

    private fun commitGroup(nowMillis: Long) {
        val outcomeGroup = if (nowMillis >= nextOutcomeAttemptMillis) takeOutcomes(nowMillis) else emptyMap()
        val intentGroup = takeIntents(outcomeGroup.keys)
        val writes = outcomeGroup.map { (key, write) -> RowWrite(key, write.expected, write.value) } +
            intentGroup.map { RowWrite(it.command.key, Revision.ABSENT, IntentRowCodec.encode(it.command.row)) }
        val results = if (writes.isEmpty()) emptyMap() else committer.commit(writes, settings.storeTimeoutMillis)
        outcomeGroup.forEach { (key, write) -> settleOutcome(nowMillis, write.open, results.getValue(key)) }
        intentGroup.forEach { settleIntent(nowMillis, it, results.getValue(it.command.key)) }
    }

    private class OutcomeWrite(val open: PendingOutcome, val expected: Revision, val value: String?)

    private fun takeOutcomes(nowMillis: Long): Map<RowKey, OutcomeWrite> {
        pendingOutcomes.values.filter { rowBelongsToOtherAttempt(it) }.forEach { finishOutcome(it) }
        val group = LinkedHashMap<RowKey, OutcomeWrite>()
        var bytes = 0
        for (open in pendingOutcomes.values.take(settings.maxGroupRows)) {
            val value = open.command.row?.let(IntentRowCodec::encode)
            bytes += value?.length ?: 0
            if (group.isNotEmpty() && bytes > MAX_GROUP_BYTES) break
            val expected = knownRows[open.command.key]?.second
            if (expected != null) group[open.command.key] = OutcomeWrite(open, expected, value)
        }
        if (group.isEmpty()) loadMissingRevisions(nowMillis)
        return group
    }

    private fun rowBelongsToOtherAttempt(open: PendingOutcome): Boolean =
        knownRows[open.command.key]?.first?.sameAttempt(open.command.intent) == false

    // The revision of a row is unknown only if the write of its intent ended with an unknown result.
    private fun loadMissingRevisions(nowMillis: Long) {
        val withoutRevision = pendingOutcomes.values.filter { it.command.key !in knownRows }.take(settings.maxGroupRows)
        if (withoutRevision.isEmpty()) return
        val rows = table.read(withoutRevision.map { it.command.key }, settings.storeTimeoutMillis)
        if (rows !is Verdict.Ran) return withoutRevision.forEach { retryOutcomeLater(nowMillis, it) }
        rows.value.zip(withoutRevision).forEach { (row, open) ->
            val existing = row.value?.let(IntentRowCodec::decode)
            if (existing != null && existing.sameAttempt(open.command.intent)) {
                knownRows[row.key] = existing to row.revision
            } else {
                settleOutcome(nowMillis, open, RowWriteResult.Conflicted(row))
            }
        }
    }

    private fun takeIntents(takenKeys: Set<RowKey>): List<PendingIntent> {
        val room = settings.maxGroupRows - takenKeys.size
        val group = pendingIntents
            .asSequence()
            .filter { it.command.key !in takenKeys }
            .distinctBy { it.command.key }
            .take(room)
        return group.toList().also { pendingIntents.removeAll(it.toSet()) }
    }

    private fun settleIntent(nowMillis: Long, open: PendingIntent, result: RowWriteResult) {
        val command = open.command
        when (result) {
            is RowWriteResult.Written -> {
                knownRows[command.key] = command.row to result.revision
                command.onResult(IntentOutcome.Recorded, null)
            }

            is RowWriteResult.Conflicted -> handleExistingRow(nowMillis, command, result.row)

            is RowWriteResult.Refused -> command.onResult(IntentOutcome.NotRecorded(result.failure), null)

            is RowWriteResult.Unknown -> command.onResult(IntentOutcome.Unknown(result.failure), null)
        }
    }

    private fun handleExistingRow(nowMillis: Long, command: LedgerCommand.Intent, row: Row) {
        val existing = row.value?.let(IntentRowCodec::decode)
        val mayWait = existing != null && existing.hash == command.row.hash && existing.state == IntentState.STARTED
        if (mayWait && repeats.add(nowMillis, command)) return
        repeats.remove(command)
        when {
            existing == null -> accept(nowMillis, command)

            existing.hash != command.row.hash -> command.onResult(IntentOutcome.PayloadDiffers, null)

            existing.answer != null ->
                command.onResult(IntentOutcome.AlreadyAnswered, IntentRowCodec.decodeAnswer(existing.answer))

            else -> command.onResult(IntentOutcome.AlreadyStarted, null)
        }
    }

    private fun settleRepeat(nowMillis: Long, checked: CheckedRepeat) {
        val row = checked.row
        if (row == null) {
            checked.command.onResult(IntentOutcome.AlreadyStarted, null)
        } else {
            handleExistingRow(nowMillis, checked.command, row)
        }
    }

    private fun settleOutcome(nowMillis: Long, open: PendingOutcome, result: RowWriteResult) {
        when (result) {
            is RowWriteResult.Written, is RowWriteResult.Conflicted -> finishOutcome(open)
            is RowWriteResult.Refused, is RowWriteResult.Unknown -> retryOutcomeLater(nowMillis, open)
        }
    }

    private fun retryOutcomeLater(nowMillis: Long, open: PendingOutcome) {
        nextOutcomeAttemptMillis = nowMillis + settings.outcomeRetryMillis
        if (nowMillis - open.acceptedAtMillis > settings.outcomeKeepMillis) {
            finishOutcome(open)
            onOutcomeDropped()
        } else {
            notifyFirstAttempt(open)
        }
    }

    private fun finishOutcome(open: PendingOutcome) {
        pendingOutcomes.remove(open.command.key)
        if (!rowBelongsToOtherAttempt(open)) knownRows.remove(open.command.key)
        notifyFirstAttempt(open)
    }

    private fun notifyFirstAttempt(open: PendingOutcome) {
        if (!open.attempted) open.command.onFirstAttempt()
        open.attempted = true
    }

    private companion object {
        const val MAX_GROUP_BYTES = 1_048_576
    }
}
