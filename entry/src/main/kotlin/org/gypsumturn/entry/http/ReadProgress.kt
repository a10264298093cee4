// Watches the bytes of a caller's connection before they are decoded, to find requests that arrive too slowly.

package org.gypsumturn.entry.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Tells since when a request is being received. */
internal class ReadProgress(private val nowMillis: () -> Long) : ChannelInboundHandlerAdapter() {
    private var sinceMillis: Long? = null

    /** Whether a part of a request has arrived. */
    val receiving: Boolean get() = sinceMillis != null

    /** For how long the present request has been arriving. */
    fun receivingMillis(now: Long): Long = sinceMillis?.let { now - it } ?: 0

    /** The present request has arrived as a whole. */
    fun complete() {
        sinceMillis = null
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (sinceMillis == null) sinceMillis = nowMillis()
        ctx.fireChannelRead(message)
    }
}
