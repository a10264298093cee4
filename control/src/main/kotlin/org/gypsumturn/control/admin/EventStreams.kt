// Streams of accepted changes to callers of the administration API. One event loop reads the log and sends each of the
// listeners the changes after the latest one that it was sent.

package org.gypsumturn.control.admin

import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.runtime.duty.EventLoopThread
import org.gypsumturn.schema.admin.Event
import org.gypsumturn.view.ViewLog

/** Sends changes to listeners until they cancel their calls. */
internal class EventStreams(private val log: ViewLog, private val newestVersion: () -> ViewVersion) : AutoCloseable {
    private val eventLoop = EventLoopThread("events", QUEUE_CAPACITY, TICK_MILLIS, ::addListener, ::sendToListeners)
    private val listeners = mutableListOf<Listener>()

    fun start() {
        eventLoop.start()
    }

    /** Sends all changes after [after] to [observer]; fails the call if there are too many listeners. */
    fun subscribe(after: ViewVersion, observer: StreamObserver<Event>) {
        val call = observer as ServerCallStreamObserver<Event>
        if (!eventLoop.offer(Listener(after, call))) call.onError(toException(TOO_MANY_LISTENERS))
    }

    override fun close() {
        eventLoop.close()
    }

    private fun addListener(listener: Listener) {
        if (listeners.size >= MAX_LISTENERS) {
            listener.call.onError(toException(TOO_MANY_LISTENERS))
        } else {
            listeners += listener
        }
    }

    private fun sendToListeners() {
        listeners.removeAll { it.call.isCancelled }
        val newest = newestVersion()
        listeners.filter { it.sentVersion < newest && it.call.isReady }.forEach(::sendChanges)
    }

    private fun sendChanges(listener: Listener) {
        val changes = log.changesAfter(listener.sentVersion, MAX_CHANGES_PER_ROUND).valueOrNull() ?: return
        changes.forEach { change ->
            listener.call.onNext(change.toEvent())
            listener.sentVersion = change.version
        }
    }

    private class Listener(var sentVersion: ViewVersion, val call: ServerCallStreamObserver<Event>)

    private companion object {
        const val QUEUE_CAPACITY = 64
        const val MAX_LISTENERS = 64
        const val MAX_CHANGES_PER_ROUND = 100
        const val TICK_MILLIS = 200L
        val TOO_MANY_LISTENERS = CallFailure.Malformed(
            "",
            "too many listeners at this process; ask another one",
        )
    }
}
