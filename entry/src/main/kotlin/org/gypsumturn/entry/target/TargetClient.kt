// Sends requests to the targets of the view in force, over a bounded pool of connections for each target.

package org.gypsumturn.entry.target

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import org.gypsumturn.model.Address
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * The HTTP client towards targets. Thread-safe.
 *
 * @property mayWrite whether this entry may still send; read just before the first byte of each exchange
 */
internal class TargetClient(
    private val group: EventLoopGroup,
    private val limits: TargetLimits,
    private val nowMillis: () -> Long,
    private val mayWrite: () -> Boolean,
) {
    private data class PoolKey(val instance: InstanceId, val address: Address)

    private class LoopPool(val loop: EventLoop, val pool: TargetPool) {
        private val check =
            loop.scheduleWithFixedDelay({ pool.closeIdle() }, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS)

        fun close() {
            check.cancel(false)
            loop.execute { pool.close() }
        }
    }

    private val pools = ConcurrentHashMap<PoolKey, LoopPool>()

    /** Starts [exchange]. */
    fun send(exchange: TargetExchange) {
        val held = pools.computeIfAbsent(PoolKey(exchange.place.instance, exchange.place.address)) { create(it) }
        held.loop.execute { held.pool.send(exchange) }
    }

    /** Closes the unused connections to targets that [view] does not name, or names with another address. */
    fun retain(view: FleetView) {
        val gone = pools.keys.filter { view.instances[it.instance]?.address != it.address }
        gone.mapNotNull { pools.remove(it) }.forEach { it.close() }
    }

    /** Closes all connections, those in use after their exchange. */
    fun close() {
        pools.values.forEach { it.close() }
    }

    private fun create(key: PoolKey): LoopPool {
        val loop = group.next() as EventLoop
        return LoopPool(loop, TargetPool(loop, key.address, limits, nowMillis, mayWrite))
    }

    private companion object {
        const val CHECK_MILLIS = 1_000L
    }
}
