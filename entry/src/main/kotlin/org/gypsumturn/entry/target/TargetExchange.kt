// One request to a target, and how it ended.

package org.gypsumturn.entry.target

import org.gypsumturn.entry.http.Header
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.model.Address
import org.gypsumturn.model.InstanceId
import org.gypsumturn.request.ExchangeResult

/** Where a request goes, and how many connections this entry may hold there. */
internal data class TargetPlace(val instance: InstanceId, val address: Address, val maxConnections: Int)

/** What is sent. */
internal class TargetRequest(val method: String, val uri: String, val headers: List<Header>, val body: ByteArray)

/** How an exchange ended; [answer] is the whole answer where the result is [ExchangeResult.Answered]. */
internal class ExchangeEnd(val result: ExchangeResult, val answer: HttpAnswer? = null)

/**
 * A request to a target.
 *
 * @property deadlineMillis time (monotonic) at which the exchange is given up and its connection closed
 * @property onEnd is called exactly once, on an event loop
 */
internal class TargetExchange(
    val place: TargetPlace,
    val request: TargetRequest,
    val deadlineMillis: Long,
    val maxAnswerBytes: Int,
    val onEnd: (ExchangeEnd) -> Unit,
)
