// One request as the caller sees it, with what really happened to it.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.Priority
import org.gypsumturn.model.Verdict
import org.gypsumturn.request.ExchangeId

/** A caller's request. Its number serves as its unique payload. */
internal class Call(
    val number: Long,
    val service: Int,
    val priority: Priority,
    val key: IdempotencyKey?,
    val idempotent: Boolean,
    val arrivedMicros: Long,
    val deadlineMicros: Long,
    val serviceMicros: Long,
) {
    /** How often an executor ran it. */
    var runs: Int = 0
    var startedMicros: Long = -1
    var replies: Int = 0
    var repliedMicros: Long = -1
    var verdict: Verdict<ExchangeId?>? = null
    var callerLeft: Boolean = false

    /** Whether the entry that held it died. */
    var entryDied: Boolean = false

    private var sent = false

    /** Whether it is sent for the first time; true once. */
    fun firstSend(): Boolean = !sent.also { sent = true }

    /** Whether it still waits for its first start. */
    var waiting: Boolean = true

    val notRun: Boolean get() = verdict is Verdict.NotRun

    val mayHaveRun: Boolean get() = verdict is Verdict.MayHaveRun
}
