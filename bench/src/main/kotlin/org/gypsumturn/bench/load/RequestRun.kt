// Sends the requests of a plan at a fixed rate, whatever the answers take, with a bounded number at once.

package org.gypsumturn.bench.load

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A request that was sent, and how it ended. */
public data class SentRequest(public val request: PlannedRequest, public val call: FinishedCall)

/** Sends [requests] and returns those that were sent before the time was up. */
internal fun sendRequests(options: LoadOptions, requests: List<PlannedRequest>, caller: Caller): List<SentRequest> {
    val sent = ConcurrentLinkedQueue<SentRequest>()
    val next = AtomicInteger()
    val startNanos = System.nanoTime()
    val endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(options.durationMillis)
    val nanosEach = TimeUnit.SECONDS.toNanos(1) / options.ratePerSecond
    val senders = List(options.concurrency) { number ->
        thread(name = "sender-$number") {
            var index = next.getAndIncrement()
            while (index < requests.size) {
                val dueNanos = startNanos + index * nanosEach
                if (dueNanos >= endNanos || System.nanoTime() >= endNanos) break
                sleepUntil(dueNanos)
                val request = requests[index]
                sent += SentRequest(request, caller.make(httpCall(request, options), request.kind, index, dueNanos))
                index = next.getAndIncrement()
            }
        }
    }
    senders.forEach { it.join() }
    return sent.sortedBy { it.request.id }
}

private fun sleepUntil(nanos: Long) {
    val leftNanos = nanos - System.nanoTime()
    if (leftNanos > 0) TimeUnit.NANOSECONDS.sleep(leftNanos)
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
