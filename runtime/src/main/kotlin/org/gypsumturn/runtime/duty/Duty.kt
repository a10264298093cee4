// A duty is one thread with one bounded ring of events. Everything that a duty owns is touched by its thread alone;
// other threads hand events over and never wait for the duty.

package org.gypsumturn.runtime.duty

import org.jctools.queues.MpscBlockingConsumerArrayQueue
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * A thread that handles the events of a bounded ring, in order.
 *
 * @param ringCapacity largest number of events that wait
 * @param idleMillis longest time between two calls of [onIdle], in milliseconds
 * @param handle is called for each event; an exception is logged and does not end the duty
 * @param onIdle is called after each batch of events and whenever [idleMillis] have passed without one
 */
public class Duty<E : Any>(
    private val name: String,
    ringCapacity: Int,
    private val idleMillis: Long,
    private val handle: (E) -> Unit,
    private val onIdle: () -> Unit = {},
) : AutoCloseable {
    private val ring = MpscBlockingConsumerArrayQueue<E>(ringCapacity)
    private val thread = Thread(::run, name).apply { isDaemon = true }

    @Volatile
    private var stopped = false

    /** Starts the thread. */
    public fun start() {
        thread.start()
    }

    /** Hands [event] over; false if the ring is full, and the event was not taken. */
    public fun offer(event: E): Boolean = ring.offer(event)

    /** Number of events that wait. */
    public val pending: Int get() = ring.size

    /** Stops the thread after the event that it handles, and waits at most [CLOSE_WAIT_MILLIS]. */
    override fun close() {
        stopped = true
        thread.interrupt()
        if (Thread.currentThread() !== thread) thread.join(CLOSE_WAIT_MILLIS)
    }

    private fun run() {
        while (!stopped) {
            val first = awaitEvent()
            if (first != null) handleBatch(first)
            if (!stopped) guarded { onIdle() }
        }
    }

    private fun awaitEvent(): E? = try {
        ring.poll(idleMillis, TimeUnit.MILLISECONDS)
    } catch (e: InterruptedException) {
        null
    }

    private fun handleBatch(first: E) {
        var event: E? = first
        var handled = 0
        while (event != null && !stopped) {
            val current = event
            guarded { handle(current) }
            handled++
            event = if (handled < MAX_BATCH) ring.poll() else null
        }
    }

    private fun guarded(action: () -> Unit) {
        try {
            action()
        } catch (e: Exception) {
            if (!stopped) log.error("duty {} failed on an event", name, e)
        }
    }

    private companion object {
        const val CLOSE_WAIT_MILLIS = 5_000L
        const val MAX_BATCH = 256
        val log = LoggerFactory.getLogger(Duty::class.java)
    }
}
