// One simulated executor: a port that takes a bounded number of connections and runs a bounded number of requests at
// once. A reboot closes the port and all connections, and cuts what runs.

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

/** What a target may take at once. */
internal data class TargetLimits(val slots: Int, val connections: Int)

/** One execution of a request on a target. */
internal class Run(val key: String)

/** A target at [host]; a [requestedPort] of 0 takes any free port. Thread-safe. */
internal class Target(
    val id: InstanceId,
    private val host: String,
    private val requestedPort: Int,
    private val limits: TargetLimits,
    private val group: EventLoopGroup,
    private val executions: ExecutionLog,
    private val newHandler: (Target) -> TargetHandler,
) : AutoCloseable {
    private val running = HashSet<Run>()
    private val open = HashSet<Channel>()
    private var listener: Channel? = null
    private var boundPort = requestedPort
    private var refusing = false
    private var away = false
    private var boot = 0
    private var closed = false

    /** The port at which the target listens, known once it has started. */
    val port: Int get() = synchronized(this) { boundPort }

    /** Binds the port. */
    @Synchronized
    fun start() {
        val channel = bootstrap().bind(InetSocketAddress(host, boundPort)).sync().channel()
        boundPort = (channel.localAddress() as InetSocketAddress).port
        listener = channel
    }

    /** Takes a slot for the request [key], or null where none is free. */
    @Synchronized
    fun begin(key: String): Run? {
        if (listener == null || running.size >= limits.slots) return null
        executions.request(key)
        return Run(key).also { running += it }
    }

    /** Frees the slot of [run]; false if a reboot has cut it. */
    @Synchronized
    fun end(run: Run): Boolean = running.remove(run)

    /** Whether requests are turned away by closing their connection. */
    val isRefusing: Boolean get() = synchronized(this) { refusing }

    /** Goes away for [awayMillis], and comes back with nothing of what it had. */
    fun reboot(awayMillis: Long) {
        val channels: Set<Channel>
        val thisBoot: Int
        synchronized(this) {
            running.forEach { executions.interrupted(it.key) }
            running.clear()
            channels = open + listOfNotNull(listener)
            open.clear()
            listener = null
            away = true
            thisBoot = ++boot
        }
        channels.forEach { it.close() }
        group.schedule({ endReboot(thisBoot) }, awayMillis, TimeUnit.MILLISECONDS)
    }

    /** Stops or resumes taking connections and requests. What runs goes on. */
    fun refuse(refuses: Boolean) {
        val closing =
            synchronized(this) {
                refusing = refuses
                listener.takeIf { refuses }?.also { listener = null }
            }
        closing?.close()?.sync()
        listenAgain()
    }

    /** Makes the connections that are open now silent for good. */
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
            if (endingBoot != boot) return
            away = false
        }
        listenAgain()
    }

    private fun listenAgain() {
        if (!wantsListener()) return
        val bound = bootstrap().bind(InetSocketAddress(host, port))
        bound.addListener { if (it.isSuccess) keepOrClose(bound.channel()) else retryListening(it.cause()) }
    }

    private fun retryListening(cause: Throwable) {
        log.warn("target {} cannot bind its port again: {}", id, cause.message)
        group.schedule(::listenAgain, REBIND_RETRY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun keepOrClose(channel: Channel) {
        val kept =
            synchronized(this) {
                if (wantsListener()) listener = channel
                listener === channel
            }
        if (!kept) channel.close()
    }

    @Synchronized
    private fun wantsListener(): Boolean = !closed && !away && !refusing && listener == null

    /** Registers a new connection; false if it is one too many. */
    @Synchronized
    private fun admit(channel: Channel): Boolean {
        if (listener == null || open.size >= limits.connections) return false
        open += channel
        channel.closeFuture().addListener { forget(channel) }
        return true
    }

    @Synchronized
    private fun forget(channel: Channel) {
        open -= channel
    }

    private fun bootstrap() = ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    if (!admit(channel)) {
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
