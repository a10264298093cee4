// Tracks after a takeover which executors may still run tasks that an earlier holder of the control lease started. A
// task of a job from before the takeover that is not known to run is held back until every executor of its pools has
// reported its runs, or until every run lease that an earlier holder gave has lapsed. Otherwise it might run twice.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.state.PoolRoster
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

/** Executors that have not reported their runs since the takeover, by pool. */
internal class TakeoverRecovery {
    private val unseen = HashMap<PoolId, MutableSet<InstanceId>>()
    private val earlierPools = HashMap<QueueId, MutableSet<PoolId>>()
    private var untilMillis = 0L
    private var executorsUnknown = false

    /**
     * Holds back the queues of [rosters] until each of the executors in the rosters of their pools was seen, or until
     * [untilMillis]. Without any roster, it is not known where tasks may run, so that all queues are held back.
     */
    fun awaitExecutors(rosters: Map<PoolId, PoolRoster>, untilMillis: Long) {
        rosters.forEach { (pool, roster) ->
            if (roster.addresses.isNotEmpty()) unseen[pool] = roster.addresses.keys.mapTo(HashSet(), ::InstanceId)
            roster.queues.forEach { earlierPools.getOrPut(QueueId(it)) { HashSet(1) } += pool }
        }
        executorsUnknown = rosters.isEmpty()
        this.untilMillis = untilMillis
    }

    /** Whether tasks of [queue], which is served by [pool], may be started again if an earlier holder started them. */
    fun isOverFor(queue: QueueId, pool: PoolId): Boolean =
        !executorsUnknown && pool !in unseen && earlierPools[queue].orEmpty().none { it in unseen }

    /** Whether an executor may still run tasks that are not known to this holder. */
    val isActive: Boolean get() = executorsUnknown || unseen.isNotEmpty()

    /** The executors that may run tasks that are not known to this holder; null while any executor may. */
    val awaitedExecutors: Set<InstanceId>? get() = if (executorsUnknown) null else unseen.values.flatten().toSet()

    /** Whether executor [id] may still run tasks that are not known to this holder. */
    fun isAwaited(id: InstanceId): Boolean = unseen.values.any { id in it }

    /** Records that executor [id] has reported all of its runs, or that none of its earlier runs can continue. */
    fun markSeen(id: InstanceId) {
        unseen.values.forEach { it -= id }
    }

    /**
     * Returns the pools whose recovery has ended since the last call. Executors that [mayReportEnds] selects are waited
     * for until all of their ends are known, since their leases are extended.
     */
    fun takeRecoveredPools(nowMillis: Long, mayReportEnds: (InstanceId) -> Boolean): List<PoolId> {
        val leasesLapsed = nowMillis >= untilMillis
        if (leasesLapsed) executorsUnknown = false
        val recovered = unseen.filterValues { ids -> ids.isEmpty() || (leasesLapsed && ids.none(mayReportEnds)) }
            .keys.toList()
        unseen -= recovered.toSet()
        return recovered
    }
}
