// The connections of this entry to one target. A pool lives on one event loop, together with all its connections.

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
 * @property idleMillis an unused connection is closed after this time
 */
internal data class TargetLimits(
    val connectMillis: Long,
    val idleMillis: Long,
    val maxLineBytes: Int,
    val maxHeaderBytes: Int,
)

/** Sends exchanges to the target at [address]. All functions are called on [loop]. */
internal class TargetPool(
    private val loop: EventLoop,
    private val address: Address,
    private val limits: TargetLimits,
    private val nowMillis: () -> Long,
    private val mayWrite: () -> Boolean,
) {
    private val idle = ArrayDeque<TargetConnection>()
    private var open = 0
    private var closing = false

    /** Starts [exchange] on a free connection, or on a new one if the target's share allows it. */
    fun send(exchange: TargetExchange) {
        if (exchange.deadlineMillis <= nowMillis()) {
            notSent(exchange, FailureKind.TIMEOUT, "the deadline passed before the request was sent")
            return
        }
        if (!mayWrite()) {
            notSent(exchange, FailureKind.NOT_READY, LAPSED)
            return
        }
        while (idle.isNotEmpty()) {
            if (idle.removeLast().begin(watched(exchange))) return
        }
        if (open >= exchange.place.maxConnections) {
            notSent(exchange, FailureKind.OVERLOADED, "all connections to the target are in use")
        } else {
            connect(exchange)
        }
    }

    /** Closes the connections that have been unused for too long. */
    fun closeIdle() {
        val now = nowMillis()
        while (idle.isNotEmpty() && now - idle.first().idleSinceMillis > limits.idleMillis) idle.removeFirst().close()
    }

    /** Closes all connections, those in use after their exchange. */
    fun close() {
        closing = true
        closeAllIdle()
    }

    private fun connect(exchange: TargetExchange) {
        open++
        val remaining = exchange.deadlineMillis - nowMillis()
        val timeout = minOf(limits.connectMillis, remaining).coerceAtLeast(1)
        var connection: TargetConnection? = null
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.toInt())
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        connection = initialise(channel)
                    }
                },
            ).connect(address.host, address.port)
            .addListener(ChannelFutureListener { connected(it, connection, exchange) })
    }

    private fun initialise(channel: Channel): TargetConnection {
        val decoder = AnswerDecoder(limits.maxLineBytes, limits.maxHeaderBytes, MAX_CHUNK_BYTES)
        val connection = TargetConnection(decoder, nowMillis, ::reusable)
        channel.pipeline().addLast(decoder, HttpRequestEncoder(), connection)
        return connection
    }

    private fun connected(future: ChannelFuture, connection: TargetConnection?, exchange: TargetExchange) {
        if (!future.isSuccess || connection == null) {
            open--
            notSent(exchange, FailureKind.UNREACHABLE, "no connection to the target: ${future.cause()?.message}")
            return
        }
        future.channel().closeFuture().addListener {
            open--
            idle.remove(connection)
        }
        val late = exchange.deadlineMillis <= nowMillis()
        if (!late && !mayWrite()) {
            reusable(connection)
            notSent(exchange, FailureKind.NOT_READY, LAPSED)
            return
        }
        if (late) reusable(connection)
        if (late || !connection.begin(watched(exchange))) {
            notSent(exchange, FailureKind.UNREACHABLE, "the connection to the target came too late or was lost")
        }
    }

    // Connections that opened before one went silent may have been lost on the way together with it.
    private fun watched(exchange: TargetExchange) = TargetExchange(
        exchange.place,
        exchange.request,
        exchange.deadlineMillis,
        exchange.maxAnswerBytes,
    ) { end ->
        val result = end.result
        if (result is ExchangeResult.Unanswered && result.silent) closeAllIdle()
        exchange.onEnd(end)
    }

    private fun reusable(connection: TargetConnection) {
        if (closing) connection.close() else idle.addLast(connection)
    }

    private fun closeAllIdle() {
        while (idle.isNotEmpty()) idle.removeFirst().close()
    }

    private fun notSent(exchange: TargetExchange, kind: FailureKind, message: String) {
        exchange.onEnd(ExchangeEnd(ExchangeResult.NotSent(Failure(kind, message))))
    }

    private companion object {
        const val LAPSED = "the entry ceased to be ready before the request was sent"
        const val MAX_CHUNK_BYTES = 65_536
    }
}
