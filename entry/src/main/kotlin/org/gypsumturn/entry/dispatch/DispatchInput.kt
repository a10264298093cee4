// What other threads hand to the dispatch thread.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.target.ExchangeEnd
import org.gypsumturn.model.InstanceId
import org.gypsumturn.request.ExchangeId
import org.gypsumturn.request.IntentOutcome
import org.gypsumturn.request.RequestId
import org.gypsumturn.request.SlotReport

/** An event for the dispatch thread. */
internal sealed interface DispatchInput {
    class Arrived(val call: ServiceCall) : DispatchInput

    class CallerLeft(val id: RequestId) : DispatchInput

    class IntentEnded(val id: RequestId, val outcome: IntentOutcome, val recorded: HttpAnswer?) : DispatchInput

    class OutcomeAttempted(val id: RequestId) : DispatchInput

    class ExchangeEnded(val request: RequestId, val exchange: ExchangeId, val end: ExchangeEnd) : DispatchInput

    class PeerReported(val report: SlotReport) : DispatchInput

    class TargetLeaving(val instance: InstanceId) : DispatchInput
}
