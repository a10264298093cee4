// One route of the comparison, directly to targets or through the entry: sends its requests and measures the answers.

package org.gypsumturn.bench.entry

import org.HdrHistogram.ConcurrentHistogram
import org.gypsumturn.runtime.settings.HostAndPort
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private const val REQUEST_TIMEOUT_MILLIS = 4_000L
private const val MAX_LATENCY_MICROS = 60_000_000L
private const val SIGNIFICANT_DIGITS = 3

/** Statistics of the requests on a route. [latencyMicros] counts from when a request was due to its whole answer. */
internal class RouteStatistics {
    val latencyMicros = ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
    val failed = AtomicInteger()
    val answered = AtomicInteger()
    val busyNanos = AtomicLong()

    /** Answers per second of the route's own slices. */
    val answersPerSecond: Double get() = answered.get() * TimeUnit.SECONDS.toNanos(1).toDouble() / busyNanos.get()
}

/**
 * Sends POST requests to [path] at [addresses]; each sender uses one address only. With [keyed], every request carries
 * an idempotency key of its own.
 */
internal class MeasuredRoute(
    val name: String,
    private val addresses: List<HostAndPort>,
    private val path: String,
    private val keyed: Boolean,
    private val client: HttpClient,
) {
    /** Statistics of the requests that were sent at a fixed rate. */
    var fixedRate = RouteStatistics()
        private set

    /** Statistics of the requests that a sender sent as soon as its previous one had ended. */
    var closedLoop = RouteStatistics()
        private set
    private val sentCount = AtomicInteger()

    /** Discards all statistics, so that a warm-up does not count. */
    fun resetStatistics() {
        fixedRate = RouteStatistics()
        closedLoop = RouteStatistics()
    }

    /**
     * Sends [count] requests that become due at [ratePerSecond], however long the answers take. A request that is due
     * while all [senders] wait for answers is sent later; its latency includes this wait.
     */
    fun runAtFixedRate(count: Int, ratePerSecond: Int, senders: Int) =
        sendAll(fixedRate, count, senders, TimeUnit.SECONDS.toNanos(1) / ratePerSecond)

    /** Sends [count] requests; each of [senders] sends the next one as soon as its previous one has ended. */
    fun runClosedLoop(count: Int, senders: Int) = sendAll(closedLoop, count, senders, 0)

    private fun sendAll(statistics: RouteStatistics, count: Int, senders: Int, intervalNanos: Long) {
        val next = AtomicInteger()
        val startNanos = System.nanoTime()
        val threads = List(senders) { sender ->
            thread(name = "sender-$sender") {
                var index = next.getAndIncrement()
                while (index < count) {
                    val dueNanos = if (intervalNanos == 0L) System.nanoTime() else startNanos + index * intervalNanos
                    val waitNanos = dueNanos - System.nanoTime()
                    if (waitNanos > 0) TimeUnit.NANOSECONDS.sleep(waitNanos)
                    sendOne(statistics, addresses[sender % addresses.size], dueNanos)
                    index = next.getAndIncrement()
                }
            }
        }
        threads.forEach { it.join() }
        statistics.busyNanos.addAndGet(System.nanoTime() - startNanos)
    }

    private fun sendOne(statistics: RouteStatistics, address: HostAndPort, dueNanos: Long) {
        val id = "$RUN_ID-$name-${sentCount.getAndIncrement()}"
        val answered = try {
            val response = client.send(buildRequest(address, id), HttpResponse.BodyHandlers.ofString())
            response.statusCode() == OK && response.body().contains("request=$id\n")
        } catch (_: IOException) {
            false
        }
        if (!answered) {
            statistics.failed.incrementAndGet()
            return
        }
        statistics.answered.incrementAndGet()
        val micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos)
        statistics.latencyMicros.recordValue(micros.coerceIn(0, MAX_LATENCY_MICROS))
    }

    private fun buildRequest(address: HostAndPort, id: String): HttpRequest {
        val builder = HttpRequest
            .newBuilder(URI("http://${address.host}:${address.port}$path"))
            .timeout(Duration.ofMillis(REQUEST_TIMEOUT_MILLIS))
            .header("X-Request-Id", id)
            .header("X-Work-Millis", "0")
        if (keyed) builder.header("Idempotency-Key", id)
        return builder.POST(HttpRequest.BodyPublishers.ofString("payload-$id")).build()
    }

    private companion object {
        const val OK = 200
        const val RADIX = 36
        val RUN_ID: String = System.currentTimeMillis().toString(RADIX)
    }
}
