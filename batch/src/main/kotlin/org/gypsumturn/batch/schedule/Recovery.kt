// After a takeover: which executors may still run what an earlier holder started there. Tasks of jobs from before the
// takeover that are not seen to run are not started again until each executor of their pool was seen, or until every
// lease that an earlier holder gave has lapsed.

package org.gypsumturn.batch.schedule

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

/** Executors that have not been seen since the takeover, by pool. */
internal class Recovery {
    private val unseen = HashMap<PoolId, MutableSet<InstanceId>>()
    private var untilMillis = 0L

    fun begin(executors: Map<InstanceId, PoolId>, untilMillis: Long) {
        executors.forEach { (id, pool) -> unseen.getOrPut(pool) { HashSet() } += id }
        this.untilMillis = untilMillis
    }

    /** Whether tasks of [pool] may be started again. */
    fun overFor(pool: PoolId): Boolean = pool !in unseen

    fun seen(id: InstanceId) {
        unseen.values.forEach { it -= id }
    }

    /** Pools whose recovery has ended since the last check. */
    fun ended(nowMillis: Long): List<PoolId> {
        val ended = unseen.filter { it.value.isEmpty() || nowMillis >= untilMillis }.keys.toList()
        unseen -= ended.toSet()
        return ended
    }
}
