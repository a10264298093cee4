// The inputs that other threads queue for the dispatch thread.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.target.ExchangeOutcome
import org.gypsumturn.model.InstanceId
import org.gypsumturn.request.ExchangeId
import org.gypsumturn.request.IntentOutcome
import org.gypsumturn.request.RequestId
import org.gypsumturn.request.SlotReport

/** An input of the dispatch thread. */
internal sealed interface DispatchInput {
    /** A request arrived. */
    class Arrived(val call: ServiceCall) : DispatchInput

    /** The caller closed its connection before it had an answer. */
    class CallerLeft(val id: RequestId) : DispatchInput

    /** The attempt to record an intent ended. [recordedAnswer] is the answer of an earlier run, if there is one. */
    class IntentEnded(val id: RequestId, val outcome: IntentOutcome, val recordedAnswer: HttpAnswer?) : DispatchInput

    /** The first attempt to record the outcome of a request ended, successfully or not. */
    class OutcomeAttempted(val id: RequestId) : DispatchInput

    /** An exchange with a target ended. */
    class ExchangeEnded(val request: RequestId, val exchange: ExchangeId, val outcome: ExchangeOutcome) : DispatchInput

    /** Another entry sent its slot report. */
    class PeerReported(val report: SlotReport) : DispatchInput

    /** The platform lists an instance as leaving. */
    class TargetLeaving(val instance: InstanceId) : DispatchInput
}
