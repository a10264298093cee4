// Builds the rows that a keyed request writes to the table: its intent before dispatch, and its outcome afterwards.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.ledger.IntentRow
import org.gypsumturn.entry.ledger.IntentRowCodec
import org.gypsumturn.entry.ledger.IntentState
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.RowKey

/** Builds the rows of keyed requests. */
internal object KeyedRequestRows {
    /** Key of the row of [call], which must have an idempotency key. */
    fun keyOf(call: ServiceCall): RowKey = IntentRowCodec.keyOf(call.service.id, requireNotNull(call.request.key))

    /** The row that states that the entry [self] is about to run [call]. */
    fun intentRow(call: ServiceCall, self: NodeId, epochMillis: Long): IntentRow =
        IntentRow(IntentRowCodec.hash(call.request), self, call.id.value, IntentState.STARTED, epochMillis)

    /** The row that replaces [intent] after [verdict], or null if the row is to be removed so that the key is free. */
    fun outcomeRow(
        intent: IntentRow,
        verdict: Verdict<*>,
        answer: HttpAnswer?,
        epochMillis: Long,
        maxRecordedBytes: Int,
    ): IntentRow? = when (verdict) {
        is Verdict.NotRun -> null

        is Verdict.MayHaveRun -> intent.copy(state = IntentState.MAY_HAVE_RUN, atMillis = epochMillis)

        is Verdict.Ran -> {
            val recorded = answer?.let { IntentRowCodec.encodeAnswer(it, maxRecordedBytes) }
            intent.copy(state = IntentState.ANSWERED, atMillis = epochMillis, answer = recorded)
        }
    }
}
