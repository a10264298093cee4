// What the dispatcher remembers of a request between its arrival and its end.

package org.gypsumturn.request

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

/** Where a request stands. */
internal enum class Phase { RECORDING, QUEUED, SENT }

/** One request from its arrival until both its reply and its last exchange are done. */
internal class PendingRequest(val request: ArrivedRequest, val pool: PoolId, val arrivedMillis: Long) {
    var phase: Phase = Phase.QUEUED

    /** Whether the caller is still owed a reply. */
    var awaited: Boolean = true

    /** Whether an intent row of this request may stand in the table. */
    var intentRecorded: Boolean = false

    /** Whether an earlier exchange may have run the request. */
    var mayHaveRun: Boolean = false

    /** Place in the order of arrival within its queue. */
    var queueNumber: Long = 0

    /** Exchanges so far, without those that a busy target refused. */
    var attempts: Int = 0

    /** Whether the request has earned its part of the retry budget. */
    var counted: Boolean = false

    /** Target to which a retry goes if it can, over a new connection. */
    var preferred: InstanceId? = null

    /** Target to which a retry goes only if there is no other. */
    var avoided: InstanceId? = null

    /** Whether the system may run the request again after an exchange without an answer. */
    val repeatable: Boolean get() = request.idempotent && request.key == null

    /** Whether a reply would still be in time for someone. */
    fun isWanted(nowMillis: Long): Boolean = awaited && request.deadlineMillis > nowMillis

    /** Whether another exchange keeps the promise of at most one run. */
    fun mayBeSentAgain(maxAttempts: Int): Boolean = attempts < maxAttempts && (!mayHaveRun || repeatable)
}

/**
 * One exchange in progress.
 *
 * @property borrowed whether it uses a slot beyond this entry's grant
 */
internal class Exchange(
    val id: ExchangeId,
    val pending: PendingRequest,
    val target: Target,
    val sentMillis: Long,
    val borrowed: Boolean,
)
