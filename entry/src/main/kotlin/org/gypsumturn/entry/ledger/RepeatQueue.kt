// Holds repeats of keyed requests whose first request is still running at some entry. Their rows are read together, at
// intervals, until the outcome is recorded or the wait is over.

package org.gypsumturn.entry.ledger

import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.TableStore

/** A repeat and the row that was read for it. The row is null if the wait of the repeat is over. */
internal class CheckedRepeat(val command: LedgerCommand.Intent, val row: Row?)

/** Repeats that wait for the outcome of the first request. Not thread-safe; [pollRows] blocks on [table]. */
internal class RepeatQueue(private val table: TableStore, private val settings: LedgerSettings) {
    private val waitEndMillis = LinkedHashMap<LedgerCommand.Intent, Long>()
    private var nextPollMillis = 0L

    /** Whether no repeat is waiting. */
    val isEmpty: Boolean get() = waitEndMillis.isEmpty()

    /**
     * Adds [command]. Returns false, and removes it, if its wait is over. A repeat that is already waiting keeps the
     * end of its wait.
     */
    fun add(nowMillis: Long, command: LedgerCommand.Intent): Boolean {
        if (waitEndMillis.isEmpty()) nextPollMillis = nowMillis + settings.repeatPollMillis
        val latestEndMillis = minOf(command.deadlineMillis - REPLY_MARGIN_MILLIS, nowMillis + settings.repeatWaitMillis)
        val endMillis = waitEndMillis.getOrPut(command) { latestEndMillis }
        if (nowMillis < endMillis) return true
        waitEndMillis.remove(command)
        return false
    }

    /**
     * Removes and returns the repeats whose wait is over. If a poll is due, it also reads and returns the rows of the
     * other repeats, which stay in the queue until [remove] is called.
     */
    fun pollRows(nowMillis: Long): List<CheckedRepeat> {
        val expired = waitEndMillis.filterValues { it <= nowMillis }.keys.toList()
        expired.forEach { waitEndMillis.remove(it) }
        val timedOut = expired.map { CheckedRepeat(it, null) }
        if (waitEndMillis.isEmpty() || nowMillis < nextPollMillis) return timedOut
        nextPollMillis = nowMillis + settings.repeatPollMillis
        return timedOut + waitEndMillis.keys.chunked(settings.maxGroupRows).flatMap(::readRows)
    }

    /** Removes [command] after its outcome is known. */
    fun remove(command: LedgerCommand.Intent) {
        waitEndMillis.remove(command)
    }

    private fun readRows(commands: List<LedgerCommand.Intent>): List<CheckedRepeat> {
        val rows = table.read(commands.map { it.key }.distinct(), settings.storeTimeoutMillis)
        if (rows !is Verdict.Ran) return emptyList()
        val byKey = rows.value.associateBy { it.key }
        return commands.map { CheckedRepeat(it, byKey.getValue(it.key)) }
    }

    private companion object {
        // The wait ends this long before the deadline, so that the reply still reaches the caller.
        const val REPLY_MARGIN_MILLIS = 50L
    }
}
