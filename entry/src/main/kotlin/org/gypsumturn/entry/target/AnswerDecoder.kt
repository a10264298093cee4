// Netty's decoder of HTTP answers, made strict: an answer whose end is not marked, or is marked twice, is malformed.

package org.gypsumturn.entry.target

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the answers of one connection, which carries one exchange at a time. */
internal class AnswerDecoder(maxLineBytes: Int, maxHeaderBytes: Int, maxChunkBytes: Int) :
    HttpResponseDecoder(maxLineBytes, maxHeaderBytes, maxChunkBytes) {
    /** Whether the present answer is to a HEAD request and has no body, whatever its length says. */
    var headRequest: Boolean = false

    /** Bytes that arrived and belong to no answer yet. */
    val leftoverBytes: Int get() = actualReadableBytes()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        headRequest || super.isContentAlwaysEmpty(message)

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("the answer has both a length and a transfer encoding")
}
