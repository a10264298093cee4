// Messages of HTTP calls as the client and the server of this module hand them over: whole bodies, no streaming.

package org.gypsumturn.transport

/** Address of a process: an IP address and a port. */
public data class Endpoint(public val host: String, public val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        /** Reads `host:port`; null where [text] is not of that form. */
        public fun parse(text: String): Endpoint? {
            val colon = text.lastIndexOf(':')
            if (colon <= 0) return null
            val port = text.substring(colon + 1).toIntOrNull() ?: return null
            return if (port in 1..65_535) Endpoint(text.substring(0, colon), port) else null
        }
    }
}

/** A call to send. [path] carries the query. */
public class HttpCall(
    public val method: String,
    public val path: String,
    public val body: ByteArray? = null,
    public val headers: List<Pair<String, String>> = emptyList(),
)

/** An answer as received. */
public class HttpAnswer(public val status: Int, public val body: ByteArray)

/** A request that this process serves. [path] carries the query. */
public class ServedRequest(
    public val method: String,
    public val path: String,
    public val host: String,
    public val body: ByteArray,
    private val headerOf: (String) -> String?,
) {
    /** The first header of [name], which is not case sensitive. */
    public fun header(name: String): String? = headerOf(name)
}

/** The answer to a [ServedRequest]. */
public class ServedAnswer(
    public val status: Int,
    public val body: ByteArray,
    public val contentType: String = "application/json",
    public val headers: List<Pair<String, String>> = emptyList(),
)
