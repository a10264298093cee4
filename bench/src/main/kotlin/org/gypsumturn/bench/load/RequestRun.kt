// Sends the requests of a plan at a fixed rate, however long the answers take, with a bounded number in flight.

package org.gypsumturn.bench.load

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A request that was sent, and its outcome. */
public data class SentRequest(public val request: PlannedRequest, public val call: FinishedCall)

/**
 * Sends [requests] and returns those that fell due and were sent before the duration in [options] had elapsed. Blocks
 * until all of them have ended.
 */
internal fun sendRequests(options: LoadOptions, requests: List<PlannedRequest>, caller: Caller): List<SentRequest> {
    val sent = ConcurrentLinkedQueue<SentRequest>()
    val nextIndex = AtomicInteger()
    val startNanos = System.nanoTime()
    val endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(options.durationMillis)
    val intervalNanos = TimeUnit.SECONDS.toNanos(1) / options.ratePerSecond
    val senders = List(options.concurrency) { number ->
        thread(name = "sender-$number") {
            var index = nextIndex.getAndIncrement()
            while (index < requests.size) {
                val dueNanos = startNanos + index * intervalNanos
                if (dueNanos >= endNanos || System.nanoTime() >= endNanos) break
                sleepUntil(dueNanos)
                val request = requests[index]
                sent += SentRequest(request, caller.makeCall(httpCall(request, options), request.kind, index, dueNanos))
                index = nextIndex.getAndIncrement()
            }
        }
    }
    senders.forEach { it.join() }
    return sent.sortedBy { it.request.id }
}

private fun sleepUntil(nanos: Long) {
    val remainingNanos = nanos - System.nanoTime()
    if (remainingNanos > 0) TimeUnit.NANOSECONDS.sleep(remainingNanos)
}

private fun httpCall(request: PlannedRequest, options: LoadOptions): HttpCall {
    val headers = mutableListOf(
        HttpHeader("X-Request-Id", request.id),
        HttpHeader("X-Work-Millis", "${request.workMillis}"),
        HttpHeader("X-Team", options.team),
        HttpHeader("X-Deadline-Millis", "${options.timeoutMillis}"),
    )
    if (request.kind == CallKind.KEYED) headers += HttpHeader("Idempotency-Key", request.id)
    return HttpCall("/services/${request.service}/load", headers, request.payload)
}
