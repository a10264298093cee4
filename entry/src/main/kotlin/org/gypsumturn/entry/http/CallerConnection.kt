// One caller's connection: requests in, answers out in the order of the requests. Requests that follow each other
// without waiting run side by side only while all of them are safe, as HTTP asks.

package org.gypsumturn.entry.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/** Limits of a caller's connection, in milliseconds. */
internal data class CallerLimits(
    val requestReadMillis: Long,
    val idleMillis: Long,
    val answerWriteMillis: Long,
    val maxPipelined: Int,
)

/** Serves [Route]s. The result is called when the caller leaves before its answer. */
internal typealias RouteHandler = (route: Route, traceParent: String?, reply: (HttpAnswer) -> Unit) -> (() -> Unit)

/** The last handler of a caller's connection. All of it runs on the connection's event loop. */
internal class CallerConnection(
    private val limits: CallerLimits,
    private val progress: ReadProgress,
    private val serve: RouteHandler,
    private val nowMillis: () -> Long,
) : ChannelInboundHandlerAdapter() {
    private class Exchange(val route: Route, val traceParent: String?, val method: String, val keepAlive: Boolean) {
        val safe = method in SAFE_METHODS
        var started = false
        var answer: HttpAnswer? = null
        var abandon: () -> Unit = {}
    }

    private val exchanges = ArrayDeque<Exchange>()
    private lateinit var context: ChannelHandlerContext
    private var closing = false
    private var lastAccepted = false
    private var draining = false
    private var lastActiveMillis = 0L
    private var unwritten = 0
    private var writeProgressMillis = 0L

    /** Whether a request is being run or answered. */
    private val busy: Boolean get() = exchanges.isNotEmpty() || unwritten > 0

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
        lastActiveMillis = nowMillis()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        scheduleCheck()
        ctx.fireChannelActive()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            if (!closing && !lastAccepted) accept(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        closing = true
        abandonRest()
        ctx.fireChannelInactive()
    }

    @Deprecated("declared so by Netty", level = DeprecationLevel.WARNING)
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        log.debug("a caller's connection failed", cause)
        ctx.close()
    }

    /** Closes the connection once everything that was received has its answer. Callable from any thread. */
    fun drain() {
        context.executor().execute {
            draining = true
            if (!busy && !progress.receiving) context.close()
        }
    }

    private fun accept(message: Any) {
        progress.complete()
        lastActiveMillis = nowMillis()
        exchanges += when (message) {
            is FullHttpRequest ->
                Exchange(
                    routeOf(message),
                    message.headers().get(HeaderNames.TRACE_PARENT),
                    message.method().name(),
                    HttpUtil.isKeepAlive(message),
                )

            is Route.Rejected -> Exchange(message, null, "", false)

            else -> return
        }
        lastAccepted = !exchanges.last().keepAlive
        if (exchanges.size >= limits.maxPipelined) context.channel().config().isAutoRead = false
        startWhatMay()
    }

    private fun startWhatMay() {
        var onlySafeBefore = true
        for ((position, exchange) in exchanges.toList().withIndex()) {
            val mayStart = position == 0 || (onlySafeBefore && exchange.safe)
            if (!mayStart) return
            if (!exchange.started) start(exchange)
            onlySafeBefore = onlySafeBefore && exchange.safe
        }
    }

    private fun start(exchange: Exchange) {
        exchange.started = true
        exchange.abandon = serve(exchange.route, exchange.traceParent) { answer ->
            context.executor().execute { answered(exchange, answer) }
        }
    }

    private fun answered(exchange: Exchange, answer: HttpAnswer) {
        if (exchange.answer != null) return
        exchange.answer = answer
        var written = false
        while (!closing) {
            val first = exchanges.firstOrNull() ?: break
            val ready = first.answer ?: break
            exchanges.removeFirst()
            write(first, ready)
            written = true
        }
        if (!written || closing) return
        context.flush()
        if (exchanges.size < limits.maxPipelined) context.channel().config().isAutoRead = true
        startWhatMay()
    }

    private fun write(exchange: Exchange, answer: HttpAnswer) {
        val isLast = exchanges.isEmpty()
        val close = !exchange.keepAlive || answer.closeAfter || (draining && isLast)
        val headOnly = exchange.method == "HEAD"
        val body = if (headOnly) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(answer.body)
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status), body)
        answer.headers.forEach { response.headers().add(it.name, it.value) }
        if (mayHaveBody(answer.status) && !(headOnly && response.headers().contains(HttpHeaderNames.CONTENT_LENGTH))) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body.size)
        }
        if (close) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (unwritten == 0) writeProgressMillis = nowMillis()
        unwritten++
        closing = close
        val future = if (close) context.writeAndFlush(response) else context.write(response)
        future.addListener(ChannelFutureListener { writtenOut() })
    }

    private fun writtenOut() {
        lastActiveMillis = nowMillis()
        writeProgressMillis = lastActiveMillis
        unwritten--
        if (closing) closeGently()
    }

    private fun mayHaveBody(status: Int) = status != NO_CONTENT && status != NOT_MODIFIED

    // A close with unread input would reset the connection and could destroy the answer on its way to the caller.
    private fun closeGently() {
        abandonRest()
        val channel = context.channel()
        channel.config().isAutoRead = true
        (channel as? SocketChannel)?.shutdownOutput()
        context.executor().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun abandonRest() {
        val left = exchanges.filter { it.started && it.answer == null }
        exchanges.clear()
        left.forEach { it.abandon() }
    }

    private fun scheduleCheck() {
        context.executor().schedule({ check() }, CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun check() {
        if (!context.channel().isOpen) return
        val now = nowMillis()
        val receivingTooLong = progress.receivingMillis(now) > limits.requestReadMillis
        val writingTooLong = unwritten > 0 && now - writeProgressMillis > limits.answerWriteMillis
        val idleTooLong = !busy && !progress.receiving && now - lastActiveMillis > limits.idleMillis
        when {
            writingTooLong || idleTooLong -> context.close()
            receivingTooLong && !busy && !closing -> accept(SLOW_REQUEST)
            receivingTooLong && !busy -> context.close()
            draining && !busy && !progress.receiving && !closing -> context.close()
        }
        scheduleCheck()
    }

    private companion object {
        val log = LoggerFactory.getLogger(CallerConnection::class.java)
        const val CHECK_MILLIS = 250L
        const val LINGER_MILLIS = 1_000L
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
        val SLOW_REQUEST = rejected(HttpStatus.REQUEST_TIMEOUT, "the request did not arrive in time", true)
    }
}
