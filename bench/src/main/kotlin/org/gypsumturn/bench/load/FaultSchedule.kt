// Parses a schedule of faults, as in `2000:plans-1:silent,4000:store:down,6000:store:none`, and sets them at the
// stand-in while the load runs.

package org.gypsumturn.bench.load

import io.grpc.Channel
import io.grpc.StatusRuntimeException
import org.gypsumturn.schema.platform.FaultsGrpc
import org.gypsumturn.schema.platform.InstanceFaultRequest
import org.gypsumturn.schema.platform.StoreFaultRequest
import java.util.concurrent.TimeUnit

/** Sets [fault] at [target], an instance or `store`, [atMillis] after the load has started. */
public data class ScheduledFault(public val atMillis: Long, public val target: String, public val fault: String)

private const val STORE_TARGET = "store"
private const val SLOW_STORE_MILLIS = 500L
private const val LOST_ANSWER_SHARE = 0.2
private const val CALL_TIMEOUT_SECONDS = 5L
private const val PART_COUNT = 3

/** Requests to the stand-in by the name of the store fault. */
private val STORE_FAULTS = mapOf(
    "none" to StoreFaultRequest.getDefaultInstance(),
    "down" to StoreFaultRequest.newBuilder().setDown(true).build(),
    "slow" to StoreFaultRequest.newBuilder().setDelayMillis(SLOW_STORE_MILLIS).build(),
    "lose-answers" to StoreFaultRequest.newBuilder().setLoseAnswerShare(LOST_ANSWER_SHARE).build(),
)

/** Parses [text] into faults, sorted by time; returns null if an item is malformed or names an unknown store fault. */
internal fun parseFaults(text: String): List<ScheduledFault>? {
    val items = text.split(',').filter { it.isNotBlank() }
    val faults = items.mapNotNull { parseFault(it.trim().split(':')) }
    return faults.sortedBy { it.atMillis }.takeIf { it.size == items.size }
}

private fun parseFault(parts: List<String>): ScheduledFault? {
    if (parts.size != PART_COUNT) return null
    val atMillis = parts[0].toLongOrNull()?.takeIf { it >= 0 } ?: return null
    val known = parts[1] != STORE_TARGET || parts[2] in STORE_FAULTS
    return ScheduledFault(atMillis, parts[1], parts[2]).takeIf { known }
}

/**
 * Sets [faults], which must be sorted by time, each at its time. Blocks until the last is set. Returns a remark for
 * each.
 */
internal fun injectFaults(faults: List<ScheduledFault>, standin: Channel): List<String> {
    val startNanos = System.nanoTime()
    return faults.map { fault ->
        val remainingNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(fault.atMillis) - System.nanoTime()
        TimeUnit.NANOSECONDS.sleep(remainingNanos.coerceAtLeast(0))
        val description = "fault ${fault.fault} at ${fault.target} after ${fault.atMillis} ms"
        try {
            set(fault, FaultsGrpc.newBlockingStub(standin).withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS))
            description
        } catch (e: StatusRuntimeException) {
            "$description was refused: ${e.status.description}"
        }
    }
}

private fun set(fault: ScheduledFault, stub: FaultsGrpc.FaultsBlockingStub) {
    if (fault.target == STORE_TARGET) {
        stub.setStoreFault(STORE_FAULTS.getValue(fault.fault))
    } else {
        stub.setInstanceFault(
            InstanceFaultRequest.newBuilder().setInstance(fault.target).setFault(fault.fault).build(),
        )
    }
}
