package org.gypsumturn.transport

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.nio.NioEventLoopGroup
import org.gypsumturn.model.Verdict
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Calls of a client whose event loop is held up for longer than they may take, as in a process that is suspended. */
class HttpClientTest : AnnotationSpec() {
    /** Accepts one connection after the other, and answers a request once [mayAnswer] is open. */
    private class Server : AutoCloseable {
        private val socket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
        val paths = ConcurrentLinkedQueue<String>()
        val received = CountDownLatch(1)
        val mayAnswer = CountDownLatch(1)
        val endpoint = Endpoint(socket.inetAddress.hostAddress, socket.localPort)

        init {
            thread(isDaemon = true) {
                try {
                    while (true) serve()
                } catch (_: java.net.SocketException) {
                    // The socket was closed at the end of the test.
                }
            }
        }

        private fun serve() = socket.accept().use { connection ->
            val reader = connection.getInputStream().bufferedReader()
            while (true) {
                val requestLine = reader.readLine() ?: return@use
                while (!reader.readLine().isNullOrEmpty()) continue
                paths += requestLine.split(' ')[1]
                received.countDown()
                mayAnswer.await()
                connection.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".toByteArray())
            }
        }

        override fun close() = socket.close()
    }

    private val group = NioEventLoopGroup(1)
    private val loop = group.next()
    private val client = HttpClient(loop, HttpClientLimits(1, CONNECT_MILLIS, IDLE_MILLIS, MAX_BYTES))

    @AfterAll
    fun shutDown() {
        group.shutdownGracefully(0, SUSPENDED_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun Server.send(path: String, timeoutMillis: Long): CompletableFuture<Verdict<HttpAnswer>> {
        val verdict = CompletableFuture<Verdict<HttpAnswer>>()
        client.send(endpoint, "lane", HttpCall("GET", path), timeoutMillis) { verdict.complete(it) }
        return verdict
    }

    /** Holds the event loop up, and runs [meanwhile] on this thread while it is. */
    private fun suspendLoop(meanwhile: () -> Unit) {
        val held = CountDownLatch(1)
        val release = CountDownLatch(1)
        loop.execute {
            held.countDown()
            release.await()
        }
        held.await()
        meanwhile()
        Thread.sleep(SUSPENDED_MILLIS)
        release.countDown()
    }

    private fun <T> CompletableFuture<T>.result(): T = get(RESULT_MILLIS, TimeUnit.MILLISECONDS)

    // Guards against: an order that waited for a connection is sent after the process was suspended, and after the
    // caller's time for it is over, since the answer that frees the connection is handled before the timer.
    @Test
    fun `a call that waits for a connection is not sent after its timeout`() {
        Server().use { server ->
            val first = server.send("/first", LONG_MILLIS)
            server.received.await()
            val waiting = server.send("/waiting", SHORT_MILLIS)
            suspendLoop { server.mayAnswer.countDown() }
            first.result().shouldBeInstanceOf<Verdict.Ran<HttpAnswer>>()
            waiting.result().shouldBeInstanceOf<Verdict.NotRun>()
            server.send("/last", LONG_MILLIS).result()
            server.paths.toList().shouldContainExactly("/first", "/last")
        }
    }

    // Guards against: the time of an order begins anew when the event loop gets to it, after the process was suspended.
    @Test
    fun `the timeout of a call begins when it is handed over`() {
        Server().use { server ->
            server.mayAnswer.countDown()
            server.send("/first", LONG_MILLIS).result()
            lateinit var late: CompletableFuture<Verdict<HttpAnswer>>
            suspendLoop { late = server.send("/late", SHORT_MILLIS) }
            late.result().shouldBeInstanceOf<Verdict.NotRun>()
            server.send("/last", LONG_MILLIS).result()
            server.paths.toList().shouldContainExactly("/first", "/last")
        }
    }

    private companion object {
        const val BACKLOG = 5
        const val CONNECT_MILLIS = 2_000
        const val IDLE_MILLIS = 10_000L
        const val MAX_BYTES = 10_000
        const val SHORT_MILLIS = 200L
        const val SUSPENDED_MILLIS = 500L
        const val LONG_MILLIS = 20_000L
        const val RESULT_MILLIS = 10_000L
    }
}
