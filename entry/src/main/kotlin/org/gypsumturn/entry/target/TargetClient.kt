// Sends requests to the targets of the fleet view, over a bounded pool of connections to each target.

package org.gypsumturn.entry.target

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import org.gypsumturn.model.Address
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * The HTTP client for targets. Thread-safe; calls do not block.
 *
 * @property mayWrite returns whether this entry may still send requests; called just before each exchange is written
 */
internal class TargetClient(
    private val group: EventLoopGroup,
    private val limits: TargetLimits,
    private val nowMillis: () -> Long,
    private val mayWrite: () -> Boolean,
) {
    private data class PoolKey(val instance: InstanceId, val address: Address)

    private class PoolOnEventLoop(val loop: EventLoop, val pool: TargetConnectionPool) {
        private val idleCheck =
            loop.scheduleWithFixedDelay(
                { pool.closeIdle() },
                IDLE_CHECK_INTERVAL_MILLIS,
                IDLE_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS,
            )

        fun close() {
            idleCheck.cancel(false)
            loop.execute { pool.close() }
        }
    }

    private val pools = ConcurrentHashMap<PoolKey, PoolOnEventLoop>()

    /** Starts [exchange]. Its callback gets the result. */
    fun send(exchange: TargetExchange) {
        val pooled =
            pools.computeIfAbsent(PoolKey(exchange.endpoint.instance, exchange.endpoint.address)) { create(it) }
        pooled.loop.execute { pooled.pool.send(exchange) }
    }

    /**
     * Closes the connections to targets that are not in [view] or have another address there. A connection that is in
     * use is closed after its exchange.
     */
    fun closeTargetsNotIn(view: FleetView) {
        val removed = pools.keys.filter { view.instances[it.instance]?.address != it.address }
        removed.mapNotNull { pools.remove(it) }.forEach { it.close() }
    }

    /** Closes all connections. A connection that is in use is closed after its exchange. */
    fun close() {
        pools.values.forEach { it.close() }
    }

    private fun create(key: PoolKey): PoolOnEventLoop {
        val loop = group.next() as EventLoop
        return PoolOnEventLoop(loop, TargetConnectionPool(loop, key.address, limits, nowMillis, mayWrite))
    }

    private companion object {
        const val IDLE_CHECK_INTERVAL_MILLIS = 1_000L
    }
}
