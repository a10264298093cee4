// HTTP client for calls to the platform, to executors and to other nodes. Connections are kept per address and lane
// and carry one exchange at a time. A connection whose exchange failed or timed out is closed and never used again,
// so that no answer is taken for that of another call.

package org.gypsumturn.transport

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Limits of a client.
 *
 * @property maxConnectionsPerLane connections to one address and lane; calls beyond wait in order
 * @property connectTimeoutMillis longest time for a connection to open
 * @property idleMillis an unused connection is closed after this time
 * @property maxAnswerBytes largest body that is accepted
 */
public data class HttpClientLimits(
    public val maxConnectionsPerLane: Int,
    public val connectTimeoutMillis: Int,
    public val idleMillis: Long,
    public val maxAnswerBytes: Int,
)

/** Sends calls on the connections that it keeps; all of its state belongs to [loop]. */
public class HttpClient(private val loop: EventLoop, private val limits: HttpClientLimits) {
    private val lanes = HashMap<Pair<Endpoint, String>, Lane>()

    /** Connections opened since the start. */
    @Volatile
    public var connectionsOpened: Long = 0
        private set

    /**
     * Sends [call] to [endpoint] and hands the verdict to [done] on the event loop, after [timeoutMillis] at the
     * latest. [Verdict.NotRun] means that nothing of the call left this process.
     */
    public fun send(
        endpoint: Endpoint,
        lane: String,
        call: HttpCall,
        timeoutMillis: Long,
        done: (Verdict<HttpAnswer>) -> Unit,
    ) {
        loop.execute {
            val pending = PendingCall(call, done)
            pending.timer =
                loop.schedule({ pending.expire() }, timeoutMillis, TimeUnit.MILLISECONDS)
            lanes.getOrPut(endpoint to lane) { Lane(endpoint, lane) }.submit(pending)
        }
    }

    /** Closes the connections to [endpoint], on which exchanges may still wait. */
    public fun forget(endpoint: Endpoint) {
        loop.execute {
            lanes.values.filter { it.endpoint == endpoint }.forEach { it.closeAll() }
        }
    }

    private inner class PendingCall(val call: HttpCall, private val done: (Verdict<HttpAnswer>) -> Unit) {
        var timer: ScheduledFuture<*>? = null
        var connection: Connection? = null
        var sent = false
        private var finished = false

        val isFinished: Boolean get() = finished

        fun finish(verdict: Verdict<HttpAnswer>) {
            if (finished) return
            finished = true
            timer?.cancel(false)
            done(verdict)
        }

        fun fail(kind: FailureKind, message: String) {
            val failure = Failure(kind, message)
            finish(if (sent) Verdict.MayHaveRun(failure) else Verdict.NotRun(failure))
        }

        fun expire() {
            val used = connection
            fail(FailureKind.TIMEOUT, "no answer in time")
            used?.channel?.close()
        }
    }

    private inner class Lane(val endpoint: Endpoint, private val name: String) {
        private val idle = ArrayDeque<Connection>()
        private val open = HashSet<Connection>()
        private val waiting = ArrayDeque<PendingCall>()
        private var connecting = 0

        fun submit(call: PendingCall) {
            while (true) {
                val connection = idle.removeLastOrNull() ?: break
                if (connection.channel.isActive) {
                    connection.exchange(call)
                    return
                }
            }
            waiting.addLast(call)
            if (open.size + connecting < limits.maxConnectionsPerLane && connecting < waiting.size) connect()
        }

        fun closeAll() {
            open.toList().forEach { it.channel.close() }
        }

        private fun connect() {
            connecting++
            val bootstrap =
                Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel::class.java)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMillis)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(
                        object : ChannelInitializer<Channel>() {
                            override fun initChannel(channel: Channel) {
                                channel.pipeline().addLast(HttpClientCodec())
                                channel.pipeline().addLast(HttpObjectAggregator(limits.maxAnswerBytes))
                            }
                        },
                    )
            bootstrap.connect(endpoint.host, endpoint.port).addListener(
                ChannelFutureListener { future ->
                    connecting--
                    if (future.isSuccess) opened(future.channel()) else refused(future.cause())
                },
            )
        }

        private fun opened(channel: Channel) {
            connectionsOpened++
            val connection = Connection(this, channel)
            open += connection
            channel.pipeline().addLast(connection)
            channel.closeFuture().addListener { closed(connection) }
            next(connection)
        }

        private fun refused(cause: Throwable) {
            val call = nextWaiting()
            call?.fail(FailureKind.UNREACHABLE, "cannot connect to $endpoint: ${cause.message}")
            if (waiting.isNotEmpty() && open.isEmpty() && connecting == 0) connect()
            dropIfUnused()
        }

        private fun closed(connection: Connection) {
            open -= connection
            idle.remove(connection)
            connection.lost()
            if (waiting.isNotEmpty() && connecting == 0) connect()
            dropIfUnused()
        }

        fun next(connection: Connection) {
            val call = nextWaiting()
            when {
                !connection.channel.isActive -> call?.let { submit(it) }

                call != null -> connection.exchange(call)

                else -> {
                    idle.addLast(connection)
                    connection.idleUntilUsed()
                }
            }
        }

        private fun nextWaiting(): PendingCall? {
            while (true) {
                val call = waiting.removeFirstOrNull() ?: return null
                if (!call.isFinished) return call
            }
        }

        private fun dropIfUnused() {
            if (open.isEmpty() && waiting.isEmpty() && connecting == 0) lanes.remove(endpoint to name, this)
        }

        fun takeIdle(connection: Connection): Boolean = idle.remove(connection)
    }

    private inner class Connection(private val lane: Lane, val channel: Channel) :
        SimpleChannelInboundHandler<FullHttpResponse>() {
        private var current: PendingCall? = null
        private var idleTimer: ScheduledFuture<*>? = null

        fun exchange(call: PendingCall) {
            idleTimer?.cancel(false)
            current = call
            call.connection = this
            val request = call.call
            val body = request.body
            val content = if (body == null) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body)
            val method = HttpMethod.valueOf(request.method)
            val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, request.path, content)
            message.headers().set(HttpHeaderNames.HOST, lane.endpoint.toString())
            if (body != null) {
                message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                HttpUtil.setContentLength(message, body.size.toLong())
            }
            request.headers.forEach { (name, value) -> message.headers().set(name, value) }
            call.sent = true
            channel.writeAndFlush(message).addListener { if (!it.isSuccess) channel.close() }
        }

        fun idleUntilUsed() {
            idleTimer =
                loop.schedule(
                    { if (lane.takeIdle(this)) channel.close() },
                    limits.idleMillis,
                    TimeUnit.MILLISECONDS,
                )
        }

        fun lost() {
            idleTimer?.cancel(false)
            current?.fail(FailureKind.BROKEN_ANSWER, "connection to ${lane.endpoint} broke")
            current = null
        }

        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpResponse) {
            val call = current ?: return
            current = null
            val keep = HttpUtil.isKeepAlive(message) && message.decoderResult().isSuccess
            if (message.decoderResult().isSuccess) {
                val answer = HttpAnswer(message.status().code(), ByteBufUtil.getBytes(message.content()))
                call.finish(Verdict.Ran(answer))
            } else {
                call.fail(FailureKind.BROKEN_ANSWER, "malformed answer")
            }
            if (keep) lane.next(this) else channel.close()
        }

        @Deprecated("Netty's signature")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            current?.fail(FailureKind.BROKEN_ANSWER, "connection to ${lane.endpoint} failed: ${cause.message}")
            current = null
            channel.close()
        }
    }
}
