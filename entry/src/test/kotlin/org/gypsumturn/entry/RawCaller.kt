// A caller with one connection, which writes requests and reads answers as plain text.

package org.gypsumturn.entry

import java.io.BufferedInputStream
import java.net.Socket

/** An answer as the caller received it. */
class ReceivedAnswer(val status: Int, val headers: Map<String, String>, val body: String) {
    val verdict: String? get() = headers["x-verdict"]
}

/** A caller with one connection to an entry. */
class RawCaller(port: Int) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply { soTimeout = READ_TIMEOUT_MILLIS }
    private val input = BufferedInputStream(socket.getInputStream())

    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    fun send(path: String, body: String = "", method: String = "POST", headers: List<String> = emptyList()) {
        val fields = (headers + "Content-Length: ${body.toByteArray().size}").joinToString("") { "$it\r\n" }
        write("$method $path HTTP/1.1\r\nHost: entry\r\n$fields\r\n$body")
    }

    fun read(headOnly: Boolean = false): ReceivedAnswer {
        val line = readLine(input) ?: error("the entry closed the connection")
        val headers = readHeaders(input)
        val length = if (headOnly) 0 else headers["content-length"]?.toInt() ?: 0
        return ReceivedAnswer(line.split(' ')[1].toInt(), headers, String(input.readNBytes(length)))
    }

    fun call(
        path: String,
        body: String = "",
        method: String = "POST",
        headers: List<String> = emptyList(),
    ): ReceivedAnswer {
        send(path, body, method, headers)
        return read(method == "HEAD")
    }

    /** Whether the entry has closed the connection. Blocks until the entry sends something or closes the connection. */
    fun isClosedByEntry(): Boolean = runCatching { input.read() < 0 }.getOrDefault(true)

    override fun close() = socket.close()

    private companion object {
        const val READ_TIMEOUT_MILLIS = 30_000
    }
}
