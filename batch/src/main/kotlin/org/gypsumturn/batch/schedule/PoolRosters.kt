// Keeps the rosters of all pools: what is stored of each, and what has to be stored before further tasks are started.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.state.PoolRoster
import org.gypsumturn.batch.state.QueueRecord
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision

/** The [roster] of [pool] that is to be stored, if the stored row still has [revision]. */
public class RosterChange(public val pool: PoolId, public val revision: Revision, public val roster: PoolRoster)

/** The roster of a pool as read from the store under [revision]. */
public class StoredRoster(public val roster: PoolRoster, public val revision: Revision)

/**
 * Rosters of the pools whose executors are in [registry], with the records of [queues]. [isActive] tells whether a
 * queue has unfinished jobs.
 */
internal class PoolRosters(
    private val registry: ExecutorRegistry,
    private val queues: KnownQueues,
    private val isActive: (QueueId) -> Boolean,
) {
    private val stored = HashMap<PoolId, StoredRoster>()

    /** Queues that the stored roster names, whether or not the write that is under way takes effect. */
    private val admittedQueues = HashMap<PoolId, Set<String>>()
    private val requestedQueues = HashMap<PoolId, MutableSet<QueueId>>()
    private val changedPools = LinkedHashSet<PoolId>()

    /** The machines on which known executors were shown. */
    private val machineByExecutor = HashMap<InstanceId, MachineId>()
    private val earlierMachines = HashMap<InstanceId, MachineId>()
    private val poolsWithNewMachines = HashSet<PoolId>()

    /** Time at which rosters were last marked as changed for the records of their queues or for machines. */
    private var recordsMarkedMillis = Long.MIN_VALUE / 2

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
            row.roster.machines.forEach { (id, machine) -> earlierMachines[InstanceId(id)] = MachineId(machine) }
        }
        machineByExecutor += earlierMachines
        changedPools += rosters.keys
    }

    /** Returns the machines of the executors in the rosters of earlier holders, and nothing after the first call. */
    fun takeEarlierMachines(): Map<InstanceId, MachineId> = earlierMachines.toMap().also { earlierMachines.clear() }

    /** Records the machines on which the list of machines shows executors. */
    fun recordMachines(shown: Map<InstanceId, MachineId>) {
        machineByExecutor.keys.retainAll(registry.executors.keys)
        shown.forEach { (id, machine) ->
            val executor = registry.executors[id] ?: return@forEach
            if (machineByExecutor.put(id, machine) != machine) poolsWithNewMachines += executor.record.pool
        }
    }

    /**
     * Marks the rosters as changed that lack the present record of a queue with unfinished jobs, or the machine of an
     * executor. Marks none within a second of the last ones, so that frequent configurations and lists do not cause as
     * many writes.
     */
    fun markOutdatedRecords(nowMillis: Long) {
        if (nowMillis - recordsMarkedMillis < RECORDS_INTERVAL_MILLIS) return
        val outdated = queues.records.filter { (id, record) ->
            stored[PoolId(record.pool)]?.roster?.queueRecords?.get(id.value) != record && isActive(id)
        }
        if (outdated.isEmpty() && poolsWithNewMachines.isEmpty()) return
        recordsMarkedMillis = nowMillis
        outdated.values.mapTo(changedPools) { PoolId(it.pool) }
        changedPools += poolsWithNewMachines
        poolsWithNewMachines.clear()
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
            if (wanted == row?.roster && pool !in unconfirmedPools) {
                markRecorded(pool, wanted)
                continue
            }
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
        val named = current.queues.filterTo(LinkedHashSet()) { isActive(QueueId(it)) } + requested
        return PoolRoster(addresses, named, wantedRecords(pool, current), wantedMachines(addresses.keys))
    }

    private fun wantedMachines(executors: Set<String>): Map<String, String> {
        if (executors.size > MAX_MACHINES) return emptyMap()
        return executors.mapNotNull { id -> machineByExecutor[InstanceId(id)]?.let { id to it.value } }.toMap()
    }

    /**
     * The records of the queues that [pool] serves. Those that [current] has stay, also of a queue that has moved to
     * another pool, since the roster of that pool may not be stored yet.
     */
    private fun wantedRecords(pool: PoolId, current: PoolRoster): Map<String, QueueRecord> {
        val ids = current.queueRecords.keys.mapTo(LinkedHashSet(), ::QueueId)
        queues.records.filterValues { it.pool == pool.value }.keys.sorted().forEach { ids += it }
        return ids.filter(isActive).take(MAX_RECORDS).mapNotNull { id -> queues.records[id]?.let { id.value to it } }
            .toMap()
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

    private companion object {
        const val RECORDS_INTERVAL_MILLIS = 1_000L

        /** Records in a roster at most, so that its row has room for the executors. */
        const val MAX_RECORDS = 100

        /** Executors in a roster with their machines at most, so that a larger roster still fits into its row. */
        const val MAX_MACHINES = 500
    }
}
