// Counts the open requests and exchanges of this entry, by pool and by instance. The heartbeat carries these counts: a
// draining instance is out of service only when no entry has an exchange with it any more.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId
import org.gypsumturn.peer.NodeActivity
import org.gypsumturn.view.PoolLoad

private val IN_SERVICE = setOf(InstanceState.SERVING, InstanceState.WARMING)

/** Counts of open requests and exchanges. Not thread-safe; used only by the dispatch thread. */
internal class ActivityCounts {
    private val requestsByPool = HashMap<PoolId, Int>()
    private val exchangesByPool = HashMap<PoolId, Int>()
    private val exchangesByInstance = HashMap<InstanceId, Int>()
    private val finishedByPool = HashMap<PoolId, Long>()

    /** Adds [delta] to the open requests for [pool]: 1 when a request arrives, -1 when it is finished. */
    fun addRequests(pool: PoolId, delta: Int) = requestsByPool.add(pool, delta)

    /** Adds [delta] to the open exchanges with [instance] for [pool]: 1 when an exchange starts, -1 when it ends. */
    fun addExchanges(pool: PoolId, instance: InstanceId, delta: Int) {
        exchangesByPool.add(pool, delta)
        exchangesByInstance.add(instance, delta)
        if (delta < 0) finishedByPool.merge(pool, 1L, Long::plus)
    }

    /**
     * The current counts. An instance is busy if it has an open exchange and is not in service in [view]; only such
     * instances are listed.
     */
    fun snapshot(view: FleetView): NodeActivity {
        val busy = exchangesByInstance.keys.filter { view.instances[it]?.state !in IN_SERVICE }.sorted()
        val load = (requestsByPool.keys + finishedByPool.keys).map { pool ->
            val running = exchangesByPool.getOrDefault(pool, 0)
            val queued = maxOf(0, requestsByPool.getOrDefault(pool, 0) - running)
            PoolLoad(pool, queued, running, finishedByPool.getOrDefault(pool, 0L))
        }
        return NodeActivity(view.version, busy, load)
    }

    private fun <K> HashMap<K, Int>.add(key: K, delta: Int) {
        val sum = getOrDefault(key, 0) + delta
        if (sum == 0) remove(key) else put(key, sum)
    }
}
