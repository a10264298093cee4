// A fake HTTP target on the loopback address. A script decides which bytes it sends in answer to each request.

package org.gypsumturn.entry

import java.io.BufferedInputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A request as the target received it. [connectionNumber] counts the connections of the target from 1. */
class ReceivedRequest(val line: String, val headers: Map<String, String>, val body: String, val connectionNumber: Int)

/** The target's side of one connection, for use in a script. */
class TargetSocket(private val socket: Socket, private val onRefuse: () -> Unit) {
    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    fun answer(body: String, status: Int = 200, headers: String = "") =
        write("HTTP/1.1 $status OK\r\nContent-Length: ${body.toByteArray().size}\r\n$headers\r\n$body")

    /** Answers as a target that refuses the request for lack of capacity and does not run it. */
    fun refuse() {
        onRefuse()
        answer("", 503, "X-Overloaded: true\r\n")
    }

    fun close() = socket.close()

    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }
}

/** A target that answers each request by [script], by default with the body of the request. */
class FakeTarget(
    private val script: (ReceivedRequest, TargetSocket) -> Unit = { request, socket -> socket.answer(request.body) },
) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val sockets = ConcurrentLinkedQueue<Socket>()
    val connections = AtomicInteger()
    val receivedRequests = ConcurrentLinkedQueue<ReceivedRequest>()

    /** Bodies of the requests that were refused for lack of capacity. */
    val refusedBodies = ConcurrentLinkedQueue<String>()
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                sockets += socket
                val connectionNumber = connections.incrementAndGet()
                thread(isDaemon = true) { runCatching { serve(socket, connectionNumber) } }
            }
        }
    }

    private fun serve(socket: Socket, connectionNumber: Int) {
        val input = BufferedInputStream(socket.getInputStream())
        while (true) {
            val line = readLine(input) ?: return
            val headers = readHeaders(input)
            val body = String(input.readNBytes(headers["content-length"]?.toInt() ?: 0))
            val request = ReceivedRequest(line, headers, body, connectionNumber)
            receivedRequests += request
            script(request, TargetSocket(socket) { refusedBodies += request.body })
        }
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }
}

/** Reads a line, without its line break. Returns null at the end of the stream. */
fun readLine(input: InputStream): String? {
    val line = StringBuilder()
    while (true) {
        val byte = input.read()
        if (byte < 0) return null
        if (byte == '\n'.code) return line.toString().trimEnd('\r')
        line.append(byte.toChar())
    }
}

/** Reads header fields up to the empty line. The keys are their names in lower case. */
fun readHeaders(input: InputStream): Map<String, String> =
    generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }
        .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
