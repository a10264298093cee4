// What the dispatcher remembers of a request between its arrival and its end.

package org.gypsumturn.request

import org.gypsumturn.model.Failure
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

    var attempts: Int = 0
    var lastTarget: InstanceId? = null
    var lastFailure: Failure? = null

    /** Whether the system may run the request again after an exchange without an answer. */
    val repeatable: Boolean get() = request.idempotent && request.key == null
}

/** One exchange in progress. */
internal class Exchange(val id: ExchangeId, val pending: PendingRequest, val target: Target, val sentMillis: Long)
