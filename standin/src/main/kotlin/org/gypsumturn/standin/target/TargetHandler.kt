// Handles the requests of one connection to a target: takes a slot, waits for the service time, answers with what was
// asked, so that the caller can tell its own answer from another's.

package org.gypsumturn.standin.target

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.opentelemetry.api.trace.Span
import org.gypsumturn.standin.fault.InstanceFault
import org.gypsumturn.standin.fault.SLOW_FACTOR
import java.util.concurrent.TimeUnit

/** Headers that the targets know. */
internal object TargetHeaders {
    const val REQUEST_ID = "X-Request-Id"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val WORK_MILLIS = "X-Work-Millis"
    const val OVERLOADED = "X-Overloaded"
}

/** A request that runs, and what its answer needs. */
private class Exchange(val run: Run, val payload: ByteArray, val keepAlive: Boolean, val span: Span)

/**
 * What a target needs of its surroundings.
 *
 * @property fault the fault in force
 * @property drawWorkMillis service time of a request that names none
 * @property startSpan starts the span of an execution, as a child of the caller's
 * @property count counts a request, and whether it was accepted
 */
internal class TargetPorts(
    val fault: () -> InstanceFault,
    val drawWorkMillis: () -> Long,
    val startSpan: (HttpHeaders) -> Span,
    val count: (accepted: Boolean) -> Unit,
)

/** Handles one connection, one exchange at a time; a request that comes before the last answer closes it. */
internal class TargetHandler(private val target: Target, private val ports: TargetPorts) :
    SimpleChannelInboundHandler<FullHttpRequest>() {
    private var busy = false

    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        if (busy || target.isRefusing) {
            context.close()
            return
        }
        val run = target.begin(keyOf(request.headers()))
        ports.count(run != null)
        if (run == null) refuseOverloaded(context, HttpUtil.isKeepAlive(request)) else execute(context, request, run)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun execute(context: ChannelHandlerContext, request: FullHttpRequest, run: Run) {
        busy = true
        val payload = payloadOf(request, run)
        val exchange = Exchange(run, payload, HttpUtil.isKeepAlive(request), ports.startSpan(request.headers()))
        val current = ports.fault()
        if (current == InstanceFault.NEVER_RETURN) return
        val asked = request.headers().get(TargetHeaders.WORK_MILLIS)?.toLongOrNull()
        val factor = if (current == InstanceFault.SLOW) SLOW_FACTOR else 1
        val workMillis = (asked ?: ports.drawWorkMillis()).coerceAtLeast(0) * factor
        context.executor().schedule({ finish(context, exchange) }, workMillis, TimeUnit.MILLISECONDS)
    }

    private fun finish(context: ChannelHandlerContext, exchange: Exchange) {
        val whole = target.end(exchange.run)
        exchange.span.end()
        busy = false
        if (!whole) return
        when (ports.fault()) {
            InstanceFault.CUT -> cutAnswer(context, exchange)
            InstanceFault.ERROR -> answer(context, HttpResponseStatus.INTERNAL_SERVER_ERROR, exchange)
            else -> answer(context, HttpResponseStatus.OK, exchange)
        }
    }

    private fun answer(context: ChannelHandlerContext, status: HttpResponseStatus, exchange: Exchange) {
        val content = Unpooled.wrappedBuffer(exchange.payload)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        send(context, response, exchange.keepAlive)
    }

    private fun cutAnswer(context: ChannelHandlerContext, exchange: Exchange) {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        HttpUtil.setContentLength(head, exchange.payload.size.toLong())
        context.write(head)
        val half = Unpooled.wrappedBuffer(exchange.payload, 0, exchange.payload.size / 2)
        context.writeAndFlush(DefaultHttpContent(half)).addListener(ChannelFutureListener.CLOSE)
    }

    private fun refuseOverloaded(context: ChannelHandlerContext, keepAlive: Boolean) {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE)
        response.headers().set(TargetHeaders.OVERLOADED, "true")
        send(context, response, keepAlive)
    }

    private fun send(context: ChannelHandlerContext, response: DefaultFullHttpResponse, keepAlive: Boolean) {
        HttpUtil.setContentLength(response, response.content().readableBytes().toLong())
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        HttpUtil.setKeepAlive(response, keepAlive)
        val written = context.writeAndFlush(response)
        if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
    }

    private fun keyOf(headers: HttpHeaders): String =
        headers.get(TargetHeaders.IDEMPOTENCY_KEY) ?: headers.get(TargetHeaders.REQUEST_ID) ?: "unnamed"

    private fun payloadOf(request: FullHttpRequest, run: Run): ByteArray {
        val id = request.headers().get(TargetHeaders.REQUEST_ID).orEmpty()
        val body = request.content().toString(Charsets.UTF_8)
        val path = request.uri()
        return "request=$id\nkey=${run.key}\npath=$path\ninstance=${target.id}\nbody=$body\n".toByteArray()
    }
}
