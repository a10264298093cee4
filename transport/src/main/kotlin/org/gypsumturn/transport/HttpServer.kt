// HTTP server for callers, for the balancer's readiness check and for other nodes. A connection is read again only
// when its request has been answered, so answers leave in the order of their requests. While the server drains,
// answers ask the peer to close, and idle connections are closed once their owner has had time to see it.

package org.gypsumturn.transport

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.slf4j.LoggerFactory

/** Answers a request by calling `reply` once, from any thread. */
public typealias RequestHandler = (request: ServedRequest, reply: (ServedAnswer) -> Unit) -> Unit

/** Serves [handler] on one address; all of its state belongs to [loop]. */
public class HttpServer(
    private val loop: EventLoop,
    private val endpoint: Endpoint,
    private val maxBodyBytes: Int,
    private val handler: RequestHandler,
) {
    private val connections = HashSet<Connection>()
    private var listener: Channel? = null
    private var draining = false

    /** Requests that were read and not answered yet. */
    @Volatile
    public var underWay: Int = 0
        private set

    /** Listens; throws where the address can't be had. */
    public fun start() {
        val bootstrap =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) {
                            channel.pipeline().addLast(HttpServerCodec())
                            channel.pipeline().addLast(HttpObjectAggregator(maxBodyBytes))
                            channel.pipeline().addLast(Connection(channel))
                        }
                    },
                )
        listener = bootstrap.bind(endpoint.host, endpoint.port).syncUninterruptibly().channel()
    }

    /** Asks peers to close their connections with the next answer. New connections are still served. */
    public fun drain() {
        loop.execute { draining = true }
    }

    /** Stops listening and closes what is idle. */
    public fun close() {
        loop.execute {
            listener?.close()
            connections.filter { !it.busy }.forEach { it.channel.close() }
        }
    }

    private inner class Connection(val channel: Channel) : SimpleChannelInboundHandler<FullHttpRequest>() {
        var busy = false

        override fun channelActive(context: ChannelHandlerContext) {
            connections += this
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            connections -= this
        }

        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpRequest) {
            if (!message.decoderResult().isSuccess) {
                channel.close()
                return
            }
            busy = true
            underWay++
            channel.config().isAutoRead = false
            val headers = message.headers().copy()
            val request =
                ServedRequest(
                    message.method().name(),
                    message.uri(),
                    headers.get(HttpHeaderNames.HOST).orEmpty(),
                    ByteBufUtil.getBytes(message.content()),
                ) { headers.get(it) }
            val keep = HttpUtil.isKeepAlive(message)
            var answered = false
            handler(request) { answer ->
                loop.execute {
                    if (!answered) {
                        answered = true
                        write(answer, keep && !draining)
                    }
                }
            }
        }

        private fun write(answer: ServedAnswer, keep: Boolean) {
            busy = false
            underWay--
            val status = HttpResponseStatus.valueOf(answer.status)
            val message =
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(answer.body))
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
            HttpUtil.setContentLength(message, answer.body.size.toLong())
            answer.headers.forEach { (name, value) -> message.headers().set(name, value) }
            if (!keep) message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            val written = channel.writeAndFlush(message)
            if (keep) {
                channel.config().isAutoRead = true
            } else {
                written.addListener(ChannelFutureListener.CLOSE)
            }
        }

        @Deprecated("Netty's signature")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.debug("connection from {} failed: {}", channel.remoteAddress(), cause.message)
            channel.close()
        }
    }

    private companion object {
        /** Connections that may wait to be accepted; callers connect in bursts after an outage. */
        const val ACCEPT_BACKLOG = 1_024
        val log = LoggerFactory.getLogger(HttpServer::class.java)
    }
}
