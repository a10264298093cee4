// HTTP server for callers, for the readiness check of the load balancer and for other nodes. A connection's requests
// are handled one after another, each once the answer to the previous one has been written, so answers leave in the
// order of their requests. To shut down, the owner drains the server, so that answers carry `Connection: close`, closes
// it, which also closes the idle connections, waits until no connection is open, and lastly answers what is still open.

package org.gypsumturn.transport

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
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
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.TimeUnit.NANOSECONDS

/** Answers a request by calling `reply` once, from any thread. Further calls of `reply` are ignored. */
public typealias RequestHandler = (request: ServedRequest, reply: (ServedAnswer) -> Unit) -> Unit

/** Why the connection of a request ends without a complete answer. */
public enum class UnansweredCause {
    /** The caller closed the connection, or the connection broke. */
    CLOSED_BY_CALLER,

    /** The handler failed, or another error occurred in this process. */
    FAILED,

    /** This process is about to end. */
    SHUTDOWN,
}

/** A request that was read [openMillis] ago and whose connection ends without a complete answer. */
public class UnansweredRequest(public val cause: UnansweredCause, public val openMillis: Long)

/**
 * Listens on [endpoint] and passes each request to [handler], on [loop]. A request with a body of more than
 * [maxBodyBytes] is not passed on. All state belongs to [loop].
 */
public class HttpServer(
    private val loop: EventLoop,
    private val endpoint: Endpoint,
    private val maxBodyBytes: Int,
    private val handler: RequestHandler,
) {
    private val connections = HashSet<Connection>()
    private var listenChannel: Channel? = null
    private var draining = false

    @Volatile
    private var closing = false

    /** Is told, on the event loop, each request that was read and whose connection ends without a complete answer. */
    @Volatile
    public var onUnanswered: (UnansweredRequest) -> Unit = {}

    /** Number of requests that were read and whose answers have not been written. */
    @Volatile
    public var requestsInFlight: Int = 0
        private set

    /** Number of connections that are open. */
    @Volatile
    public var openConnections: Int = 0
        private set

    /** Whether [close] has taken effect and no connection is open, so that no request is read any more. */
    public val isFinished: Boolean get() = closing && openConnections == 0

    /** Binds [endpoint] and starts to listen. Throws if the address cannot be bound, for example if it is in use. */
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
                            val connection = Connection(channel)
                            channel.pipeline().addLast(HttpServerCodec())
                            channel.pipeline().addLast(connection.boundaryListener)
                            channel.pipeline().addLast(HttpObjectAggregator(maxBodyBytes))
                            channel.pipeline().addLast(connection)
                        }
                    },
                )
        listenChannel = bootstrap.bind(endpoint.host, endpoint.port).syncUninterruptibly().channel()
    }

    /** From now on, each answer asks the peer to close its connection. New connections are still served. */
    public fun drain() {
        loop.execute { draining = true }
    }

    /**
     * Stops listening and closes the connections without an unanswered request. The others stay open until they are
     * answered, also those whose request has been received in part.
     */
    public fun close() {
        loop.execute {
            draining = true
            closing = true
            listenChannel?.close()
            connections.toList().forEach { it.closeIfIdle() }
        }
    }

    /**
     * Answers all open requests with [answer], whatever the handler replies later, and closes their connections. Closes
     * also the connections whose request has not been received completely. Called after [close], when there is no time
     * left.
     */
    public fun answerOpenRequests(answer: ServedAnswer) {
        loop.execute { connections.toList().forEach { it.answerOpenRequests(answer) } }
    }

    /**
     * Passes the requests that are open now to [onUnanswered] and returns them, as the process is about to end. Must
     * not be called on the event loop. Returns null if the loop is busy for [timeoutMillis].
     */
    public fun abandonOpenRequests(timeoutMillis: Long): List<UnansweredRequest>? {
        val abandoned = CompletableFuture<List<UnansweredRequest>?>().completeOnTimeout(
            null,
            timeoutMillis,
            MILLISECONDS,
        )
        loop.execute {
            abandoned.complete(
                connections.flatMap { it.unansweredRequests(UnansweredCause.SHUTDOWN) }.onEach(onUnanswered),
            )
        }
        return abandoned.get()
    }

    /** A request that was read. [keepAlive] tells whether its caller wants to go on using the connection. */
    private class OpenRequest(val request: ServedRequest, val keepAlive: Boolean) {
        private val readNanos = System.nanoTime()
        var isAnswered = false

        fun unanswered(cause: UnansweredCause) =
            UnansweredRequest(cause, NANOSECONDS.toMillis(System.nanoTime() - readNanos))
    }

    private inner class Connection(val channel: Channel) : SimpleChannelInboundHandler<FullHttpRequest>() {
        /** The requests that were read and whose answers have not been written. The first one is being handled. */
        private val openRequests = ArrayDeque<OpenRequest>()

        /** Whether the head of a request has been received and its body is incomplete. */
        private var isReceiving = false

        /** The answer to all requests, once there is no time left to handle them. */
        private var finalAnswer: ServedAnswer? = null

        /** Whether this side closes the connection because of an error. */
        private var hasFailed = false

        /** Notices where requests begin and end, before their parts are put together. */
        val boundaryListener = object : ChannelInboundHandlerAdapter() {
            override fun channelRead(context: ChannelHandlerContext, message: Any) {
                if (message is HttpRequest) isReceiving = true
                if (message is LastHttpContent) isReceiving = false
                context.fireChannelRead(message)
            }
        }

        override fun channelActive(context: ChannelHandlerContext) {
            connections += this
            openConnections = connections.size
            closeIfIdle()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            connections -= this
            openConnections = connections.size
            val cause = if (hasFailed) UnansweredCause.FAILED else UnansweredCause.CLOSED_BY_CALLER
            unansweredRequests(cause).forEach(onUnanswered)
            requestsInFlight -= openRequests.size
            openRequests.clear()
        }

        fun closeIfIdle() {
            if (closing && openRequests.isEmpty() && !isReceiving) channel.close()
        }

        /** Answers the open requests in their order, or closes the connection if it has none. */
        fun answerOpenRequests(answer: ServedAnswer) {
            finalAnswer = answer
            val first = openRequests.firstOrNull()
            if (first == null) channel.close() else reply(first, answer)
        }

        fun unansweredRequests(cause: UnansweredCause) = openRequests.map { it.unanswered(cause) }

        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpRequest) {
            if (!message.decoderResult().isSuccess) {
                channel.close()
                return
            }
            channel.config().isAutoRead = false
            val headers = message.headers().copy()
            val request =
                ServedRequest(
                    message.method().name(),
                    message.uri(),
                    headers.get(HttpHeaderNames.HOST).orEmpty(),
                    ByteBufUtil.getBytes(message.content()),
                ) { headers.getAll(it) }
            requestsInFlight++
            openRequests.addLast(OpenRequest(request, HttpUtil.isKeepAlive(message)))
            if (openRequests.size == 1) handleFirst()
        }

        private fun handleFirst() {
            val first = openRequests.first()
            val known = finalAnswer
            if (known != null) {
                reply(first, known)
                return
            }
            try {
                handler(first.request) { answer -> loop.execute { reply(first, answer) } }
            } catch (e: Exception) {
                log.error("the handler of {} {} failed", first.request.method, first.request.path, e)
                hasFailed = true
                channel.close()
            }
        }

        private fun reply(request: OpenRequest, answer: ServedAnswer) {
            if (request.isAnswered || openRequests.firstOrNull() !== request) return
            request.isAnswered = true
            val closesAfterwards = !request.keepAlive || (draining && openRequests.size == 1)
            val status = HttpResponseStatus.valueOf(answer.status)
            val message =
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(answer.body))
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
            HttpUtil.setContentLength(message, answer.body.size.toLong())
            answer.headers.forEach { (name, value) -> message.headers().set(name, value) }
            if (closesAfterwards) message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            channel.writeAndFlush(message).addListener { onWritten(it.isSuccess, closesAfterwards) }
        }

        private fun onWritten(isSuccess: Boolean, closesAfterwards: Boolean) {
            if (!isSuccess) {
                channel.close()
                return
            }
            openRequests.removeFirst()
            requestsInFlight--
            when {
                closesAfterwards -> channel.close()
                openRequests.isNotEmpty() -> handleFirst()
                closing && !isReceiving -> channel.close()
                else -> channel.config().isAutoRead = true
            }
        }

        @Deprecated("overrides a deprecated function of Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.debug("connection from {} failed and is closed: {}", channel.remoteAddress(), cause.message)
            if (cause !is IOException) hasFailed = true
            channel.close()
        }
    }

    private companion object {
        /** Most connections that may wait to be accepted. Callers reconnect in bursts after an outage. */
        const val ACCEPT_BACKLOG = 1_024
        val log = LoggerFactory.getLogger(HttpServer::class.java)
    }
}
