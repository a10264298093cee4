// Simulated executor. It listens on a port and limits its open connections and concurrent requests. A reboot closes the
// port and all connections, and interrupts the requests that run.

package org.gypsumturn.standin.target

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import org.gypsumturn.model.InstanceId
import org.gypsumturn.standin.ExecutionLog
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val MAX_REQUEST_BYTES = 1_048_576
private const val REBIND_RETRY_MILLIS = 100L

/** Limits of a target: [slots] requests at the same time, and [connections] open connections. */
internal data class TargetLimits(val slots: Int, val connections: Int)

/** One execution of the request [key] on a target. */
internal class Run(val key: String)

/** A simulated executor at [host]. If [requestedPort] is 0, it takes any free port. Thread-safe. */
internal class Target(
    val id: InstanceId,
    private val host: String,
    private val requestedPort: Int,
    private val limits: TargetLimits,
    private val eventLoopGroup: EventLoopGroup,
    private val executions: ExecutionLog,
    private val newHandler: (Target) -> TargetHandler,
) : AutoCloseable {
    private val activeRuns = HashSet<Run>()
    private val open = HashSet<Channel>()
    private var listener: Channel? = null
    private var boundPort = requestedPort
    private var refusing = false
    private var rebooting = false
    private var bootNumber = 0
    private var closed = false

    /** Port on which the target listens. If any free port was requested, it is known after [start]. */
    val port: Int get() = synchronized(this) { boundPort }

    /** Binds the port and accepts connections. Throws IOException if the port is in use. */
    @Synchronized
    fun start() {
        val channel = bootstrap().bind(InetSocketAddress(host, boundPort)).sync().channel()
        boundPort = (channel.localAddress() as InetSocketAddress).port
        listener = channel
    }

    /** Occupies a slot for the request [key]; returns null if none is free or the target does not listen. */
    @Synchronized
    fun startRun(key: String): Run? {
        if (listener == null || activeRuns.size >= limits.slots) return null
        executions.countRequest(key)
        return Run(key).also { activeRuns += it }
    }

    /** Frees the slot of [run]; returns false if a reboot has interrupted it. */
    @Synchronized
    fun endRun(run: Run): Boolean = activeRuns.remove(run)

    /** Whether the target refuses requests by closing their connection. */
    val isRefusing: Boolean get() = synchronized(this) { refusing }

    /** Interrupts all requests, closes the port and all connections, and listens again after [rebootMillis]. */
    fun reboot(rebootMillis: Long) {
        val channels: Set<Channel>
        val thisBoot: Int
        synchronized(this) {
            activeRuns.forEach { executions.recordInterruption(it.key) }
            activeRuns.clear()
            channels = open + listOfNotNull(listener)
            open.clear()
            listener = null
            rebooting = true
            thisBoot = ++bootNumber
        }
        channels.forEach { it.close() }
        eventLoopGroup.schedule({ endReboot(thisBoot) }, rebootMillis, TimeUnit.MILLISECONDS)
    }

    /** Sets whether the target refuses connections and new requests. Requests that run continue. */
    fun setRefusingNewWork(refuses: Boolean) {
        val closing =
            synchronized(this) {
                refusing = refuses
                listener.takeIf { refuses }?.also { listener = null }
            }
        closing?.close()?.sync()
        listenAgain()
    }

    /** Makes the connections that are open now silent for the rest of their lifetime. */
    @Synchronized
    fun silenceOpenConnections() {
        open.forEach { it.attr(SILENT).set(true) }
    }

    override fun close() {
        val channels =
            synchronized(this) {
                closed = true
                open + listOfNotNull(listener)
            }
        channels.forEach { it.close() }
    }

    private fun endReboot(endingBoot: Int) {
        synchronized(this) {
            if (endingBoot != bootNumber) return
            rebooting = false
        }
        listenAgain()
    }

    private fun listenAgain() {
        if (!needsListener()) return
        val bound = bootstrap().bind(InetSocketAddress(host, port))
        bound.addListener { if (it.isSuccess) keepOrCloseListener(bound.channel()) else retryListening(it.cause()) }
    }

    private fun retryListening(cause: Throwable) {
        log.warn("executor {} cannot bind its port again and will retry: {}", id, cause.message)
        eventLoopGroup.schedule(::listenAgain, REBIND_RETRY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun keepOrCloseListener(channel: Channel) {
        val kept =
            synchronized(this) {
                if (needsListener()) listener = channel
                listener === channel
            }
        if (!kept) channel.close()
    }

    @Synchronized
    private fun needsListener(): Boolean = !closed && !rebooting && !refusing && listener == null

    /** Registers a new connection; returns false if the limit is reached or the target does not listen. */
    @Synchronized
    private fun tryRegister(channel: Channel): Boolean {
        if (listener == null || open.size >= limits.connections) return false
        open += channel
        channel.closeFuture().addListener { unregister(channel) }
        return true
    }

    @Synchronized
    private fun unregister(channel: Channel) {
        open -= channel
    }

    private fun bootstrap() = ServerBootstrap()
        .group(eventLoopGroup)
        .channel(NioServerSocketChannel::class.java)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    if (!tryRegister(channel)) {
                        channel.close()
                        return
                    }
                    channel.pipeline().addLast(SilencingHandler(), HttpServerCodec())
                    channel.pipeline().addLast(HttpObjectAggregator(MAX_REQUEST_BYTES), newHandler(this@Target))
                }
            },
        )

    private companion object {
        val log = LoggerFactory.getLogger(Target::class.java)
    }
}
