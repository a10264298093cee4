// A simulated request: what the caller asked for, what it was told, and what really happened.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.Priority
import org.gypsumturn.model.Verdict
import org.gypsumturn.request.ExchangeId

/** A caller's request. [number] is unique and stands for the payload. */
internal class Call(
    val number: Long,
    val service: Int,
    val priority: Priority,
    val key: IdempotencyKey?,
    val idempotent: Boolean,
    val arrivedMicros: Long,
    val deadlineMicros: Long,
    val runMicros: Long,
) {
    /** How many times an executor started to run the request. */
    var runs: Int = 0
    var startedMicros: Long = -1
    var replies: Int = 0
    var repliedMicros: Long = -1
    var verdict: Verdict<ExchangeId?>? = null
    var callerLeft: Boolean = false

    /** Whether the entry that held the request crashed before the caller got a reply. */
    var entryCrashed: Boolean = false

    private var wasSent = false

    /** Marks the request as sent to an executor. Returns true on the first call only. */
    fun markSent(): Boolean = !wasSent.also { wasSent = true }

    /** Whether the request still waits for its first start on an executor. */
    var waiting: Boolean = true

    val notRun: Boolean get() = verdict is Verdict.NotRun

    val mayHaveRun: Boolean get() = verdict is Verdict.MayHaveRun
}
