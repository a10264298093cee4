// A small HTTP target on loopback whose script decides, byte by byte, how each request is answered.

package org.gypsumturn.entry

import java.io.BufferedInputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A request as the target saw it. */
class SeenRequest(val line: String, val headers: Map<String, String>, val body: String, val connection: Int)

/** One connection of a target, for its script. */
class TargetSide(private val socket: Socket, private val onRefuse: () -> Unit) {
    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    fun answer(body: String, status: Int = 200, headers: String = "") =
        write("HTTP/1.1 $status OK\r\nContent-Length: ${body.toByteArray().size}\r\n$headers\r\n$body")

    /** Refuses the request for lack of capacity. */
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

/** Answers each request by [script]; by default with the request's own body. */
class FakeTarget(private val script: (SeenRequest, TargetSide) -> Unit = { seen, side -> side.answer(seen.body) }) :
    AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val sockets = ConcurrentLinkedQueue<Socket>()
    val connections = AtomicInteger()
    val seen = ConcurrentLinkedQueue<SeenRequest>()

    /** Bodies of requests that were refused for lack of capacity. */
    val refused = ConcurrentLinkedQueue<String>()
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                sockets += socket
                val number = connections.incrementAndGet()
                thread(isDaemon = true) { runCatching { serve(socket, number) } }
            }
        }
    }

    private fun serve(socket: Socket, number: Int) {
        val input = BufferedInputStream(socket.getInputStream())
        while (true) {
            val line = readLine(input) ?: return
            val headers = readHeaders(input)
            val body = String(input.readNBytes(headers["content-length"]?.toInt() ?: 0))
            val request = SeenRequest(line, headers, body, number)
            seen += request
            script(request, TargetSide(socket) { refused += request.body })
        }
    }

    override fun close() {
        listener.close()
        sockets.forEach { it.close() }
    }
}

/** A line without its end, or null at the end of the stream. */
fun readLine(input: InputStream): String? {
    val line = StringBuilder()
    while (true) {
        val byte = input.read()
        if (byte < 0) return null
        if (byte == '\n'.code) return line.toString().trimEnd('\r')
        line.append(byte.toChar())
    }
}

/** Header fields by lower-case name, up to the empty line. */
fun readHeaders(input: InputStream): Map<String, String> =
    generateSequence { readLine(input)?.takeIf { it.isNotEmpty() } }
        .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
