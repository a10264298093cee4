// Handles one caller's connection. Answers are sent in the order of the requests. Pipelined requests run concurrently
// only while all of them have safe methods, as HTTP requires.

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

/**
 * Limits of a caller's connection.
 *
 * @property requestReadMillis longest time that one request may take to arrive
 * @property idleMillis time after which an unused connection is closed
 * @property answerWriteMillis longest time that writing one answer may take, after the previous answer was written
 * @property maxPipelined number of unanswered requests at which the connection stops reading
 */
internal data class CallerLimits(
    val requestReadMillis: Long,
    val idleMillis: Long,
    val answerWriteMillis: Long,
    val maxPipelined: Int,
)

/** Serves a [Route]. Returns a function that is called if the caller closes its connection before it has the answer. */
internal typealias RouteHandler = (route: Route, traceParent: String?, reply: (HttpAnswer) -> Unit) -> (() -> Unit)

/**
 * The last Netty handler of a caller's connection. Everything except [drain] runs on the connection's event loop.
 *
 * @param serve starts a request
 */
internal class CallerConnection(
    private val limits: CallerLimits,
    private val readProgress: ReadProgress,
    private val serve: RouteHandler,
    private val nowMillis: () -> Long,
) : ChannelInboundHandlerAdapter() {
    private class CallerRequest(
        val route: Route,
        val traceParent: String?,
        val method: String,
        val keepAlive: Boolean,
    ) {
        val safe = method in SAFE_METHODS
        var started = false
        var answer: HttpAnswer? = null
        var abandon: () -> Unit = {}
    }

    private val requests = ArrayDeque<CallerRequest>()
    private lateinit var context: ChannelHandlerContext
    private var closing = false
    private var lastRequestAccepted = false
    private var draining = false
    private var lastActiveMillis = 0L
    private var unwrittenAnswers = 0
    private var lastWriteProgressMillis = 0L

    /** Whether a request is unanswered or an answer is not fully written. */
    private val busy: Boolean get() = requests.isNotEmpty() || unwrittenAnswers > 0

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
        lastActiveMillis = nowMillis()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        scheduleTimeoutCheck()
        ctx.fireChannelActive()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            if (!closing && !lastRequestAccepted) acceptRequest(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        closing = true
        abandonUnanswered()
        ctx.fireChannelInactive()
    }

    @Deprecated("declared so by Netty", level = DeprecationLevel.WARNING)
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        log.debug("connection to a caller failed; closing it", cause)
        ctx.close()
    }

    /** Closes the connection after all requests that were received are answered. Callable from any thread. */
    fun drain() {
        context.executor().execute {
            draining = true
            if (!busy && !readProgress.isReceiving) context.close()
        }
    }

    private fun acceptRequest(message: Any) {
        readProgress.markComplete()
        lastActiveMillis = nowMillis()
        requests += when (message) {
            is FullHttpRequest ->
                CallerRequest(
                    routeOf(message),
                    message.headers().get(HeaderNames.TRACE_PARENT),
                    message.method().name(),
                    HttpUtil.isKeepAlive(message),
                )

            is Route.Rejected -> CallerRequest(message, null, "", false)

            else -> return
        }
        lastRequestAccepted = !requests.last().keepAlive
        if (requests.size >= limits.maxPipelined) context.channel().config().isAutoRead = false
        startEligibleRequests()
    }

    private fun startEligibleRequests() {
        var onlySafeBefore = true
        for ((position, request) in requests.toList().withIndex()) {
            val mayStart = position == 0 || (onlySafeBefore && request.safe)
            if (!mayStart) return
            if (!request.started) start(request)
            onlySafeBefore = onlySafeBefore && request.safe
        }
    }

    private fun start(request: CallerRequest) {
        request.started = true
        request.abandon = serve(request.route, request.traceParent) { answer ->
            context.executor().execute { onAnswer(request, answer) }
        }
    }

    private fun onAnswer(request: CallerRequest, answer: HttpAnswer) {
        if (request.answer != null) return
        request.answer = answer
        var written = false
        while (!closing) {
            val first = requests.firstOrNull() ?: break
            val ready = first.answer ?: break
            requests.removeFirst()
            writeAnswer(first, ready)
            written = true
        }
        if (!written || closing) return
        context.flush()
        if (requests.size < limits.maxPipelined) context.channel().config().isAutoRead = true
        startEligibleRequests()
    }

    private fun writeAnswer(request: CallerRequest, answer: HttpAnswer) {
        val isLast = requests.isEmpty()
        val close = !request.keepAlive || answer.closeAfter || (draining && isLast)
        val headOnly = request.method == "HEAD"
        val body = if (headOnly) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(answer.body)
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status), body)
        answer.headers.forEach { response.headers().add(it.name, it.value) }
        if (mayHaveBody(answer.status) && !(headOnly && response.headers().contains(HttpHeaderNames.CONTENT_LENGTH))) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body.size)
        }
        if (close) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (unwrittenAnswers == 0) lastWriteProgressMillis = nowMillis()
        unwrittenAnswers++
        closing = close
        val future = if (close) context.writeAndFlush(response) else context.write(response)
        future.addListener(ChannelFutureListener { onAnswerWritten() })
    }

    private fun onAnswerWritten() {
        lastActiveMillis = nowMillis()
        lastWriteProgressMillis = lastActiveMillis
        unwrittenAnswers--
        if (closing) closeAfterLinger()
    }

    private fun mayHaveBody(status: Int) = status != NO_CONTENT && status != NOT_MODIFIED

    // Closing a socket with unread input resets the connection, which could discard the answer before the caller reads
    // it. Therefore only the output is closed at first, and input is still read for LINGER_MILLIS.
    private fun closeAfterLinger() {
        abandonUnanswered()
        val channel = context.channel()
        channel.config().isAutoRead = true
        (channel as? SocketChannel)?.shutdownOutput()
        context.executor().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun abandonUnanswered() {
        val unanswered = requests.filter { it.started && it.answer == null }
        requests.clear()
        unanswered.forEach { it.abandon() }
    }

    private fun scheduleTimeoutCheck() {
        context.executor().schedule({ checkTimeouts() }, TIMEOUT_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun checkTimeouts() {
        if (!context.channel().isOpen) return
        val now = nowMillis()
        val receivingTooLong = readProgress.receivingMillis(now) > limits.requestReadMillis
        val writingTooLong = unwrittenAnswers > 0 && now - lastWriteProgressMillis > limits.answerWriteMillis
        val idleTooLong = !busy && !readProgress.isReceiving && now - lastActiveMillis > limits.idleMillis
        when {
            writingTooLong || idleTooLong -> context.close()
            receivingTooLong && !busy && !closing -> acceptRequest(SLOW_REQUEST_REJECTION)
            receivingTooLong && !busy -> context.close()
            draining && !busy && !readProgress.isReceiving && !closing -> context.close()
        }
        scheduleTimeoutCheck()
    }

    private companion object {
        val log = LoggerFactory.getLogger(CallerConnection::class.java)
        const val TIMEOUT_CHECK_INTERVAL_MILLIS = 250L
        const val LINGER_MILLIS = 1_000L
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
        val SLOW_REQUEST_REJECTION =
            rejected(HttpStatus.REQUEST_TIMEOUT, "the request did not arrive in time", true)
    }
}
