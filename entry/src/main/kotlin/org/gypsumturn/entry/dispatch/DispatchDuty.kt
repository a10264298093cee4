// The thread that owns the dispatcher, and the bounded way to it. A request that finds no room is refused as not run;
// what follows from an accepted request always finds room.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.EntryMetrics
import org.gypsumturn.peer.NodeActivity
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.runtime.duty.EventLoopThread
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Runs a [Dispatch] on a thread of its own.
 *
 * @param maxOpen requests of which something may be open at once
 * @param maxHeldBytes bytes that the bodies of these requests may have together
 */
internal class DispatchDuty(
    settings: DispatchSettings,
    ports: (post: (DispatchInput) -> Unit) -> DispatchPorts,
    private val metrics: EntryMetrics,
    seed: Long,
    private val maxOpen: Int,
    private val maxHeldBytes: Long,
) : AutoCloseable {
    private val opened = AtomicInteger()
    private val heldBytes = AtomicLong()
    private val dispatch = Dispatch(settings, ports(::post), seed, ::release)
    private val duty =
        EventLoopThread<DispatchInput>(
            "dispatch",
            maxOpen * MAX_INPUTS_PER_REQUEST + ROOM_FOR_NOTICES,
            IDLE_MILLIS,
            dispatch::handle,
            dispatch::advance,
        )

    /** Requests of which something is open. */
    val open: Int get() = opened.get()

    /** What is under way. */
    val activity: NodeActivity get() = dispatch.activity

    /** Inputs that wait. */
    val pending: Int get() = duty.pendingEvents

    /** Starts the thread. */
    fun start() = duty.start()

    /** Takes the request [call]; false if there is no room. */
    fun offer(call: ServiceCall): Boolean {
        val fits = heldBytes.addAndGet(call.request.body.size.toLong()) <= maxHeldBytes
        val taken = (opened.incrementAndGet() <= maxOpen) && fits && duty.offer(DispatchInput.Arrived(call))
        if (!taken) {
            release(call)
            metrics.ringDrops.labelValues("dispatch").inc()
        }
        return taken
    }

    /** Takes a notice that will be repeated and may be dropped. */
    fun notice(input: DispatchInput) {
        val room = duty.pendingEvents < ROOM_FOR_NOTICES && duty.offer(input)
        if (!room) metrics.ringDrops.labelValues("dispatch-notices").inc()
    }

    /** Takes what follows from an accepted request. The ring has room for it by its size. */
    fun post(input: DispatchInput) {
        while (!duty.offer(input)) Thread.onSpinWait()
    }

    override fun close() = duty.close()

    private fun release(call: ServiceCall) {
        opened.decrementAndGet()
        heldBytes.addAndGet(-call.request.body.size.toLong())
    }

    private companion object {
        // Arrival, caller left, and the end of an exchange, of an intent or of an outcome.
        const val MAX_INPUTS_PER_REQUEST = 5
        const val ROOM_FOR_NOTICES = 4_096
        const val IDLE_MILLIS = 10L
    }
}
