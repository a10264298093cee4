// The request and the result of one exchange with a target.

package org.gypsumturn.entry.target

import org.gypsumturn.entry.http.Header
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.model.Address
import org.gypsumturn.model.InstanceId
import org.gypsumturn.request.ExchangeResult

/** The target of a request, and the number of connections that this entry may have open to it. */
internal data class TargetEndpoint(val instance: InstanceId, val address: Address, val maxConnections: Int)

/** The HTTP request that is sent to a target. */
internal class TargetRequest(val method: String, val uri: String, val headers: List<Header>, val body: ByteArray)

/** The result of an exchange. [answer] is the complete answer if [result] is [ExchangeResult.Answered], else null. */
internal class ExchangeOutcome(val result: ExchangeResult, val answer: HttpAnswer? = null)

/**
 * A request to a target, with its limits and its callback.
 *
 * @property deadlineMillis time on the monotonic clock at which the exchange fails and its connection is closed
 * @property maxAnswerBytes largest body of the answer, in bytes; a larger answer is an error
 * @property onResult called exactly once, on an event loop
 */
internal class TargetExchange(
    val endpoint: TargetEndpoint,
    val request: TargetRequest,
    val deadlineMillis: Long,
    val maxAnswerBytes: Int,
    val onResult: (ExchangeOutcome) -> Unit,
)
