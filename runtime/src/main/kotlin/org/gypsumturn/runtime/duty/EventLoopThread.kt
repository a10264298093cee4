// An event loop on a thread of its own, fed through a bounded queue. The state behind an event loop is accessed only by
// its thread; other threads add events to the queue and never block on the loop.

package org.gypsumturn.runtime.duty

import org.jctools.queues.MpscBlockingConsumerArrayQueue
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/**
 * A thread that handles the events of a bounded queue in order.
 *
 * @param queueCapacity capacity of the queue, in events
 * @param idleMillis time without an event after which [afterBatch] is called, in milliseconds
 * @param handle called for each event; an exception is logged and does not stop the loop
 * @param afterBatch called after each batch of events, and whenever [idleMillis] have passed without an event; an
 *   exception is logged and does not stop the loop
 */
public class EventLoopThread<E : Any>(
    private val name: String,
    queueCapacity: Int,
    private val idleMillis: Long,
    private val handle: (E) -> Unit,
    private val afterBatch: () -> Unit = {},
) : AutoCloseable {
    private val queue = MpscBlockingConsumerArrayQueue<E>(queueCapacity)
    private val thread = Thread(::run, name).apply { isDaemon = true }

    @Volatile
    private var stopped = false

    /**
     * Called when the thread ends by an [Error], such as a lack of memory. The process can't do its work without the
     * thread, and ends unless this is changed before [start].
     */
    public var onFatalError: (Error) -> Unit = ::haltProcess

    public fun start() {
        thread.start()
    }

    /** Adds [event] to the queue. Returns false if the queue is full and the event was not added. */
    public fun offer(event: E): Boolean = queue.offer(event)

    /** Number of events in the queue. */
    public val pendingEvents: Int get() = queue.size

    /**
     * Interrupts the thread and waits at most [CLOSE_WAIT_MILLIS] until it stops. Events left in the queue are not
     * handled.
     */
    override fun close() {
        stopped = true
        thread.interrupt()
        if (Thread.currentThread() !== thread) thread.join(CLOSE_WAIT_MILLIS)
    }

    private fun run() {
        try {
            while (!stopped) {
                val first = awaitEvent()
                if (first != null) handleBatch(first)
                if (!stopped) runAndLogFailure { afterBatch() }
            }
        } catch (e: Error) {
            reportFatalError(e)
        }
    }

    private fun reportFatalError(error: Error) {
        try {
            log.error("event loop {} ends by an error", name, error)
        } finally {
            onFatalError(error)
        }
    }

    private fun awaitEvent(): E? = try {
        queue.poll(idleMillis, TimeUnit.MILLISECONDS)
    } catch (e: InterruptedException) {
        null
    }

    private fun handleBatch(first: E) {
        var event: E? = first
        var handled = 0
        while (event != null && !stopped) {
            val current = event
            runAndLogFailure { handle(current) }
            handled++
            event = if (handled < MAX_BATCH_EVENTS) queue.poll() else null
        }
    }

    private fun runAndLogFailure(action: () -> Unit) {
        try {
            action()
        } catch (e: Exception) {
            if (!stopped) log.error("event loop {} failed on an event or in a periodic call; it continues", name, e)
        }
    }

    private companion object {
        const val CLOSE_WAIT_MILLIS = 5_000L
        const val MAX_BATCH_EVENTS = 256
        val log = LoggerFactory.getLogger(EventLoopThread::class.java)
    }
}
