// The rows that a keyed request writes: its intent, and what becomes of it.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.ledger.IntentRow
import org.gypsumturn.entry.ledger.IntentRows
import org.gypsumturn.entry.ledger.IntentState
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.RowKey

/** Rows of keyed requests. */
internal object KeyedRows {
    /** Key of the row of [call], which has an idempotency key. */
    fun keyOf(call: ServiceCall): RowKey = IntentRows.keyOf(call.service.id, requireNotNull(call.request.key))

    /** The intent of [call] at the entry [self]. */
    fun intent(call: ServiceCall, self: NodeId, epochMillis: Long): IntentRow =
        IntentRow(IntentRows.hash(call.request), self, call.id.value, IntentState.STARTED, epochMillis)

    /** What replaces [intent] after [verdict]; null if the key is free again. */
    fun outcome(
        intent: IntentRow,
        verdict: Verdict<*>,
        answer: HttpAnswer?,
        epochMillis: Long,
        maxRecordedBytes: Int,
    ): IntentRow? = when (verdict) {
        is Verdict.NotRun -> null

        is Verdict.MayHaveRun -> intent.copy(state = IntentState.MAY_HAVE_RUN, atMillis = epochMillis)

        is Verdict.Ran -> {
            val recorded = answer?.let { IntentRows.record(it, maxRecordedBytes) }
            intent.copy(state = IntentState.ANSWERED, atMillis = epochMillis, answer = recorded)
        }
    }
}
