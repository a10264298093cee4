// The commands and settings of the intent ledger.

package org.gypsumturn.entry.ledger

import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.ports.RowKey
import org.gypsumturn.request.IntentOutcome

/**
 * Settings of the intent ledger.
 *
 * @property lingerMillis longest time that a write waits for other writes to share its transaction
 * @property maxGroupRows largest number of rows in one transaction or read
 * @property storeTimeoutMillis longest time that one call of the table may take
 * @property repeatWaitMillis longest time that a repeat waits for the outcome of the first request
 * @property repeatPollMillis interval at which the rows that repeats wait for are read
 * @property outcomeRetryMillis time after a failed attempt to record outcomes before the next attempt
 * @property outcomeKeepMillis time after which an outcome that could not be recorded is given up
 * @property maxWaitingOutcomes largest number of outcomes that wait to be recorded; further ones are given up
 * @property maxRecordedBytes largest body of an answer that is recorded, in bytes
 */
internal data class LedgerSettings(
    val lingerMillis: Long = 5,
    val maxGroupRows: Int = 100,
    val storeTimeoutMillis: Long = 1_000,
    val repeatWaitMillis: Long = 2_000,
    val repeatPollMillis: Long = 200,
    val outcomeRetryMillis: Long = 500,
    val outcomeKeepMillis: Long = 60_000,
    val maxWaitingOutcomes: Int = 10_000,
    val maxRecordedBytes: Int = 65_536,
)

/** A command to the intent ledger. */
internal sealed interface LedgerCommand {
    /**
     * Record the intent [row] under [key], if there is no row yet.
     *
     * @property deadlineMillis time on the monotonic clock after which the intent must not be recorded any more
     * @property onResult called once with the result and, if the request has run before, its recorded answer
     */
    class Intent(
        val key: RowKey,
        val row: IntentRow,
        val deadlineMillis: Long,
        val onResult: (IntentOutcome, HttpAnswer?) -> Unit,
    ) : LedgerCommand

    /**
     * Replace the row of [intent] by [row], or remove it if [row] is null.
     *
     * @property onFirstAttempt called once, after the first attempt to record the outcome or when it is given up before
     */
    class Outcome(val key: RowKey, val intent: IntentRow, val row: IntentRow?, val onFirstAttempt: () -> Unit) :
        LedgerCommand
}
