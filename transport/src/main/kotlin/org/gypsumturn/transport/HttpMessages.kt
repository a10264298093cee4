// Requests and answers of the HTTP client and the HTTP server of this module. Bodies are held whole in memory; there is
// no streaming.

package org.gypsumturn.transport

/** Address of a process: an IP address and a TCP port. */
public data class Endpoint(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Parses `host:port`. Returns null if [text] does not have that form or the port is not from 1 to 65535. */
        public fun parse(text: String): Endpoint? {
            val colon = text.lastIndexOf(':')
            if (colon <= 0) return null
            val port = text.substring(colon + 1).toIntOrNull() ?: return null
            return if (port in 1..65_535) Endpoint(text.substring(0, colon), port) else null
        }
    }
}

/** A request that [HttpClient] sends. [path] includes the query; without a [body] no content type is sent. */
public class HttpCall(
    public val method: String,
    public val path: String,
    public val body: ByteArray? = null,
    public val headers: List<Pair<String, String>> = emptyList(),
)

/** An answer that [HttpClient] received, with any status code. */
public class HttpAnswer(public val status: Int, public val body: ByteArray)

/** A request that [HttpServer] received. [path] includes the query; [host] is empty without a `Host` header. */
public class ServedRequest(
    public val method: String,
    public val path: String,
    public val host: String,
    public val body: ByteArray,
    private val headersOf: (String) -> List<String>,
) {
    /** Returns the value of the first header called [name], ignoring case, or null if there is none. */
    public fun header(name: String): String? = headersOf(name).firstOrNull()

    /** Returns the values of all headers called [name], ignoring case. */
    public fun headers(name: String): List<String> = headersOf(name)
}

/** The answer that [HttpServer] sends to a [ServedRequest]. */
public class ServedAnswer(
    public val status: Int,
    public val body: ByteArray,
    public val contentType: String = "application/json",
    public val headers: List<Pair<String, String>> = emptyList(),
)
