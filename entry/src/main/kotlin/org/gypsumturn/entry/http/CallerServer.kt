// The HTTP server for callers: Netty's codec on event loops, with limits on every part of a request.

package org.gypsumturn.entry.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpUtil
import org.gypsumturn.runtime.settings.HostAndPort
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap

/** Sizes that a request may have. */
internal data class RequestSizes(val maxLineBytes: Int, val maxHeaderBytes: Int, val maxBodyBytes: Int)

/** Accepts callers' connections at [address] from [start] until [close]. */
internal class CallerServer(
    private val group: EventLoopGroup,
    private val address: HostAndPort,
    private val sizes: RequestSizes,
    private val limits: CallerLimits,
    private val admission: ConnectionLimit,
    private val nowMillis: () -> Long,
    private val serve: RouteHandler,
) {
    private val connections = ConcurrentHashMap.newKeySet<CallerConnection>()
    private lateinit var listener: Channel

    @Volatile
    private var draining = false

    /** Port at which callers are served. */
    val port: Int get() = (listener.localAddress() as InetSocketAddress).port

    /** Number of open connections. */
    val open: Int get() = connections.size

    /** Binds the address. */
    fun start() {
        listener =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = initialise(channel)
                    },
                ).bind(address.host, address.port)
                .sync()
                .channel()
    }

    /** Refuses new connections. */
    fun stopAccepting() {
        listener.close().sync()
    }

    /** Closes each connection once all that it has received is answered. */
    fun drain() {
        draining = true
        connections.forEach { it.drain() }
    }

    private fun initialise(channel: SocketChannel) {
        if (!admission.admit()) {
            channel.close()
            return
        }
        val progress = ReadProgress(nowMillis)
        val connection = CallerConnection(limits, progress, serve, nowMillis)
        connections += connection
        channel.closeFuture().addListener {
            connections -= connection
            admission.release()
        }
        val pipeline: ChannelPipeline = channel.pipeline()
        pipeline.addLast(progress)
        pipeline.addLast(HttpRequestDecoder(sizes.maxLineBytes, sizes.maxHeaderBytes, MAX_CHUNK_BYTES))
        pipeline.addLast(HttpResponseEncoder())
        pipeline.addLast(RequestAggregator(sizes.maxBodyBytes))
        pipeline.addLast(connection)
        if (draining) connection.drain()
    }

    private companion object {
        const val BACKLOG = 1_024
        const val MAX_CHUNK_BYTES = 65_536
    }
}

/** Collects a request. One that is too large is passed on as a rejection, so that its answer keeps its place. */
private class RequestAggregator(private val maxBytes: Int) : HttpObjectAggregator(maxBytes) {
    override fun newContinueResponse(start: HttpMessage, maxContentLength: Int, pipeline: ChannelPipeline): Any? {
        val wanted = start.decoderResult().isSuccess && HttpUtil.is100ContinueExpected(start)
        val fits = wanted && HttpUtil.getContentLength(start, 0L) <= maxBytes
        return if (fits) super.newContinueResponse(start, maxContentLength, pipeline) else null
    }

    override fun handleOversizedMessage(ctx: ChannelHandlerContext, oversized: HttpMessage) {
        ctx.fireChannelRead(rejected(HttpStatus.TOO_LARGE, "the body is larger than $maxBytes bytes", true))
    }
}
