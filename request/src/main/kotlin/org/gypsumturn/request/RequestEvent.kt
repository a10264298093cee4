// The input and output types of the request dispatcher. The entry turns arrivals, answers and the passing of time into
// events, passes them to the dispatcher and carries out the effects that it returns.

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

/** Identifies a request within one entry. */
@JvmInline
public value class RequestId(public val value: Long)

/** Identifies one exchange with a target within one entry. A request can need several exchanges. */
@JvmInline
public value class ExchangeId(public val value: Long)

/**
 * A request as it arrived.
 *
 * @property key the caller's idempotency key; a request with a key runs at most once in the whole fleet
 * @property idempotent whether the system may run the request more than once
 * @property deadlineMillis when the caller stops waiting, on the same clock as `nowMillis` of the events
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

/** The result of an attempt to write the intent row of a request into the table of the platform. */
public sealed interface IntentOutcome {
    /** The intent is recorded; only this entry may dispatch the request. */
    public data object Recorded : IntentOutcome

    /** The request has run before. The entry holds the recorded answer and replies with it. */
    public data object AlreadyAnswered : IntentOutcome

    /** Another attempt recorded an intent with this key, and its outcome is not known. */
    public data object AlreadyStarted : IntentOutcome

    /** The key has been used with a different payload. */
    public data object PayloadDiffers : IntentOutcome

    /** The intent was certainly not recorded. */
    public data class NotRecorded(public val failure: Failure) : IntentOutcome

    /** The intent may have been recorded. The request was not dispatched. */
    public data class Unknown(public val failure: Failure) : IntentOutcome
}

/** The result of an exchange with a target. */
public sealed interface ExchangeResult {
    /**
     * A complete answer arrived. [overloaded] means that the target refused for lack of capacity and did not run the
     * request.
     */
    public data class Answered(public val status: Int, public val overloaded: Boolean) : ExchangeResult

    /** Nothing was sent, for example because no connection could be opened. */
    public data class NotSent(public val failure: Failure) : ExchangeResult

    /**
     * Something was sent, but no complete and valid answer arrived in time. [silent] means that the target sent nothing
     * at all before the time-out, as opposed to a reset or broken answer.
     */
    public data class Unanswered(public val failure: Failure, public val silent: Boolean) : ExchangeResult
}

/**
 * The demand and slot use of one entry, sent to the other entries.
 *
 * @property sequence increases with each report of [node]; receivers ignore older reports
 */
public data class SlotReport(
    public val node: NodeId,
    public val sequence: Long,
    public val queuedByPool: Map<PoolId, QueuedCount>,
    public val useByInstance: Map<InstanceId, SlotUse>,
)

/** Number of requests that are queued at one entry for a pool. */
public data class QueuedCount(public val total: Int, public val urgent: Int)

/** Number of slots of an executor that one entry may use, and that it uses now. */
public data class SlotUse(public val granted: Int, public val inUse: Int)

/** Input of the dispatcher. */
public sealed interface RequestEvent {
    /** A request arrived. */
    public data class Arrived(public val request: ArrivedRequest) : RequestEvent

    /** The caller of a request closed its connection. */
    public data class CallerLeft(public val request: RequestId) : RequestEvent

    /** The attempt to record the intent of a request has finished. */
    public data class IntentEnded(public val request: RequestId, public val outcome: IntentOutcome) : RequestEvent

    /** An exchange has finished. */
    public data class ExchangeEnded(public val exchange: ExchangeId, public val result: ExchangeResult) : RequestEvent

    /** A newer fleet view applies. */
    public data class ViewChanged(public val view: FleetView) : RequestEvent

    /** The platform announced that an instance is leaving, or the instance was seen refusing new work. */
    public data class TargetLeaving(public val instance: InstanceId) : RequestEvent

    /**
     * Whether this entry may take new work, which requires a valid view lease and no shutdown in progress.
     *
     * @property finishesQueued whether an entry that is not ready still runs the requests that it has accepted, as in a
     *   graceful shutdown. Otherwise the queued requests are answered as not run.
     */
    public data class ReadinessChanged(
        public val ready: Boolean,
        public val reason: String,
        public val finishesQueued: Boolean = false,
    ) : RequestEvent

    /** Another entry sent its slot report. */
    public data class PeerReported(public val report: SlotReport) : RequestEvent

    /** Time has passed. The entry sends this at least every 50 ms. */
    public data object Tick : RequestEvent
}

/** Output of the dispatcher: an action that the entry has to carry out. */
public sealed interface RequestEffect {
    /** Record the intent of a keyed request, then pass [RequestEvent.IntentEnded] to the dispatcher. */
    public data class RecordIntent(public val request: RequestId) : RequestEffect

    /**
     * Send the request to [target] and pass [RequestEvent.ExchangeEnded] to the dispatcher before [timeoutMillis] have
     * passed.
     */
    public data class Send(
        public val exchange: ExchangeId,
        public val request: RequestId,
        public val target: InstanceId,
        public val timeoutMillis: Long,
    ) : RequestEffect

    /**
     * Reply to the caller. [Verdict.Ran] holds the exchange whose answer is to be forwarded, or null if the recorded
     * answer is.
     */
    public data class Reply(public val request: RequestId, public val verdict: Verdict<ExchangeId?>) : RequestEffect

    /** Record the outcome of a keyed request: the answer of its exchange, or that it was certainly not run. */
    public data class RecordOutcome(public val request: RequestId, public val verdict: Verdict<ExchangeId?>) :
        RequestEffect

    /** Send [report] to all other entries. */
    public data class SendSlotReport(public val report: SlotReport) : RequestEffect
}
