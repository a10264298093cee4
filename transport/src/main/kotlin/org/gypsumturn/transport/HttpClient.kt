// HTTP client for calls to the platform, to executors and to other nodes. It keeps connections open for each address
// and lane; a connection carries one exchange at a time. A connection whose exchange failed or timed out is closed and
// not reused: a late answer on it could otherwise be taken for the answer to the next call.

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
 * Limits of an [HttpClient].
 *
 * @property maxConnectionsPerLane most connections to one address in one lane; further calls wait in the order in which
 * they were sent
 * @property connectTimeoutMillis time after which an attempt to open a connection fails
 * @property idleMillis time after which an unused connection is closed
 * @property maxAnswerBytes largest body of an answer; a call with a larger answer fails
 */
public data class HttpClientLimits(
    public val maxConnectionsPerLane: Int,
    public val connectTimeoutMillis: Int,
    public val idleMillis: Long,
    public val maxAnswerBytes: Int,
)

/**
 * Sends HTTP calls and reuses its connections.
 *
 * A lane is a named set of connections to one address. Calls in different lanes never wait for each other, so a long
 * poll in a lane of its own does not delay other calls to the same address.
 *
 * All state belongs to [loop]. The public functions may be called from any thread.
 */
public class HttpClient(private val loop: EventLoop, private val limits: HttpClientLimits) {
    private val lanes = HashMap<Pair<Endpoint, String>, Lane>()

    /** Number of connections opened since this client was created. */
    @Volatile
    public var connectionsOpened: Long = 0
        private set

    /**
     * Sends [call] to [endpoint] on a connection of [lane]. Calls [onVerdict] once on the event loop, after
     * [timeoutMillis] at the latest; the timeout begins with this function and includes the time that the call waits
     * for the event loop and for a connection. No call is sent after its timeout, also if the process was suspended.
     *
     * The verdict is [Verdict.Ran] for every complete answer, whatever its status code, and [Verdict.NotRun] if no part
     * of the call was sent. It is [Verdict.MayHaveRun] if the call was sent and the connection failed, the answer was
     * malformed or no answer came in time.
     */
    public fun send(
        endpoint: Endpoint,
        lane: String,
        call: HttpCall,
        timeoutMillis: Long,
        onVerdict: (Verdict<HttpAnswer>) -> Unit,
    ) {
        val pending = PendingCall(call, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis), onVerdict)
        loop.execute {
            if (pending.hasExpired()) return@execute
            pending.timer = loop.schedule({ pending.expire() }, pending.remainingNanos, TimeUnit.NANOSECONDS)
            lanes.getOrPut(endpoint to lane) { Lane(endpoint, lane) }.submit(pending)
        }
    }

    /** Closes all connections to [endpoint]. Calls that wait for an answer on them end with [Verdict.MayHaveRun]. */
    public fun closeConnections(endpoint: Endpoint) {
        loop.execute {
            lanes.values.filter { it.endpoint == endpoint }.forEach { it.closeAll() }
        }
    }

    private inner class PendingCall(
        val call: HttpCall,
        private val deadlineNanos: Long,
        private val onVerdict: (Verdict<HttpAnswer>) -> Unit,
    ) {
        var timer: ScheduledFuture<*>? = null
        var connection: Connection? = null
        var sent = false
        private var finished = false

        val remainingNanos: Long get() = deadlineNanos - System.nanoTime()

        /**
         * Whether the call must not be sent any more. Its timer alone does not tell: an event loop that was held up
         * handles answers, which free connections, before timers.
         */
        fun hasExpired(): Boolean {
            if (!finished && remainingNanos <= 0) expire()
            return finished
        }

        fun finish(verdict: Verdict<HttpAnswer>) {
            if (finished) return
            finished = true
            timer?.cancel(false)
            onVerdict(verdict)
        }

        fun fail(kind: FailureKind, message: String) {
            val failure = Failure(kind, message)
            finish(if (sent) Verdict.MayHaveRun(failure) else Verdict.NotRun(failure))
        }

        fun expire() {
            val usedConnection = connection
            fail(FailureKind.TIMEOUT, "no answer within the timeout of the call")
            usedConnection?.channel?.close()
        }
    }

    private inner class Lane(val endpoint: Endpoint, private val name: String) {
        private val idle = ArrayDeque<Connection>()

        /** All connections of the lane, idle or not. */
        private val open = HashSet<Connection>()
        private val waiting = ArrayDeque<PendingCall>()

        /** Number of connections that are being opened. */
        private var connecting = 0

        fun submit(call: PendingCall) {
            while (true) {
                val connection = idle.removeLastOrNull() ?: break
                if (connection.channel.isActive) {
                    connection.startExchange(call)
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
                    if (future.isSuccess) onConnected(future.channel()) else onConnectFailed(future.cause())
                },
            )
        }

        private fun onConnected(channel: Channel) {
            connectionsOpened++
            val connection = Connection(this, channel)
            open += connection
            channel.pipeline().addLast(connection)
            channel.closeFuture().addListener { onClosed(connection) }
            startNextCall(connection)
        }

        private fun onConnectFailed(cause: Throwable) {
            val call = takeNextWaitingCall()
            call?.fail(FailureKind.UNREACHABLE, "cannot connect to $endpoint: ${cause.message}")
            if (waiting.isNotEmpty() && open.isEmpty() && connecting == 0) connect()
            removeIfUnused()
        }

        private fun onClosed(connection: Connection) {
            open -= connection
            idle.remove(connection)
            connection.onClosed()
            if (waiting.isNotEmpty() && connecting == 0) connect()
            removeIfUnused()
        }

        fun startNextCall(connection: Connection) {
            val call = takeNextWaitingCall()
            when {
                !connection.channel.isActive -> call?.let { submit(it) }

                call != null -> connection.startExchange(call)

                else -> {
                    idle.addLast(connection)
                    connection.startIdleTimer()
                }
            }
        }

        private fun takeNextWaitingCall(): PendingCall? {
            while (true) {
                val call = waiting.removeFirstOrNull() ?: return null
                if (!call.hasExpired()) return call
            }
        }

        private fun removeIfUnused() {
            if (open.isEmpty() && waiting.isEmpty() && connecting == 0) lanes.remove(endpoint to name, this)
        }

        fun removeFromIdle(connection: Connection): Boolean = idle.remove(connection)
    }

    private inner class Connection(private val lane: Lane, val channel: Channel) :
        SimpleChannelInboundHandler<FullHttpResponse>() {
        private var currentCall: PendingCall? = null
        private var idleTimer: ScheduledFuture<*>? = null

        fun startExchange(call: PendingCall) {
            idleTimer?.cancel(false)
            currentCall = call
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

        fun startIdleTimer() {
            idleTimer =
                loop.schedule(
                    { if (lane.removeFromIdle(this)) channel.close() },
                    limits.idleMillis,
                    TimeUnit.MILLISECONDS,
                )
        }

        fun onClosed() {
            idleTimer?.cancel(false)
            currentCall?.fail(FailureKind.BROKEN_ANSWER, "connection to ${lane.endpoint} closed before its answer")
            currentCall = null
        }

        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpResponse) {
            val call = currentCall ?: return
            currentCall = null
            val keepAlive = HttpUtil.isKeepAlive(message) && message.decoderResult().isSuccess
            if (message.decoderResult().isSuccess) {
                val answer = HttpAnswer(message.status().code(), ByteBufUtil.getBytes(message.content()))
                call.finish(Verdict.Ran(answer))
            } else {
                call.fail(FailureKind.BROKEN_ANSWER, "malformed HTTP answer")
            }
            if (keepAlive) lane.startNextCall(this) else channel.close()
        }

        @Deprecated("overrides a deprecated function of Netty")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            currentCall?.fail(FailureKind.BROKEN_ANSWER, "connection to ${lane.endpoint} failed: ${cause.message}")
            currentCall = null
            channel.close()
        }
    }
}
