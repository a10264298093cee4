// What the intent ledger is asked to do.

package org.gypsumturn.entry.ledger

import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.ports.RowKey
import org.gypsumturn.request.IntentOutcome

/**
 * Settings of the ledger.
 *
 * @property lingerMillis longest time that a write waits for others to share its transaction
 * @property maxGroupRows rows of one transaction
 * @property storeTimeoutMillis longest time that one call of the table may take
 * @property repeatWaitMillis longest time that a repeat waits for the outcome of the first request
 * @property repeatPollMillis time between two looks at the rows that repeats wait for
 * @property outcomeRetryMillis time between two attempts to record outcomes while the table fails
 * @property outcomeKeepMillis time after which an outcome that cannot be recorded is given up
 * @property maxWaitingOutcomes outcomes that are held while the table fails
 * @property maxRecordedBytes largest body of an answer that is recorded
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

/** What the ledger's thread is handed. */
internal sealed interface LedgerOrder {
    /**
     * Record the intent [row] under [key].
     *
     * @property deadlineMillis time (monotonic) after which nothing is to be recorded
     * @property onEnd gets the outcome, and the recorded answer where there is one
     */
    class Intent(
        val key: RowKey,
        val row: IntentRow,
        val deadlineMillis: Long,
        val onEnd: (IntentOutcome, HttpAnswer?) -> Unit,
    ) : LedgerOrder

    /**
     * Replace the row of [intent] by [row], or remove it if [row] is null.
     *
     * @property onAttempt is called once, after the first attempt
     */
    class Outcome(val key: RowKey, val intent: IntentRow, val row: IntentRow?, val onAttempt: () -> Unit) : LedgerOrder
}
