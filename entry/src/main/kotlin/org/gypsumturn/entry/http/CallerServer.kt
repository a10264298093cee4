// The HTTP server for callers, built on Netty. Every part of a request has a size limit.

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

/** Largest sizes of the parts of a request. A larger request is rejected as not run. */
internal data class RequestSizeLimits(val maxLineBytes: Int, val maxHeaderBytes: Int, val maxBodyBytes: Int)

/** Accepts callers' connections at [address] from [start] until [close]. */
internal class CallerServer(
    private val group: EventLoopGroup,
    private val address: HostAndPort,
    private val sizeLimits: RequestSizeLimits,
    private val limits: CallerLimits,
    private val connectionLimit: ConnectionLimit,
    private val nowMillis: () -> Long,
    private val serve: RouteHandler,
) {
    private val connections = ConcurrentHashMap.newKeySet<CallerConnection>()
    private lateinit var listeningChannel: Channel

    @Volatile
    private var draining = false

    /** Port on which the server listens. Valid after [start]. */
    val port: Int get() = (listeningChannel.localAddress() as InetSocketAddress).port

    /** Number of open connections of callers. */
    val open: Int get() = connections.size

    /** Binds the address and accepts connections. Throws if the address cannot be bound. */
    fun start() {
        listeningChannel =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = initialiseChannel(channel)
                    },
                ).bind(address.host, address.port)
                .sync()
                .channel()
    }

    /** Stops listening, so that new connections are refused once this returns. Open connections continue. */
    fun stopAccepting() {
        listeningChannel.close().sync()
        // A channel that is registered with a selector keeps its socket open until the next selection. The event loop
        // selects before it runs a task, so that the socket is closed when the task is done.
        listeningChannel.eventLoop().submit { }.sync()
    }

    /** Closes each connection after all requests that it has received are answered. */
    fun drain() {
        draining = true
        connections.forEach { it.drain() }
    }

    private fun initialiseChannel(channel: SocketChannel) {
        if (!connectionLimit.tryAcquire()) {
            channel.close()
            return
        }
        val progress = ReadProgress(nowMillis)
        val connection = CallerConnection(limits, progress, serve, nowMillis)
        connections += connection
        channel.closeFuture().addListener {
            connections -= connection
            connectionLimit.release()
        }
        val pipeline: ChannelPipeline = channel.pipeline()
        pipeline.addLast(progress)
        pipeline.addLast(HttpRequestDecoder(sizeLimits.maxLineBytes, sizeLimits.maxHeaderBytes, MAX_CHUNK_BYTES))
        pipeline.addLast(HttpResponseEncoder())
        pipeline.addLast(RequestAggregator(sizeLimits.maxBodyBytes))
        pipeline.addLast(connection)
        if (draining) connection.drain()
    }

    private companion object {
        const val ACCEPT_BACKLOG = 1_024
        const val MAX_CHUNK_BYTES = 65_536
    }
}

/**
 * Collects the parts of a request. A request that is too large is passed on as a rejection, so that its answer keeps
 * its place in the order of the answers.
 */
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
