// Counts what this entry has under way by pool and by instance, for its beat: an instance is out of service only once
// no entry has a request under way on it.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId
import org.gypsumturn.peer.NodeActivity
import org.gypsumturn.view.PoolLoad

private val IN_SERVICE = setOf(InstanceState.SERVING, InstanceState.WARMING)

/** Requests and exchanges under way. Belongs to the dispatch thread. */
internal class ActivityCounts {
    private val requests = HashMap<PoolId, Int>()
    private val exchangesByPool = HashMap<PoolId, Int>()
    private val exchangesByInstance = HashMap<InstanceId, Int>()
    private val finishedByPool = HashMap<PoolId, Long>()

    /** A request for [pool] arrived, or is over. */
    fun requests(pool: PoolId, change: Int) = requests.add(pool, change)

    /** An exchange with [instance] for [pool] started, or is over. */
    fun exchanges(pool: PoolId, instance: InstanceId, change: Int) {
        exchangesByPool.add(pool, change)
        exchangesByInstance.add(instance, change)
        if (change < 0) finishedByPool.merge(pool, 1L, Long::plus)
    }

    /** What is under way, for work that follows [view]. */
    fun snapshot(view: FleetView): NodeActivity {
        val busy = exchangesByInstance.keys.filter { view.instances[it]?.state !in IN_SERVICE }.sorted()
        val load = (requests.keys + finishedByPool.keys).map { pool ->
            val running = exchangesByPool.getOrDefault(pool, 0)
            val queued = maxOf(0, requests.getOrDefault(pool, 0) - running)
            PoolLoad(pool, queued, running, finishedByPool.getOrDefault(pool, 0L))
        }
        return NodeActivity(view.version, busy, load)
    }

    private fun <K> HashMap<K, Int>.add(key: K, change: Int) {
        val sum = getOrDefault(key, 0) + change
        if (sum == 0) remove(key) else put(key, sum)
    }
}
