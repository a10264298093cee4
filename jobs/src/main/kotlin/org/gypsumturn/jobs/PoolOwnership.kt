// Claims and gives up pools. The owner of a pool follows from the set of live processes. The owner row of the pool
// makes this safe: a claim raises its epoch, and every write of a job requires that the row is unchanged since the
// claim.

package org.gypsumturn.jobs

import org.gypsumturn.model.Epoch
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.Verdict
import org.gypsumturn.placement.OWNER_BUCKETS
import org.gypsumturn.placement.PoolScheduler
import org.gypsumturn.placement.bucketOf
import org.gypsumturn.placement.ownerOfBucket
import org.gypsumturn.ports.CommitOutcome
import org.gypsumturn.ports.Condition
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write

/** Claims pools, loads their open jobs, and gives pools up. */
internal class PoolOwnership(
    private val table: TableStore,
    private val self: NodeId,
    private val state: OwnerState,
    private val health: TableHealth,
    private val onAdopted: (OpenJob, Long) -> Unit,
) {
    private val settings = state.settings
    private val nextClaimMillis = HashMap<PoolId, Long>()
    private val losses = HashMap<PoolId, PoolLoss>()
    private var nextVerifyMillis = Long.MIN_VALUE
    private var bucketNodes: Set<NodeId>? = null
    private var assignedBuckets: Set<Int> = emptySet()

    /** Gives up, claims and loads pools so that they match [view] and [liveNodes]. */
    fun update(nowMillis: Long, view: FleetView, liveNodes: Set<NodeId>) {
        val wanted = wantedPools(view, liveNodes)
        state.pools.values.filter { it.id !in wanted }.forEach { state.dropPool(it, nowMillis) }
        verifyOwnership(nowMillis)
        val unclaimed = wanted.filter { it !in state.pools && nowMillis >= (nextClaimMillis[it] ?: Long.MIN_VALUE) }
        if (unclaimed.isNotEmpty()) claim(nowMillis, unclaimed.sorted().take(settings.maxClaimsPerStep))
        state.pools.values.filter { !it.isLoaded }.forEach { loadJobs(nowMillis, it) }
    }

    /**
     * Drops [pool], which another process has taken, and schedules a new claim. The first delay is short, since the
     * other process may have been wrong. It doubles with each further loss, so that two processes with different views
     * of the live processes do not keep taking the pool from each other.
     */
    fun handleLoss(nowMillis: Long, pool: OwnedPool) {
        val before = losses[pool.id]?.takeIf { nowMillis - it.atMillis <= 2 * settings.maxReclaimDelayMillis }
        val doubled = before?.let { 2 * it.delayMillis } ?: settings.firstReclaimDelayMillis
        val loss = PoolLoss(nowMillis, minOf(doubled, settings.maxReclaimDelayMillis))
        losses[pool.id] = loss
        nextClaimMillis[pool.id] = nowMillis + loss.delayMillis
        state.dropPool(pool, nowMillis)
    }

    /** Returns the buckets of the owned pools. */
    fun buckets(): Set<Int> = state.pools.keys.mapTo(sortedSetOf()) { bucketOf(it) }

    /**
     * Checks that the pools are still owned. An owner with nothing to write would otherwise not notice that another
     * process took a pool and gave it up again, leaving jobs that this owner does not know.
     */
    private fun verifyOwnership(nowMillis: Long) {
        if (nowMillis < nextVerifyMillis || state.pools.isEmpty() || !health.mayCall(nowMillis)) return
        nextVerifyMillis = nowMillis + settings.verifyEveryMillis
        val held = state.pools.values.toList()
        val rows = table.read(held.map { JobRows.owner(it.id) }, settings.tableTimeoutMillis)
        if (rows !is Verdict.Ran) return health.onFailure(nowMillis)
        health.onAnswer()
        held.zip(rows.value)
            .filter { (pool, row) -> pool.fenceCondition().revision != row.revision }
            .forEach { (pool, _) -> handleLoss(nowMillis, pool) }
    }

    private fun wantedPools(view: FleetView, liveNodes: Set<NodeId>): Set<PoolId> {
        if (liveNodes != bucketNodes) {
            assignedBuckets = (0 until OWNER_BUCKETS).filter { ownerOfBucket(it, liveNodes) == self }.toSet()
            bucketNodes = liveNodes.toSet()
        }
        return view.pools.values.filter { it.runsJobs && bucketOf(it.id) in assignedBuckets }.mapTo(HashSet()) { it.id }
    }

    private fun claim(nowMillis: Long, pools: List<PoolId>) {
        if (!health.mayCall(nowMillis)) return
        val rows = table.read(pools.map(JobRows::owner), settings.tableTimeoutMillis)
        if (rows !is Verdict.Ran) return health.onFailure(nowMillis)
        health.onAnswer()
        val (alreadyOwned, toClaim) = pools.zip(rows.value).partition { (_, row) -> ownerRecordOf(row)?.node == self }
        alreadyOwned.forEach { (pool, row) ->
            startOwning(pool, checkNotNull(ownerRecordOf(row)) { "pool $pool has no owner row" }, row)
        }
        if (toClaim.isEmpty()) return
        val records = toClaim.map { (_, row) -> OwnerRecord(self, (ownerRecordOf(row)?.epoch ?: Epoch(0)).next()) }
        val conditions = toClaim.map { (_, row) -> Condition(row.key, row.revision) }
        val writes = toClaim.zip(records) { (_, row), record -> Write(row.key, JobRows.encode(record)) }
        val answer = table.commit(Transaction(conditions, writes), settings.tableTimeoutMillis)
        if (answer !is Verdict.Ran) return health.onFailure(nowMillis)
        val outcome = answer.value
        if (outcome !is CommitOutcome.Committed) return
        toClaim.zip(records) { (pool, row), record ->
            startOwning(pool, record, Row(row.key, outcome.revision, null))
        }
    }

    private fun startOwning(pool: PoolId, record: OwnerRecord, row: Row) {
        state.pools[pool] =
            OwnedPool(
                pool,
                record.epoch,
                row.revision,
                PoolScheduler(settings.placement, state.sizeEstimator, state.teamUsageTracker),
            )
    }

    private fun ownerRecordOf(row: Row): OwnerRecord? = row.value?.let(JobRows::decodeOwner)

    private fun loadJobs(nowMillis: Long, pool: OwnedPool) {
        while (health.mayCall(nowMillis)) {
            val page =
                table.scan(JobRows.openPrefix(pool.id), pool.lastLoadedKey, PAGE_ROWS, settings.tableTimeoutMillis)
            if (page !is Verdict.Ran) return health.onFailure(nowMillis)
            health.onAnswer()
            val leaseUntil = nowMillis + settings.leaseMillis + settings.leaseMarginMillis
            page.value.forEach { row ->
                val record = row.value?.let(JobRows::decodeJob) ?: return@forEach
                pool.adopt(record, row.revision, nowMillis, leaseUntil)?.let { onAdopted(it, nowMillis) }
            }
            pool.lastLoadedKey = page.value.lastOrNull()?.key ?: pool.lastLoadedKey
            if (page.value.size < PAGE_ROWS) {
                pool.isLoaded = true
                return
            }
        }
    }

    private companion object {
        const val PAGE_ROWS = 500
    }
}

/** Whether jobs may run in the pool. */
internal val Pool.runsJobs: Boolean get() = role == PoolRole.WORKING || role == PoolRole.SPARE

/** When another process last took a pool, and the delay before it was claimed again. */
private data class PoolLoss(val atMillis: Long, val delayMillis: Long)
