// One connection to a target. It carries one exchange at a time and is reused only after a complete answer without
// further bytes behind it. In all other cases it is closed, so that a late answer can never reach another request.

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

/**
 * The last Netty handler of a connection to a target. Everything here runs on the connection's event loop.
 *
 * @param onReusable called when an exchange has ended and the connection can carry another one
 */
internal class TargetConnection(
    private val decoder: AnswerDecoder,
    private val nowMillis: () -> Long,
    private val onReusable: (TargetConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var exchange: TargetExchange? = null
    private var response: HttpResponse? = null
    private val body = ByteArrayOutputStream()
    private var completeAnswer: HttpAnswer? = null
    private var receivedAnything = false
    private var reusable = false
    private var timer: Future<*>? = null
    private lateinit var context: ChannelHandlerContext

    /** Time on the monotonic clock at which the last exchange ended. */
    var idleSinceMillis: Long = 0
        private set

    /** Whether the connection is open and carries no exchange. */
    val isUsable: Boolean get() = context.channel().isActive && exchange == null

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Starts [next]. Returns false, and writes nothing, if the connection is closed or in use. */
    fun startExchange(next: TargetExchange): Boolean {
        if (!isUsable) return false
        exchange = next
        receivedAnything = false
        response = null
        completeAnswer = null
        body.reset()
        decoder.headRequest = next.request.method == "HEAD"
        val remainingMillis = next.deadlineMillis - nowMillis()
        timer = context.executor().schedule({ onTimeout(next) }, remainingMillis, TimeUnit.MILLISECONDS)
        context.writeAndFlush(encodeRequest(next.request)).addListener(
            ChannelFutureListener { if (!it.isSuccess && exchange === next) fail("the connection failed") },
        )
        return true
    }

    /** Closes the connection. To be called only while it carries no exchange. */
    fun close() {
        context.close()
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            receivedAnything = true
            if (exchange == null || completeAnswer != null) ctx.close() else collectPart(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        val answer = completeAnswer
        if (answer != null) succeed(answer) else closeOnUnexpectedBytes()
        ctx.fireChannelReadComplete()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        val answer = completeAnswer
        if (answer != null) succeed(answer) else fail("the target closed the connection before the answer was whole")
        ctx.fireChannelInactive()
    }

    @Deprecated("declared so by Netty", level = DeprecationLevel.WARNING)
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        fail("the connection failed: ${cause.message}")
        ctx.close()
    }

    private fun collectPart(message: Any) {
        val malformed = (message as? HttpResponse)?.decoderResult()?.isFailure == true ||
            (message as? HttpContent)?.decoderResult()?.isFailure == true
        if (malformed) return fail("the answer is malformed")
        if (message is HttpResponse) collectHead(message)
        if (message is HttpContent && exchange != null) collectBody(message)
    }

    private fun collectHead(head: HttpResponse) {
        if (head.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) return fail("the target switched protocols")
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
        if (!marksItsEnd(head)) return fail("the answer does not mark its end")
        if (HttpUtil.getContentLength(head, 0L) > maxAnswerBytes() && !decoder.headRequest) return failTooLarge()
        response = head
    }

    private fun collectBody(part: HttpContent) {
        val head = response ?: return
        if (body.size() + part.content().readableBytes() > maxAnswerBytes()) return failTooLarge()
        part.content().readBytes(body, part.content().readableBytes())
        if (part !is LastHttpContent) return
        val headers = endToEndHeaders(head.headers(), HEADERS_NOT_FORWARDED).toMutableList()
        val length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH)
        if (decoder.headRequest && length != null) headers += Header("Content-Length", length)
        completeAnswer = HttpAnswer(head.status().code(), headers, body.toByteArray())
        reusable = HttpUtil.isKeepAlive(head)
    }

    private fun marksItsEnd(head: HttpResponse): Boolean {
        val status = head.status().code()
        val withoutBody = decoder.headRequest || status == NO_CONTENT || status == NOT_MODIFIED
        return withoutBody || HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head)
    }

    private fun succeed(answer: HttpAnswer) {
        val finished = clearExchange() ?: return
        completeAnswer = null
        val overloaded = answer.status == HttpStatus.UNAVAILABLE &&
            response?.headers()?.get(HeaderNames.OVERLOADED).equals("true", ignoreCase = true)
        idleSinceMillis = nowMillis()
        val isReusable = reusable && decoder.leftoverBytes == 0 && context.channel().isActive
        if (!isReusable) context.close()
        finished.onResult(ExchangeOutcome(ExchangeResult.Answered(answer.status, overloaded), answer))
        if (isReusable) onReusable(this)
    }

    private fun closeOnUnexpectedBytes() {
        if (exchange == null && decoder.leftoverBytes > 0) context.close()
    }

    private fun onTimeout(expired: TargetExchange) {
        if (exchange !== expired) return
        val failure = Failure(FailureKind.TIMEOUT, "the target did not answer in time")
        endUnanswered(ExchangeResult.Unanswered(failure, silent = !receivedAnything))
    }

    private fun failTooLarge() = fail("the answer is larger than ${maxAnswerBytes()} bytes")

    private fun fail(message: String) {
        endUnanswered(ExchangeResult.Unanswered(Failure(FailureKind.BROKEN_ANSWER, message), silent = false))
    }

    private fun endUnanswered(result: ExchangeResult) {
        val finished = clearExchange()
        context.close()
        finished?.onResult?.invoke(ExchangeOutcome(result))
    }

    private fun clearExchange(): TargetExchange? {
        val finished = exchange
        exchange = null
        timer?.cancel(false)
        timer = null
        return finished
    }

    private fun maxAnswerBytes(): Int = exchange?.maxAnswerBytes ?: 0

    private fun encodeRequest(request: TargetRequest): DefaultFullHttpRequest {
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
        val HEADERS_NOT_FORWARDED = setOf("x-verdict", "x-overloaded")
        val BODILESS_METHODS = setOf("GET", "HEAD", "OPTIONS", "DELETE")
    }
}
