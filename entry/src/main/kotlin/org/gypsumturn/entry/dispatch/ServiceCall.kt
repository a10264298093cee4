// The state of a request to a service from its arrival at this entry until its reply and its outcome are done.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.CallTrace
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.ServiceRequest
import org.gypsumturn.entry.ledger.IntentRow
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Service
import org.gypsumturn.request.ArrivedRequest
import org.gypsumturn.request.ExchangeId
import org.gypsumturn.request.RequestId

/**
 * A request at this entry. The mutable properties are accessed only by the dispatch thread.
 *
 * @property arrivedMillis time of arrival on the monotonic clock
 * @property deadlineMillis time at which the caller stops waiting, on the monotonic clock
 * @property reply sends the answer to the caller's connection; called at most once
 */
internal class ServiceCall(
    val id: RequestId,
    val request: ServiceRequest,
    val service: Service,
    val arrivedMillis: Long,
    val deadlineMillis: Long,
    val trace: CallTrace,
    val reply: (HttpAnswer) -> Unit,
) {
    /** Complete answers of targets, kept until the dispatcher has handled the end of the exchange. */
    val answers = HashMap<ExchangeId, HttpAnswer>()

    /** Targets of the open exchanges. */
    val exchangeInstances = HashMap<ExchangeId, InstanceId>()

    /** Target of the last exchange. */
    var lastTarget: InstanceId? = null

    /** Number of exchanges started so far. */
    var attempts = 0

    /** Whether the attempt to record the intent has not ended yet. */
    var intentPending = false

    /** Whether the first attempt to record the outcome has not ended yet. */
    var outcomePending = false

    /** The intent row that was passed to the ledger. */
    var intent: IntentRow? = null

    /** The recorded answer of an earlier run of this request. */
    var recordedAnswer: HttpAnswer? = null

    /** Sends the reply that is held back until the first attempt to remove the intent row has ended. */
    var heldReply: (() -> Unit)? = null

    /** Whether the reply was sent or the caller has left. */
    var closed = false

    /** Whether the request is closed and no exchange or table write of it is open. */
    val finished: Boolean get() = closed && exchangeInstances.isEmpty() && !intentPending && !outcomePending

    /** The request in the form that the dispatcher takes. */
    fun toArrivedRequest(): ArrivedRequest = ArrivedRequest(
        id,
        service.id,
        request.team,
        service.priority,
        request.key,
        request.safe || service.idempotent,
        deadlineMillis,
        request.body.size,
    )
}
