// The state that the dispatcher keeps for a request between its arrival and its end.

package org.gypsumturn.request

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

/** Processing phase of a request: its intent is being recorded, it is queued, or an exchange for it is running. */
internal enum class Phase { RECORDING, QUEUED, SENT }

/** A request that has not ended. It is kept until it has been replied to and its last exchange has finished. */
internal class PendingRequest(val request: ArrivedRequest, val pool: PoolId, val arrivedMillis: Long) {
    var phase: Phase = Phase.QUEUED

    /** Whether the caller still has to get a reply. */
    var replyPending: Boolean = true

    /** Whether the table may contain an intent row for this request. */
    var intentRecorded: Boolean = false

    /** Whether an earlier exchange may have run the request. */
    var mayHaveRun: Boolean = false

    /** Position in the order of arrival within its queue. */
    var queueNumber: Long = 0

    /** Number of exchanges so far, without those that an overloaded target refused. */
    var attempts: Int = 0

    /** Whether the first attempt of this request has been credited to the retry budget. */
    var budgetCredited: Boolean = false

    /** Target that a retry uses if possible, over a new connection. */
    var preferred: InstanceId? = null

    /** Target that a retry uses only if there is no other. */
    var avoided: InstanceId? = null

    /** Whether the system may send the request again after an exchange without an answer. */
    val repeatable: Boolean get() = request.idempotent && request.key == null

    /** Whether the caller still waits and the deadline has not passed. */
    fun isWanted(nowMillis: Long): Boolean = replyPending && request.deadlineMillis > nowMillis

    /**
     * Whether another exchange is allowed: attempts are left, and a request that must run at most once cannot run
     * twice.
     */
    fun mayBeSentAgain(maxAttempts: Int): Boolean = attempts < maxAttempts && (!mayHaveRun || repeatable)
}

/**
 * One exchange in progress.
 *
 * @property borrowed whether the exchange uses a slot beyond the grant of this entry
 */
internal class Exchange(
    val id: ExchangeId,
    val pending: PendingRequest,
    val target: Target,
    val sentMillis: Long,
    val borrowed: Boolean,
)
