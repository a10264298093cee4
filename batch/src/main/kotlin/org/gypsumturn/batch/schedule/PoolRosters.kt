// Keeps the rosters of all pools: what is stored of each, and what has to be stored before further tasks are started.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.state.PoolRoster
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision

/** The [roster] of [pool] that is to be stored, if the stored row still has [revision]. */
public class RosterChange(public val pool: PoolId, public val revision: Revision, public val roster: PoolRoster)

/** The roster of a pool as read from the store under [revision]. */
public class StoredRoster(public val roster: PoolRoster, public val revision: Revision)

/** Rosters of the pools whose executors are in [registry]. [isActive] tells whether a queue has unfinished jobs. */
internal class PoolRosters(private val registry: ExecutorRegistry, private val isActive: (QueueId) -> Boolean) {
    private val stored = HashMap<PoolId, StoredRoster>()

    /** Queues that the stored roster names, whether or not the write that is under way takes effect. */
    private val admittedQueues = HashMap<PoolId, Set<String>>()
    private val requestedQueues = HashMap<PoolId, MutableSet<QueueId>>()
    private val changedPools = LinkedHashSet<PoolId>()

    /** Pools with a write that has not been confirmed, so that it is not known which roster is stored. */
    private val unconfirmedPools = HashSet<PoolId>()

    val hasChanges: Boolean get() = changedPools.isNotEmpty()

    fun markChanged(pool: PoolId) {
        changedPools += pool
    }

    /** Takes over the [rosters] of earlier holders. */
    fun applyStored(rosters: Map<PoolId, StoredRoster>) {
        stored += rosters
        rosters.forEach { (pool, row) ->
            admittedQueues[pool] = row.roster.queues
            markRecorded(pool, row.roster)
        }
        changedPools += rosters.keys
    }

    /** Whether tasks of [queue] may be started in [pool]. If not, the queue is stored with the next change. */
    fun admits(pool: PoolId, queue: QueueId): Boolean {
        if (queue.value in admittedQueues[pool].orEmpty()) return true
        if (requestedQueues.getOrPut(pool) { HashSet() }.add(queue)) changedPools += pool
        return false
    }

    /** Removes and returns at most [limit] changes that are to be stored. */
    fun takeChanges(limit: Int): List<RosterChange> {
        val changes = ArrayList<RosterChange>()
        while (changedPools.isNotEmpty() && changes.size < limit) {
            val pool = changedPools.first().also(changedPools::remove)
            val row = stored[pool]
            val wanted = wantedRoster(pool, row?.roster ?: PoolRoster())
            if (wanted == row?.roster && pool !in unconfirmedPools) continue
            unconfirmedPools += pool
            admittedQueues[pool] = admittedQueues[pool].orEmpty() intersect wanted.queues
            changes += RosterChange(pool, row?.revision ?: Revision.ABSENT, wanted)
        }
        return changes
    }

    private fun wantedRoster(pool: PoolId, current: PoolRoster): PoolRoster {
        val addresses = registry.executors.values.filter { it.record.pool == pool }
            .associate { it.record.id.value to it.record.address }
        val requested = requestedQueues[pool].orEmpty().map { it.value }
        val queues = current.queues.filterTo(LinkedHashSet()) { isActive(QueueId(it)) } + requested
        return PoolRoster(addresses, queues)
    }

    /** Records that [change] was stored under [revision]. */
    fun onStored(change: RosterChange, revision: Revision) {
        stored[change.pool] = StoredRoster(change.roster, revision)
        admittedQueues[change.pool] = change.roster.queues
        unconfirmedPools -= change.pool
        requestedQueues[change.pool]?.removeAll { it.value in change.roster.queues }
        markRecorded(change.pool, change.roster)
    }

    /** Queues [changes] again after storing them failed. [revisionOf] is as in [BatchScheduler.returnRosterChanges]. */
    fun returnChanges(changes: List<RosterChange>, revisionOf: (PoolId) -> Revision?) {
        changes.forEach { change ->
            val revision = revisionOf(change.pool)
            val roster = stored[change.pool]?.roster ?: PoolRoster()
            if (revision != null) stored[change.pool] = StoredRoster(roster, revision)
            changedPools += change.pool
        }
    }

    private fun markRecorded(pool: PoolId, roster: PoolRoster) {
        roster.addresses.forEach { (id, address) ->
            val executor = registry.executors[InstanceId(id)] ?: return@forEach
            if (executor.record.pool == pool && executor.record.address == address) executor.recorded = true
        }
    }
}
