// Streams of accepted changes. One duty reads the log and sends each listener what it has not had yet.

package org.gypsumturn.control.admin

import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.runtime.duty.EventLoopThread
import org.gypsumturn.schema.admin.Event
import org.gypsumturn.view.ViewLog

/** Sends changes to listeners until they leave. */
internal class EventStreams(private val log: ViewLog, private val newestVersion: () -> ViewVersion) : AutoCloseable {
    private val duty = EventLoopThread("events", RING_CAPACITY, TICK_MILLIS, ::adopt, ::sendAll)
    private val listeners = mutableListOf<Listener>()

    fun start() {
        duty.start()
    }

    /** Sends all changes after [after] to [observer]. */
    fun add(after: ViewVersion, observer: StreamObserver<Event>) {
        val call = observer as ServerCallStreamObserver<Event>
        if (!duty.offer(Listener(after, call))) call.onError(toException(TOO_MANY))
    }

    override fun close() {
        duty.close()
    }

    private fun adopt(listener: Listener) {
        if (listeners.size >= MAX_LISTENERS) {
            listener.call.onError(toException(TOO_MANY))
        } else {
            listeners += listener
        }
    }

    private fun sendAll() {
        listeners.removeAll { it.call.isCancelled }
        val newest = newestVersion()
        listeners.filter { it.sent < newest && it.call.isReady }.forEach(::send)
    }

    private fun send(listener: Listener) {
        val changes = log.changesAfter(listener.sent, MAX_CHANGES_PER_ROUND).valueOrNull() ?: return
        changes.forEach { change ->
            listener.call.onNext(change.toEvent())
            listener.sent = change.version
        }
    }

    private class Listener(var sent: ViewVersion, val call: ServerCallStreamObserver<Event>)

    private companion object {
        const val RING_CAPACITY = 64
        const val MAX_LISTENERS = 64
        const val MAX_CHANGES_PER_ROUND = 100
        const val TICK_MILLIS = 200L
        val TOO_MANY = CallFailure.Malformed("", "too many listeners at this process; ask another one")
    }
}
