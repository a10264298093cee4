// Simulates a silent connection: drops all data in both directions and keeps the connection open.

package org.gypsumturn.standin.target

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.util.AttributeKey
import io.netty.util.ReferenceCountUtil

/** Attribute of a connection; true makes it silent. */
internal val SILENT: AttributeKey<Boolean> = AttributeKey.valueOf("gypsumturn-silent")

internal class SilencingHandler : ChannelDuplexHandler() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isSilent(context)) ReferenceCountUtil.release(message) else context.fireChannelRead(message)
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (isSilent(context)) ReferenceCountUtil.release(message) else context.write(message, promise)
    }

    private fun isSilent(context: ChannelHandlerContext) = context.channel().attr(SILENT).get() == true
}
