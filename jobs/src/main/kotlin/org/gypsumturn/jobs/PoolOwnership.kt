// Which pools this process owns. The owner of a pool is worked out from the live processes and made safe by the pool's
// owner row: a claim raises its epoch, and every write of a job requires that the row has not changed since the claim.

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

/** Claims, loads and gives up pools. */
internal class PoolOwnership(
    private val table: TableStore,
    private val self: NodeId,
    private val state: OwnerState,
    private val health: TableHealth,
    private val onAdopted: (HeldJob, Long) -> Unit,
) {
    private val settings = state.settings
    private val notBefore = HashMap<PoolId, Long>()
    private val losses = HashMap<PoolId, PoolLoss>()
    private var nextVerifyMillis = Long.MIN_VALUE
    private var ownersFor: Set<NodeId>? = null
    private var ownBuckets: Set<Int> = emptySet()

    /** Gives up, claims and loads pools as [view] and [live] ask for. */
    fun update(nowMillis: Long, view: FleetView, live: Set<NodeId>) {
        val wanted = wantedPools(view, live)
        state.pools.values.filter { it.id !in wanted }.forEach { state.dropPool(it, nowMillis) }
        verify(nowMillis)
        val unclaimed = wanted.filter { it !in state.pools && nowMillis >= (notBefore[it] ?: Long.MIN_VALUE) }
        if (unclaimed.isNotEmpty()) claim(nowMillis, unclaimed.sorted().take(settings.maxClaimsPerStep))
        state.pools.values.filter { !it.isLoaded }.forEach { load(nowMillis, it) }
    }

    /**
     * Another process took [pool]. It is claimed back soon, since that process may have been wrong to take it, but ever
     * later if it is taken again and again: two processes that disagree must not duel.
     */
    fun lost(nowMillis: Long, pool: OwnedPool) {
        val before = losses[pool.id]?.takeIf { nowMillis - it.atMillis <= 2 * settings.reclaimDelayMillis }
        val doubled = before?.let { 2 * it.delayMillis } ?: settings.firstReclaimDelayMillis
        val loss = PoolLoss(nowMillis, minOf(doubled, settings.reclaimDelayMillis))
        losses[pool.id] = loss
        notBefore[pool.id] = nowMillis + loss.delayMillis
        state.dropPool(pool, nowMillis)
    }

    /** Buckets of the owned pools. */
    fun buckets(): Set<Int> = state.pools.keys.mapTo(sortedSetOf()) { bucketOf(it) }

    /**
     * Looks whether the pools are still held. An owner that has nothing to write would not notice that another process
     * took a pool and left it again with jobs that it does not know.
     */
    private fun verify(nowMillis: Long) {
        if (nowMillis < nextVerifyMillis || state.pools.isEmpty() || !health.mayCall(nowMillis)) return
        nextVerifyMillis = nowMillis + settings.verifyEveryMillis
        val held = state.pools.values.toList()
        val rows = table.read(held.map { JobRows.owner(it.id) }, settings.tableTimeoutMillis)
        if (rows !is Verdict.Ran) return health.failed(nowMillis)
        health.answered()
        held.zip(rows.value)
            .filter { (pool, row) -> pool.fenceCondition().revision != row.revision }
            .forEach { (pool, _) -> lost(nowMillis, pool) }
    }

    private fun wantedPools(view: FleetView, live: Set<NodeId>): Set<PoolId> {
        if (live != ownersFor) {
            ownBuckets = (0 until OWNER_BUCKETS).filter { ownerOfBucket(it, live) == self }.toSet()
            ownersFor = live.toSet()
        }
        return view.pools.values.filter { it.runsJobs && bucketOf(it.id) in ownBuckets }.mapTo(HashSet()) { it.id }
    }

    private fun claim(nowMillis: Long, pools: List<PoolId>) {
        if (!health.mayCall(nowMillis)) return
        val rows = table.read(pools.map(JobRows::owner), settings.tableTimeoutMillis)
        if (rows !is Verdict.Ran) return health.failed(nowMillis)
        health.answered()
        val (own, others) = pools.zip(rows.value).partition { (_, row) -> recordOf(row)?.node == self }
        own.forEach { (pool, row) -> begin(pool, checkNotNull(recordOf(row)) { "no owner of $pool" }, row) }
        if (others.isEmpty()) return
        val records = others.map { (_, row) -> OwnerRecord(self, (recordOf(row)?.epoch ?: Epoch(0)).next()) }
        val conditions = others.map { (_, row) -> Condition(row.key, row.revision) }
        val writes = others.zip(records) { (_, row), record -> Write(row.key, JobRows.encode(record)) }
        val answer = table.commit(Transaction(conditions, writes), settings.tableTimeoutMillis)
        if (answer !is Verdict.Ran) return health.failed(nowMillis)
        val outcome = answer.value
        if (outcome !is CommitOutcome.Committed) return
        others.zip(records) { (pool, row), record ->
            begin(pool, record, Row(row.key, outcome.revision, null))
        }
    }

    private fun begin(pool: PoolId, record: OwnerRecord, row: Row) {
        state.pools[pool] =
            OwnedPool(pool, record.epoch, row.revision, PoolScheduler(settings.placement, state.sizes, state.ledger))
    }

    private fun recordOf(row: Row): OwnerRecord? = row.value?.let(JobRows::decodeOwner)

    private fun load(nowMillis: Long, pool: OwnedPool) {
        while (health.mayCall(nowMillis)) {
            val page = table.scan(JobRows.openPrefix(pool.id), pool.loadedTo, PAGE_ROWS, settings.tableTimeoutMillis)
            if (page !is Verdict.Ran) return health.failed(nowMillis)
            health.answered()
            val leaseUntil = nowMillis + settings.leaseMillis + settings.leaseMarginMillis
            page.value.forEach { row ->
                val record = row.value?.let(JobRows::decodeJob) ?: return@forEach
                pool.adopt(record, row.revision, nowMillis, leaseUntil)?.let { onAdopted(it, nowMillis) }
            }
            pool.loadedTo = page.value.lastOrNull()?.key ?: pool.loadedTo
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

/** Whether jobs may be given to the pool. */
internal val Pool.runsJobs: Boolean get() = role == PoolRole.WORKING || role == PoolRole.SPARE

/** When a pool was last taken away, and how long it was left alone thereafter. */
private data class PoolLoss(val atMillis: Long, val delayMillis: Long)
