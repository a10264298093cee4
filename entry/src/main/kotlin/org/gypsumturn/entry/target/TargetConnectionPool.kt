// The connections of this entry to one target. A pool and all its connections run on the same event loop.

package org.gypsumturn.entry.target

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.gypsumturn.model.Address
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.request.ExchangeResult

/**
 * Limits of connections to targets.
 *
 * @property connectMillis longest time that opening a connection may take
 * @property idleMillis time after which an unused connection is closed
 * @property maxLineBytes largest status line of an answer, in bytes
 * @property maxHeaderBytes largest header of an answer, in bytes
 */
internal data class TargetLimits(
    val connectMillis: Long,
    val idleMillis: Long,
    val maxLineBytes: Int,
    val maxHeaderBytes: Int,
)

/** Carries out exchanges with the target at [address]. All functions must be called on [loop]. */
internal class TargetConnectionPool(
    private val loop: EventLoop,
    private val address: Address,
    private val limits: TargetLimits,
    private val nowMillis: () -> Long,
    private val mayWrite: () -> Boolean,
) {
    private val idle = ArrayDeque<TargetConnection>()
    private var open = 0
    private var closing = false

    /**
     * Starts [exchange] on an idle connection, or on a new one if the number of connections allows it. Otherwise the
     * exchange ends as not sent.
     */
    fun send(exchange: TargetExchange) {
        if (exchange.deadlineMillis <= nowMillis()) {
            failNotSent(exchange, FailureKind.TIMEOUT, "the deadline passed before the request was sent")
            return
        }
        if (!mayWrite()) {
            failNotSent(exchange, FailureKind.NOT_READY, NOT_READY_MESSAGE)
            return
        }
        while (idle.isNotEmpty()) {
            if (idle.removeLast().startExchange(closingIdleIfSilent(exchange))) return
        }
        if (open >= exchange.endpoint.maxConnections) {
            failNotSent(exchange, FailureKind.OVERLOADED, "all connections to the target are in use")
        } else {
            connect(exchange)
        }
    }

    /** Closes the connections that have been unused for longer than the limit. */
    fun closeIdle() {
        val now = nowMillis()
        while (idle.isNotEmpty() && now - idle.first().idleSinceMillis > limits.idleMillis) idle.removeFirst().close()
    }

    /** Closes all connections. A connection that is in use is closed after its exchange. */
    fun close() {
        closing = true
        closeAllIdle()
    }

    private fun connect(exchange: TargetExchange) {
        open++
        val remainingMillis = exchange.deadlineMillis - nowMillis()
        val timeoutMillis = minOf(limits.connectMillis, remainingMillis).coerceAtLeast(1)
        var connection: TargetConnection? = null
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis.toInt())
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        connection = initialiseChannel(channel)
                    }
                },
            ).connect(address.host, address.port)
            .addListener(ChannelFutureListener { onConnected(it, connection, exchange) })
    }

    private fun initialiseChannel(channel: Channel): TargetConnection {
        val decoder = AnswerDecoder(limits.maxLineBytes, limits.maxHeaderBytes, MAX_CHUNK_BYTES)
        val connection = TargetConnection(decoder, nowMillis, ::returnConnection)
        channel.pipeline().addLast(decoder, HttpRequestEncoder(), connection)
        return connection
    }

    private fun onConnected(future: ChannelFuture, connection: TargetConnection?, exchange: TargetExchange) {
        if (!future.isSuccess || connection == null) {
            open--
            failNotSent(exchange, FailureKind.UNREACHABLE, "no connection to the target: ${future.cause()?.message}")
            return
        }
        future.channel().closeFuture().addListener {
            open--
            idle.remove(connection)
        }
        val expired = exchange.deadlineMillis <= nowMillis()
        if (!expired && !mayWrite()) {
            returnConnection(connection)
            failNotSent(exchange, FailureKind.NOT_READY, NOT_READY_MESSAGE)
            return
        }
        if (expired) returnConnection(connection)
        if (expired || !connection.startExchange(closingIdleIfSilent(exchange))) {
            failNotSent(exchange, FailureKind.UNREACHABLE, "the connection to the target came too late or was lost")
        }
    }

    // If the target does not send anything before the time-out, the network path may be broken. The idle connections
    // use the same path, so they are closed instead of reused.
    private fun closingIdleIfSilent(exchange: TargetExchange) = TargetExchange(
        exchange.endpoint,
        exchange.request,
        exchange.deadlineMillis,
        exchange.maxAnswerBytes,
    ) { outcome ->
        val result = outcome.result
        if (result is ExchangeResult.Unanswered && result.silent) closeAllIdle()
        exchange.onResult(outcome)
    }

    private fun returnConnection(connection: TargetConnection) {
        if (closing) connection.close() else idle.addLast(connection)
    }

    private fun closeAllIdle() {
        while (idle.isNotEmpty()) idle.removeFirst().close()
    }

    private fun failNotSent(exchange: TargetExchange, kind: FailureKind, message: String) {
        exchange.onResult(ExchangeOutcome(ExchangeResult.NotSent(Failure(kind, message))))
    }

    private companion object {
        const val NOT_READY_MESSAGE = "the entry ceased to be ready before the request was sent"
        const val MAX_CHUNK_BYTES = 65_536
    }
}
