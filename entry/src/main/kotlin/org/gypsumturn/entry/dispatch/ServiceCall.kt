// A request to a service while it is at this entry, with everything that its reply and its outcome need.

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
 * A request at this entry. The variable parts belong to the dispatch thread.
 *
 * @property arrivedMillis time of arrival (monotonic)
 * @property deadlineMillis time (monotonic) at which the caller stops waiting
 * @property reply passes the answer to the caller's connection; called at most once
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
    /** Whole answers of exchanges that have ended. */
    val answers = HashMap<ExchangeId, HttpAnswer>()

    /** Targets of the exchanges that have not ended. */
    val exchangeInstances = HashMap<ExchangeId, InstanceId>()

    /** Target of the last exchange. */
    var lastTarget: InstanceId? = null

    /** Exchanges so far. */
    var attempts = 0

    /** Whether the ledger works on the intent. */
    var intentOpen = false

    /** Whether the ledger works on the outcome. */
    var outcomeOpen = false

    /** The intent as it was handed to the ledger. */
    var intent: IntentRow? = null

    /** The answer that was recorded when the request ran before. */
    var recorded: HttpAnswer? = null

    /** A reply that waits until the intent has been released. */
    var heldReply: (() -> Unit)? = null

    /** Whether the caller has its reply, or has left. */
    var closed = false

    /** Whether nothing more will happen to this request. */
    val finished: Boolean get() = closed && exchangeInstances.isEmpty() && !intentOpen && !outcomeOpen

    /** What the dispatcher is told of the request. */
    fun arrived(): ArrivedRequest = ArrivedRequest(
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
