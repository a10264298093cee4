// Tracks after a takeover which executors may still run tasks that an earlier holder of the control lease started. A
// task of a job from before the takeover that is not known to run is held back until every executor of its pool has
// reported its runs, or until every run lease that an earlier holder gave has lapsed. Otherwise it might run twice.

package org.gypsumturn.batch.schedule

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

/** Executors that have not reported their runs since the takeover, by pool. */
internal class TakeoverRecovery {
    private val unseen = HashMap<PoolId, MutableSet<InstanceId>>()
    private var untilMillis = 0L

    /** Holds back the pools of [executors] until each of these executors was seen, or until [untilMillis]. */
    fun awaitExecutors(executors: Map<InstanceId, PoolId>, untilMillis: Long) {
        executors.forEach { (id, pool) -> unseen.getOrPut(pool) { HashSet() } += id }
        this.untilMillis = untilMillis
    }

    /** Whether tasks of [pool] that an earlier holder may have started may be started again. */
    fun isOverFor(pool: PoolId): Boolean = pool !in unseen

    /** Records that executor [id] has reported its runs, or that none of its earlier runs can continue. */
    fun markSeen(id: InstanceId) {
        unseen.values.forEach { it -= id }
    }

    /** Returns the pools whose recovery has ended since the last call. */
    fun takeRecoveredPools(nowMillis: Long): List<PoolId> {
        val recovered = unseen.filter { it.value.isEmpty() || nowMillis >= untilMillis }.keys.toList()
        unseen -= recovered.toSet()
        return recovered
    }
}
