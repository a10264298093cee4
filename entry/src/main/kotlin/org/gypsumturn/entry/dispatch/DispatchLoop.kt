// The dispatch thread and its bounded queue. A request that does not fit is refused as not run. The queue is large
// enough for all further inputs of the accepted requests.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.EntryMetrics
import org.gypsumturn.peer.NodeActivity
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.runtime.duty.EventLoopThread
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Runs a [DispatcherDriver] on its own thread. Thread-safe.
 *
 * @param maxOpenRequests largest number of requests that may be open at once
 * @param maxHeldBytes largest total size of the bodies of the open requests, in bytes
 */
internal class DispatchLoop(
    settings: DispatchSettings,
    ports: (post: (DispatchInput) -> Unit) -> DispatchPorts,
    private val metrics: EntryMetrics,
    seed: Long,
    private val maxOpenRequests: Int,
    private val maxHeldBytes: Long,
) : AutoCloseable {
    private val openCount = AtomicInteger()
    private val heldBytes = AtomicLong()
    private val driver = DispatcherDriver(settings, ports(::post), seed, ::release)
    private val eventLoop =
        EventLoopThread<DispatchInput>(
            "dispatch",
            maxOpenRequests * MAX_INPUTS_PER_REQUEST + NOTICE_CAPACITY,
            TICK_INTERVAL_MILLIS,
            driver::handle,
            driver::tick,
        )

    /** Number of requests that are unanswered or have an open exchange or table write. */
    val open: Int get() = openCount.get()

    /** Open requests and exchanges, with the view version that they follow. */
    val activity: NodeActivity get() = driver.activity

    /** Number of inputs in the queue. */
    val pendingInputs: Int get() = eventLoop.pendingEvents

    fun start() = eventLoop.start()

    /** Queues [call]. Returns false, and does not queue it, if too many requests or bytes are open. */
    fun offer(call: ServiceCall): Boolean {
        val fits = heldBytes.addAndGet(call.request.body.size.toLong()) <= maxHeldBytes
        val accepted =
            (openCount.incrementAndGet() <= maxOpenRequests) && fits && eventLoop.offer(DispatchInput.Arrived(call))
        if (!accepted) {
            release(call)
            metrics.ringDrops.labelValues("dispatch").inc()
        }
        return accepted
    }

    /** Queues a notice that the sender repeats. It is dropped and counted if too many inputs wait. */
    fun offerNotice(input: DispatchInput) {
        val queued = eventLoop.pendingEvents < NOTICE_CAPACITY && eventLoop.offer(input)
        if (!queued) metrics.ringDrops.labelValues("dispatch-notices").inc()
    }

    /** Queues an input that follows from an accepted request. Spins while the queue is full. */
    fun post(input: DispatchInput) {
        while (!eventLoop.offer(input)) Thread.onSpinWait()
    }

    override fun close() = eventLoop.close()

    private fun release(call: ServiceCall) {
        openCount.decrementAndGet()
        heldBytes.addAndGet(-call.request.body.size.toLong())
    }

    private companion object {
        // Inputs of one request: its arrival, the caller leaving, and the end of an exchange, an intent and an outcome.
        const val MAX_INPUTS_PER_REQUEST = 5
        const val NOTICE_CAPACITY = 4_096
        const val TICK_INTERVAL_MILLIS = 10L
    }
}
