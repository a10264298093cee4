// What the request dispatcher is told, and what it asks for in return. The dispatcher itself does no input or output:
// the entry turns arrivals, answers and the passing of time into events and carries the effects out.

package org.gypsumturn.request

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.Verdict

/** Number of a request at one entry. */
@JvmInline
public value class RequestId(public val value: Long)

/** Number of one exchange with a target at one entry. A request may need several exchanges. */
@JvmInline
public value class ExchangeId(public val value: Long)

/**
 * A request as it arrived.
 *
 * @property key the caller's idempotency key; a request with one runs at most once in the fleet
 * @property idempotent whether the request may be repeated by the system
 * @property deadlineMillis time (same clock as `nowMillis` of the events) at which the caller stops waiting
 */
public data class ArrivedRequest(
    public val id: RequestId,
    public val service: ServiceId,
    public val team: TeamId?,
    public val priority: Priority,
    public val key: IdempotencyKey?,
    public val idempotent: Boolean,
    public val deadlineMillis: Long,
    public val sizeBytes: Int,
)

/** How the attempt to record a request's intent in the platform's table ended. */
public sealed interface IntentOutcome {
    /** The intent is recorded; this entry alone may dispatch the request. */
    public data object Recorded : IntentOutcome

    /** The request ran before; the entry holds the recorded answer and replies with it. */
    public data object AlreadyAnswered : IntentOutcome

    /** An intent with this key was recorded by someone else, and no outcome is known. */
    public data object AlreadyStarted : IntentOutcome

    /** The key was used before with another payload. */
    public data object PayloadDiffers : IntentOutcome

    /** The intent was certainly not recorded. */
    public data class NotRecorded(public val failure: Failure) : IntentOutcome

    /** The intent may have been recorded; the request was not dispatched. */
    public data class Unknown(public val failure: Failure) : IntentOutcome
}

/** How an exchange with a target ended. */
public sealed interface ExchangeResult {
    /** A complete answer arrived. [overloaded] tells that the target refused for lack of capacity, without running. */
    public data class Answered(public val status: Int, public val overloaded: Boolean) : ExchangeResult

    /** Nothing was sent: the connection could not be had. */
    public data class NotSent(public val failure: Failure) : ExchangeResult

    /** Something was sent and no complete answer arrived in time, or it was broken. */
    public data class Unanswered(public val failure: Failure, public val silent: Boolean) : ExchangeResult
}

/** Demand and slot use of one entry, as told to its peers. */
public data class SlotReport(
    public val node: NodeId,
    public val sequence: Long,
    public val queuedByPool: Map<PoolId, QueuedCount>,
    public val useByInstance: Map<InstanceId, SlotUse>,
)

/** Requests that wait at one entry for a pool. */
public data class QueuedCount(public val total: Int, public val urgent: Int)

/** Slots of an executor that one entry may use, and uses. */
public data class SlotUse(public val granted: Int, public val inUse: Int)

/** What the dispatcher is told. */
public sealed interface RequestEvent {
    /** A request arrived. */
    public data class Arrived(public val request: ArrivedRequest) : RequestEvent

    /** The caller of a request closed its connection. */
    public data class CallerLeft(public val request: RequestId) : RequestEvent

    /** The attempt to record an intent ended. */
    public data class IntentEnded(public val request: RequestId, public val outcome: IntentOutcome) : RequestEvent

    /** An exchange ended. */
    public data class ExchangeEnded(public val exchange: ExchangeId, public val result: ExchangeResult) : RequestEvent

    /** A newer view is in force. */
    public data class ViewChanged(public val view: FleetView) : RequestEvent

    /** The platform says that an instance is leaving, or it was seen to refuse new work. */
    public data class TargetLeaving(public val instance: InstanceId) : RequestEvent

    /**
     * Whether this entry may take new work: its view's lease holds and it is not shutting down.
     *
     * @property finishesQueued whether an entry that is no longer ready still runs what it accepted, as it does in a
     *   graceful shutdown; otherwise what waits is told that it was not run
     */
    public data class ReadinessChanged(
        public val ready: Boolean,
        public val reason: String,
        public val finishesQueued: Boolean = false,
    ) : RequestEvent

    /** A peer told its demand and use. */
    public data class PeerReported(public val report: SlotReport) : RequestEvent

    /** Time passed; sent at least every 50 ms. */
    public data object Tick : RequestEvent
}

/** What the dispatcher asks the entry to do. */
public sealed interface RequestEffect {
    /** Record the intent of a keyed request, then send [RequestEvent.IntentEnded]. */
    public data class RecordIntent(public val request: RequestId) : RequestEffect

    /** Send the request to [target] and report the end before [timeoutMillis] have passed. */
    public data class Send(
        public val exchange: ExchangeId,
        public val request: RequestId,
        public val target: InstanceId,
        public val timeoutMillis: Long,
    ) : RequestEffect

    /** Reply to the caller. [Verdict.Ran] names the exchange whose answer is to be passed on, or none if recorded. */
    public data class Reply(public val request: RequestId, public val verdict: Verdict<ExchangeId?>) : RequestEffect

    /** Record that a keyed request ended, with the answer of its exchange, or that it was certainly not run. */
    public data class RecordOutcome(public val request: RequestId, public val verdict: Verdict<ExchangeId?>) :
        RequestEffect

    /** Tell all peers this entry's demand and use. */
    public data class TellPeers(public val report: SlotReport) : RequestEffect
}
