// A stricter variant of Netty's decoder of HTTP answers. An answer with both a Content-Length and a Transfer-Encoding
// is malformed, because its end is ambiguous.

package org.gypsumturn.entry.target

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the answers on one connection, which carries one exchange at a time. */
internal class AnswerDecoder(maxLineBytes: Int, maxHeaderBytes: Int, maxChunkBytes: Int) :
    HttpResponseDecoder(maxLineBytes, maxHeaderBytes, maxChunkBytes) {
    /** Whether the current answer is to a HEAD request, so that it has no body even if it has a Content-Length. */
    var headRequest: Boolean = false

    /** Number of received bytes that have not been decoded. */
    val leftoverBytes: Int get() = actualReadableBytes()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        headRequest || super.isContentAlwaysEmpty(message)

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("the answer has both a length and a transfer encoding")
}
