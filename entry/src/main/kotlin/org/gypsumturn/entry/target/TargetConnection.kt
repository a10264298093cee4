// One connection to a target. It carries one exchange at a time, and another one only after a whole answer with
// nothing behind it; after anything else it is closed, so a late answer can never reach another request.

package org.gypsumturn.entry.target

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.Future
import org.gypsumturn.entry.http.Header
import org.gypsumturn.entry.http.HeaderNames
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.HttpStatus
import org.gypsumturn.entry.http.endToEndHeaders
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.request.ExchangeResult
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/** The last handler of a connection to a target. All of it runs on the connection's event loop. */
internal class TargetConnection(
    private val decoder: AnswerDecoder,
    private val nowMillis: () -> Long,
    private val onReusable: (TargetConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var exchange: TargetExchange? = null
    private var response: HttpResponse? = null
    private val body = ByteArrayOutputStream()
    private var whole: HttpAnswer? = null
    private var received = false
    private var reusable = false
    private var timer: Future<*>? = null
    private lateinit var context: ChannelHandlerContext

    /** Time at which the last exchange ended. */
    var idleSinceMillis: Long = 0
        private set

    /** Whether a request can be written. */
    val usable: Boolean get() = context.channel().isActive && exchange == null

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Starts [next]; false if the connection turned out to be closed, and nothing was written. */
    fun begin(next: TargetExchange): Boolean {
        if (!usable) return false
        exchange = next
        received = false
        response = null
        whole = null
        body.reset()
        decoder.headRequest = next.request.method == "HEAD"
        val remaining = next.deadlineMillis - nowMillis()
        timer = context.executor().schedule({ timedOut(next) }, remaining, TimeUnit.MILLISECONDS)
        context.writeAndFlush(encoded(next.request)).addListener(
            ChannelFutureListener { if (!it.isSuccess && exchange === next) broken("the connection failed") },
        )
        return true
    }

    /** Closes the connection, which carries no exchange. */
    fun close() {
        context.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            received = true
            if (exchange == null || whole != null) ctx.close() else collect(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        val answer = whole
        if (answer != null) finish(answer) else closeIfUnexpected()
        ctx.fireChannelReadComplete()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        val answer = whole
        if (answer != null) finish(answer) else broken("the target closed the connection before the answer was whole")
        ctx.fireChannelInactive()
    }

    @Deprecated("declared so by Netty", level = DeprecationLevel.WARNING)
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        broken("the connection failed: ${cause.message}")
        ctx.close()
    }

    private fun collect(message: Any) {
        val failed = (message as? HttpResponse)?.decoderResult()?.isFailure == true ||
            (message as? HttpContent)?.decoderResult()?.isFailure == true
        if (failed) return broken("the answer is malformed")
        if (message is HttpResponse) collectHead(message)
        if (message is HttpContent && exchange != null) collectBody(message)
    }

    private fun collectHead(head: HttpResponse) {
        if (head.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) return broken("the target switched protocols")
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
        if (!endIsMarked(head)) return broken("the answer does not mark its end")
        if (HttpUtil.getContentLength(head, 0L) > maxBytes() && !decoder.headRequest) return tooLarge()
        response = head
    }

    private fun collectBody(part: HttpContent) {
        val head = response ?: return
        if (body.size() + part.content().readableBytes() > maxBytes()) return tooLarge()
        part.content().readBytes(body, part.content().readableBytes())
        if (part !is LastHttpContent) return
        val headers = endToEndHeaders(head.headers(), DROPPED_FROM_TARGET).toMutableList()
        val length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH)
        if (decoder.headRequest && length != null) headers += Header("Content-Length", length)
        whole = HttpAnswer(head.status().code(), headers, body.toByteArray())
        reusable = HttpUtil.isKeepAlive(head)
    }

    private fun endIsMarked(head: HttpResponse): Boolean {
        val status = head.status().code()
        val withoutBody = decoder.headRequest || status == NO_CONTENT || status == NOT_MODIFIED
        return withoutBody || HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head)
    }

    private fun finish(answer: HttpAnswer) {
        val ended = takeExchange() ?: return
        whole = null
        val overloaded = answer.status == HttpStatus.UNAVAILABLE &&
            response?.headers()?.get(HeaderNames.OVERLOADED).equals("true", ignoreCase = true)
        idleSinceMillis = nowMillis()
        val clean = reusable && decoder.leftoverBytes == 0 && context.channel().isActive
        if (!clean) context.close()
        ended.onEnd(ExchangeEnd(ExchangeResult.Answered(answer.status, overloaded), answer))
        if (clean) onReusable(this)
    }

    private fun closeIfUnexpected() {
        if (exchange == null && decoder.leftoverBytes > 0) context.close()
    }

    private fun timedOut(late: TargetExchange) {
        if (exchange !== late) return
        val failure = Failure(FailureKind.TIMEOUT, "the target did not answer in time")
        giveUp(ExchangeResult.Unanswered(failure, silent = !received))
    }

    private fun tooLarge() = broken("the answer is larger than ${maxBytes()} bytes")

    private fun broken(message: String) {
        giveUp(ExchangeResult.Unanswered(Failure(FailureKind.BROKEN_ANSWER, message), silent = false))
    }

    private fun giveUp(result: ExchangeResult) {
        val ended = takeExchange()
        context.close()
        ended?.onEnd?.invoke(ExchangeEnd(result))
    }

    private fun takeExchange(): TargetExchange? {
        val ended = exchange
        exchange = null
        timer?.cancel(false)
        timer = null
        return ended
    }

    private fun maxBytes(): Int = exchange?.maxAnswerBytes ?: 0

    private fun encoded(request: TargetRequest): DefaultFullHttpRequest {
        val content = Unpooled.wrappedBuffer(request.body)
        val method = HttpMethod.valueOf(request.method)
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, request.uri, content)
        request.headers.forEach { message.headers().add(it.name, it.value) }
        if (request.body.isNotEmpty() || request.method !in BODILESS_METHODS) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        return message
    }

    private companion object {
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
        val DROPPED_FROM_TARGET = setOf("x-verdict", "x-overloaded")
        val BODILESS_METHODS = setOf("GET", "HEAD", "OPTIONS", "DELETE")
    }
}
