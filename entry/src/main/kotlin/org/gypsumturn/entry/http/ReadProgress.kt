// Measures how long a request has been arriving on a caller's connection, so that slow requests can be rejected. It
// sees the bytes before they are decoded.

package org.gypsumturn.entry.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Remembers when the first bytes of the current request arrived. Used only on the connection's event loop. */
internal class ReadProgress(private val nowMillis: () -> Long) : ChannelInboundHandlerAdapter() {
    private var startedAtMillis: Long? = null

    /** Whether a part of a request, but not all of it, has arrived. */
    val isReceiving: Boolean get() = startedAtMillis != null

    /** Milliseconds since the first bytes of the current request arrived; 0 if there is none. */
    fun receivingMillis(now: Long): Long = startedAtMillis?.let { now - it } ?: 0

    /** Call this when the current request has arrived completely. */
    fun markComplete() {
        startedAtMillis = null
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (startedAtMillis == null) startedAtMillis = nowMillis()
        ctx.fireChannelRead(message)
    }
}
