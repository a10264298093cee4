// Tests the HTTP server over real connections on the loopback interface: many requests of a connection at once, and
// answers that are under way when the server is closed.

package org.gypsumturn.transport

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class HttpServerTest : AnnotationSpec() {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop: EventLoop = group.next()
    private val open = ConcurrentHashMap<String, (ServedAnswer) -> Unit>()

    @BeforeEach
    fun reset() = open.clear()

    @AfterAll
    fun stopEventLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    /** Starts a server that keeps all requests open until [answer] is called with their paths. */
    private fun startServer(): Pair<HttpServer, Endpoint> {
        val endpoint = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
        val server = HttpServer(loop, endpoint, 1_000_000) { request, reply ->
            check(request.path != "/fails")
            open[request.path] = reply
        }
        server.start()
        return server to endpoint
    }

    private fun answer(path: String, body: ByteArray = path.encodeToByteArray()) {
        open.getValue(path)(ServedAnswer(200, body))
    }

    private fun await(isTrue: () -> Boolean) {
        val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
        while (!isTrue() && System.nanoTime() < endNanos) Thread.sleep(5)
        isTrue() shouldBe true
    }

    private fun runOnLoop(action: () -> Unit) {
        loop.submit(action).get(10, TimeUnit.SECONDS)
    }

    private fun request(path: String, body: String = "") =
        "POST $path HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private class RawCaller(endpoint: Endpoint, receiveBufferBytes: Int? = null) : AutoCloseable {
        private val socket = Socket().apply {
            receiveBufferBytes?.let { receiveBufferSize = it }
            connect(InetSocketAddress(endpoint.host, endpoint.port))
            soTimeout = 10_000
        }
        private val input: InputStream = socket.getInputStream().buffered()

        fun send(text: String) = socket.getOutputStream().write(text.encodeToByteArray())

        /** Reads one answer and returns its body, or null if the connection ends before it is complete. */
        fun readBody(): ByteArray? {
            var length = 0
            while (true) {
                val line = readLine() ?: return null
                if (line.isEmpty()) break
                if (line.startsWith("content-length:")) length = line.substringAfter(':').trim().toInt()
            }
            return input.readNBytes(length).takeIf { it.size == length }
        }

        fun readText(): String? = readBody()?.decodeToString()

        private fun readLine(): String? {
            val line = StringBuilder()
            while (true) {
                val next = input.read()
                if (next < 0) return null
                if (next == '\n'.code) return line.toString().trim().lowercase()
                line.append(next.toChar())
            }
        }

        override fun close() = socket.close()
    }

    // Guards against: a caller that sends its next request early takes the answer to that one for the answer to the
    // first.
    @Test
    fun `requests that arrive together are answered in their order`() {
        val (_, endpoint) = startServer()
        RawCaller(endpoint).use { caller ->
            caller.send(request("/1", "a") + request("/2") + request("/3", "c"))
            await { open.containsKey("/1") }
            Thread.sleep(50)
            open.keys shouldBe setOf("/1")
            answer("/1")
            caller.readText() shouldBe "/1"
            await { open.containsKey("/2") }
            answer("/2")
            await { open.containsKey("/3") }
            answer("/3")
            caller.readText() shouldBe "/2"
            caller.readText() shouldBe "/3"
        }
    }

    // Guards against: a request that was read behind another one loses its connection to `Connection: close`.
    @Test
    fun `a drained server answers all requests that arrived together`() {
        val (server, endpoint) = startServer()
        RawCaller(endpoint).use { caller ->
            caller.send(request("/1") + request("/2"))
            await { open.containsKey("/1") }
            server.drain()
            server.close()
            runOnLoop { }
            answer("/1")
            caller.readText() shouldBe "/1"
            await { open.containsKey("/2") }
            answer("/2")
            caller.readText() shouldBe "/2"
            caller.readText() shouldBe null
        }
        await { server.requestsInFlight == 0 }
    }

    // Guards against: the owner of the server takes a request for answered, and ends the process, while most of the
    // answer is still in this process.
    @Test
    fun `a request is in flight until its answer has been written`() {
        val (server, endpoint) = startServer()
        RawCaller(endpoint, receiveBufferBytes = 4_096).use { caller ->
            caller.send(request("/large"))
            await { open.containsKey("/large") }
            answer("/large", ByteArray(LARGE_BYTES))
            runOnLoop { }
            Thread.sleep(100)
            server.requestsInFlight shouldBe 1
            server.close()
            runOnLoop { }
            caller.readBody()?.size shouldBe LARGE_BYTES
            await { server.requestsInFlight == 0 }
        }
    }

    // Guards against: the rest of a request meets a closed connection, though its head had been read in time.
    @Test
    fun `a request that has arrived in part is answered after the server was closed`() {
        val (server, endpoint) = startServer()
        RawCaller(endpoint).use { idle ->
            RawCaller(endpoint).use { caller ->
                caller.send(request("/1", "body").dropLast(2))
                await { server.openConnections == 2 }
                Thread.sleep(100)
                server.close()
                idle.readText() shouldBe null
                caller.send("dy")
                await { open.containsKey("/1") }
                answer("/1")
                caller.readText() shouldBe "/1"
                caller.readText() shouldBe null
            }
        }
        await { server.isFinished }
        runCatching { RawCaller(endpoint) }.isFailure shouldBe true
    }

    // Guards against: the owner ends the process because no request is in flight, while one is just being read.
    @Test
    fun `no request is read once a closed server has no connections`() {
        val (server, endpoint) = startServer()
        val callers = List(50) { RawCaller(endpoint) }
        await { server.openConnections == callers.size }
        server.close()
        callers.forEachIndexed { number, caller -> runCatching { caller.send(request("/$number")) } }
        await { server.openConnections == server.requestsInFlight }
        open.keys.forEach { answer(it) }
        await { server.isFinished }
        val answered = callers.indices.filter { runCatching { callers[it].readText() }.getOrNull() == "/$it" }
        answered.map { "/$it" }.toSet() shouldBe open.keys
        callers.forEach { it.close() }
    }

    // Guards against: the process ends while requests are open, because the store does not answer.
    @Test
    fun `open requests get the final answer when there is no time left`() {
        val (server, endpoint) = startServer()
        RawCaller(endpoint).use { caller ->
            RawCaller(endpoint).use { partial ->
                caller.send(request("/1") + request("/2"))
                partial.send(request("/3", "body").dropLast(2))
                await { open.containsKey("/1") && server.openConnections == 2 }
                server.close()
                server.answerOpenRequests(ServedAnswer(504, "late".encodeToByteArray()))
                caller.readText() shouldBe "late"
                answer("/1")
                caller.readText() shouldBe "late"
                caller.readText() shouldBe null
                partial.readText() shouldBe null
                open.keys shouldBe setOf("/1")
            }
        }
        await { server.isFinished }
    }

    // Guards against: nothing tells that the answers to requests were cut, or whose fault that was.
    @Test
    fun `requests without a complete answer are reported with their cause`() {
        val (server, endpoint) = startServer()
        val reported = LinkedBlockingQueue<UnansweredRequest>()
        server.onUnanswered = reported::add
        RawCaller(endpoint).use { caller ->
            caller.send(request("/1"))
            await { open.containsKey("/1") }
        }
        // The end of the connection is noticed when the answer is written.
        answer("/1", ByteArray(LARGE_BYTES))
        reported.poll(10, TimeUnit.SECONDS)?.cause shouldBe UnansweredCause.CLOSED_BY_CALLER
        RawCaller(endpoint).use { caller ->
            caller.send(request("/fails"))
            caller.readText() shouldBe null
        }
        reported.poll(10, TimeUnit.SECONDS)?.cause shouldBe UnansweredCause.FAILED
        RawCaller(endpoint).use { caller ->
            caller.send(request("/2"))
            await { open.containsKey("/2") }
            Thread.sleep(50)
            val abandoned = server.abandonOpenRequests(10_000).orEmpty()
            abandoned.map { it.cause } shouldBe listOf(UnansweredCause.SHUTDOWN)
            (abandoned.single().openMillis >= 50) shouldBe true
        }
        reported.poll(10, TimeUnit.SECONDS)?.cause shouldBe UnansweredCause.SHUTDOWN
        server.requestsInFlight shouldBe 1
    }
    private companion object {
        /** More than the socket buffers of both sides hold. */
        const val LARGE_BYTES = 20_000_000
    }
}
