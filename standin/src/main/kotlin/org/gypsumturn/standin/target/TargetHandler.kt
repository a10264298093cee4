// Handles the requests on one connection to a simulated executor. A request occupies a slot for its service time. The
// answer repeats the content of the request, so that a caller can detect an answer to another request.

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

/** Headers that targets read or set. */
internal object TargetHeaders {
    const val REQUEST_ID = "X-Request-Id"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val WORK_MILLIS = "X-Work-Millis"
    const val OVERLOADED = "X-Overloaded"
}

/** A request that runs. [payload] is the body of its answer; [keepAlive] is false if the connection closes after it. */
private class RunningRequest(val run: Run, val payload: ByteArray, val keepAlive: Boolean, val span: Span)

/**
 * Functions that a target calls.
 *
 * @property currentFault returns the active fault of the target
 * @property drawWorkMillis draws the service time of a request that specifies none
 * @property startSpan starts the span of an execution, as a child of the span in the request's headers
 * @property countRequest counts a request; `accepted` is false if no slot was free
 */
internal class TargetCallbacks(
    val currentFault: () -> InstanceFault,
    val drawWorkMillis: () -> Long,
    val startSpan: (HttpHeaders) -> Span,
    val countRequest: (accepted: Boolean) -> Unit,
)

/** Handles one connection without HTTP pipelining: a request that arrives before the last answer closes it. */
internal class TargetHandler(private val target: Target, private val callbacks: TargetCallbacks) :
    SimpleChannelInboundHandler<FullHttpRequest>() {
    private var isBusy = false

    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        if (isBusy || target.isRefusing) {
            context.close()
            return
        }
        val run = target.startRun(keyOf(request.headers()))
        callbacks.countRequest(run != null)
        if (run == null) refuseOverloaded(context, HttpUtil.isKeepAlive(request)) else execute(context, request, run)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private fun execute(context: ChannelHandlerContext, request: FullHttpRequest, run: Run) {
        isBusy = true
        val payload = payloadOf(request, run)
        val runningRequest =
            RunningRequest(run, payload, HttpUtil.isKeepAlive(request), callbacks.startSpan(request.headers()))
        val fault = callbacks.currentFault()
        if (fault == InstanceFault.NEVER_RETURN) return
        val requestedWorkMillis = request.headers().get(TargetHeaders.WORK_MILLIS)?.toLongOrNull()
        val factor = if (fault == InstanceFault.SLOW) SLOW_FACTOR else 1
        val workMillis = (requestedWorkMillis ?: callbacks.drawWorkMillis()).coerceAtLeast(0) * factor
        context.executor().schedule({ finish(context, runningRequest) }, workMillis, TimeUnit.MILLISECONDS)
    }

    private fun finish(context: ChannelHandlerContext, runningRequest: RunningRequest) {
        val completed = target.endRun(runningRequest.run)
        runningRequest.span.end()
        isBusy = false
        if (!completed) return
        when (callbacks.currentFault()) {
            InstanceFault.CUT -> cutAnswer(context, runningRequest)
            InstanceFault.ERROR -> answer(context, HttpResponseStatus.INTERNAL_SERVER_ERROR, runningRequest)
            else -> answer(context, HttpResponseStatus.OK, runningRequest)
        }
    }

    private fun answer(context: ChannelHandlerContext, status: HttpResponseStatus, runningRequest: RunningRequest) {
        val content = Unpooled.wrappedBuffer(runningRequest.payload)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        send(context, response, runningRequest.keepAlive)
    }

    private fun cutAnswer(context: ChannelHandlerContext, runningRequest: RunningRequest) {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        HttpUtil.setContentLength(head, runningRequest.payload.size.toLong())
        context.write(head)
        val half = Unpooled.wrappedBuffer(runningRequest.payload, 0, runningRequest.payload.size / 2)
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
