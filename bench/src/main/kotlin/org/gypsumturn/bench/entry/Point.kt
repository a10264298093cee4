// One point of the comparison: where its requests go, and what was measured of them.

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

private const val TIMEOUT_MILLIS = 4_000L
private const val MAX_MICROS = 60_000_000L
private const val DIGITS = 3

/** What was measured of a point: [latencyMicros] from when each request fell due to its whole answer. */
internal class Measured {
    val latencyMicros = ConcurrentHistogram(MAX_MICROS, DIGITS)
    val failed = AtomicInteger()
    val answered = AtomicInteger()
    val busyNanos = AtomicLong()

    /** Answers a second while a slice was under way. */
    val perSecond: Double get() = answered.get() * TimeUnit.SECONDS.toNanos(1).toDouble() / busyNanos.get()
}

/** Requests to [path] at [addresses]; each sender keeps to one address. */
internal class Point(
    val name: String,
    private val addresses: List<HostAndPort>,
    private val path: String,
    private val keyed: Boolean,
    private val client: HttpClient,
) {
    /** Measured at a fixed rate. */
    var paced = Measured()
        private set

    /** Measured with each sender sending its next request after the last answer. */
    var unpaced = Measured()
        private set
    private val sent = AtomicInteger()

    /** Forgets what was measured. */
    fun reset() {
        paced = Measured()
        unpaced = Measured()
    }

    /** Sends [count] requests that fall due at [ratePerSecond], however long the answers take. */
    fun runPaced(count: Int, ratePerSecond: Int, senders: Int) =
        run(paced, count, senders, TimeUnit.SECONDS.toNanos(1) / ratePerSecond)

    /** Sends [count] requests as fast as [senders] get their answers. */
    fun runUnpaced(count: Int, senders: Int) = run(unpaced, count, senders, 0)

    private fun run(into: Measured, count: Int, senders: Int, nanosEach: Long) {
        val next = AtomicInteger()
        val startNanos = System.nanoTime()
        val threads = List(senders) { sender ->
            thread(name = "sender-$sender") {
                var index = next.getAndIncrement()
                while (index < count) {
                    val dueNanos = if (nanosEach == 0L) System.nanoTime() else startNanos + index * nanosEach
                    val leftNanos = dueNanos - System.nanoTime()
                    if (leftNanos > 0) TimeUnit.NANOSECONDS.sleep(leftNanos)
                    call(into, addresses[sender % addresses.size], dueNanos)
                    index = next.getAndIncrement()
                }
            }
        }
        threads.forEach { it.join() }
        into.busyNanos.addAndGet(System.nanoTime() - startNanos)
    }

    private fun call(into: Measured, address: HostAndPort, dueNanos: Long) {
        val id = "$RUN-$name-${sent.getAndIncrement()}"
        val answered = try {
            val response = client.send(request(address, id), HttpResponse.BodyHandlers.ofString())
            response.statusCode() == OK && response.body().contains("request=$id\n")
        } catch (_: IOException) {
            false
        }
        if (!answered) {
            into.failed.incrementAndGet()
            return
        }
        into.answered.incrementAndGet()
        val micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos)
        into.latencyMicros.recordValue(micros.coerceIn(0, MAX_MICROS))
    }

    private fun request(address: HostAndPort, id: String): HttpRequest {
        val builder = HttpRequest
            .newBuilder(URI("http://${address.host}:${address.port}$path"))
            .timeout(Duration.ofMillis(TIMEOUT_MILLIS))
            .header("X-Request-Id", id)
            .header("X-Work-Millis", "0")
        if (keyed) builder.header("Idempotency-Key", id)
        return builder.POST(HttpRequest.BodyPublishers.ofString("payload-$id")).build()
    }

    private companion object {
        const val OK = 200
        const val RADIX = 36
        val RUN: String = System.currentTimeMillis().toString(RADIX)
    }
}
