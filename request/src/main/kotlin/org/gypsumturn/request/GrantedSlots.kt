// Slot grants that follow demand. The slots of a pool are put into a fixed order that goes round robin over its
// targets, and each entry takes a contiguous range whose length follows its share of the demand. Entries that have the
// same reports therefore compute ranges that do not overlap.

package org.gypsumturn.request

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import kotlin.math.roundToInt

/** Weight of the newest report in the smoothed demand of an entry. */
private const val NEWEST_WEIGHT = 0.5

/** Added to the demand of each entry, so that an idle entry also counts. */
private const val BASE_DEMAND = 1.0

/** Weight of a queued urgent request, relative to a queued request of another priority. */
private const val URGENT_WEIGHT = 8

/**
 * Largest number of queued requests, other than urgent ones, that count as demand. A longer queue shows how much an
 * entry admitted for the slots that it had, rather than how many slots it needs.
 */
private const val MAX_COUNTED_WAITING = 32

/**
 * Share of the slots that is divided equally, regardless of demand, so that a request at an idle entry finds a free
 * slot.
 */
private const val GUARANTEED_SHARE = 0.25

/**
 * Slot limits by demand. The sender and the receivers of a report smooth the demand once for each report, so that all
 * compute the same ranges. An entry falls back to its static share if it has reports of fewer than half of the other
 * entries, or if it was paused for so long that its own grants may have passed to others.
 */
internal class GrantedSlots(
    private val self: NodeId,
    private val settings: DispatchSettings,
    private val targets: TargetTable,
) : SlotLimits {
    /** The latest report of one entry and the demand smoothed over its reports. */
    private class LatestReport(var receivedMillis: Long, var report: SlotReport) {
        val smoothedDemandByPool = HashMap<PoolId, Double>()

        /**
         * Moves the smoothed demand for [pool], whose targets are [members], towards the demand of the latest report.
         */
        fun smoothDemand(pool: PoolId, members: List<Target>) {
            val running = members.sumOf { report.useByInstance[it.id]?.inUse ?: 0 }
            val queued = report.queuedByPool[pool] ?: QueuedCount(0, 0)
            val waiting = minOf(queued.total - queued.urgent, MAX_COUNTED_WAITING) + URGENT_WEIGHT * queued.urgent
            val current = (running + waiting).toDouble()
            smoothedDemandByPool.merge(pool, current) { old, new -> old + (new - old) * NEWEST_WEIGHT }
        }
    }

    private val staticFallback = StaticSlots(self, targets)
    private val latestReports = HashMap<NodeId, LatestReport>()
    private var peersInView: Set<NodeId> = emptySet()
    private var limits: Map<InstanceId, Int>? = null
    private var lastExpiryCheckMillis: Long? = null
    private var limitsOutdated = true

    override fun limit(target: Target): Int {
        if (limitsOutdated) recomputeLimits()
        val granted = limits ?: return staticFallback.limit(target)
        return granted[target.id] ?: 0
    }

    override fun unusedSlots(target: Target): Int =
        if (limits == null) 0 else target.instance.slots - target.inUse - usedByPeers(target)

    override fun onViewChanged(view: FleetView) {
        peersInView = entryNodes(view).toSet() - self
        staticFallback.onViewChanged(view)
        limitsOutdated = true
    }

    override fun onPeerReport(nowMillis: Long, report: SlotReport) {
        if (report.node != self) storeReport(nowMillis, report)
    }

    override fun onOwnReport(nowMillis: Long, report: SlotReport) {
        storeReport(nowMillis, report)
    }

    override fun expireReports(nowMillis: Long) {
        val last = lastExpiryCheckMillis
        if (last != null && nowMillis - last > settings.peerLapseMillis / 2) latestReports.keys.retainAll(setOf(self))
        lastExpiryCheckMillis = nowMillis
        val lapsed = latestReports.entries.removeIf { (node, it) -> node != self && !isFresh(nowMillis, it) }
        limitsOutdated = limitsOutdated || lapsed
    }

    private fun storeReport(nowMillis: Long, report: SlotReport) {
        val before = latestReports[report.node]
        if (before != null && report.sequence <= before.report.sequence && isFresh(nowMillis, before)) return
        val latest = before ?: LatestReport(nowMillis, report).also { latestReports[report.node] = it }
        latest.receivedMillis = nowMillis
        latest.report = report
        targets.eligibleByPool().forEach { (pool, members) -> latest.smoothDemand(pool, members) }
        limitsOutdated = true
    }

    private fun isFresh(nowMillis: Long, it: LatestReport) = nowMillis - it.receivedMillis <= settings.peerLapseMillis

    private fun recomputeLimits() {
        limitsOutdated = false
        val peersKnown = peersInView.count { it in latestReports }
        limits = if (peersKnown * 2 < peersInView.size) null else computeGrants()
    }

    private fun computeGrants(): Map<InstanceId, Int> {
        val entries = (latestReports.keys + self).sorted()
        val limits = HashMap<InstanceId, Int>()
        targets.eligibleByPool().forEach { (pool, members) ->
            val demands = entries.map { BASE_DEMAND + (latestReports[it]?.smoothedDemandByPool?.get(pool) ?: 0.0) }
            val (from, until) = slotRange(entries.indexOf(self), demands, members.sumOf { it.instance.slots })
            slotOrder(members).subList(from, until).forEach { limits.merge(it.id, 1, Int::plus) }
            members.forEach { target -> limits.computeIfPresent(target.id) { _, grant -> capToUnused(target, grant) } }
        }
        return limits
    }

    /**
     * The slots of [members] in round-robin order: one slot of each target in turn. Each slot stands for its target.
     */
    private fun slotOrder(members: List<Target>): List<Target> {
        val rounds = members.maxOfOrNull { it.instance.slots } ?: 0
        return (0 until rounds).flatMap { round -> members.filter { it.instance.slots > round } }
    }

    private fun slotRange(index: Int, demands: List<Double>, slots: Int): Pair<Int, Int> {
        val guaranteed = GUARANTEED_SHARE * slots / demands.size
        val slotsPerDemand = (1.0 - GUARANTEED_SHARE) * slots / demands.sum()
        val lengths = demands.map { guaranteed + it * slotsPerDemand }
        val before = lengths.take(index).sum()
        return before.roundToInt() to minOf(slots, (before + lengths[index]).roundToInt())
    }

    /** Reduces [grant] by the slots that other entries still use according to their latest reports. */
    private fun capToUnused(target: Target, grant: Int): Int =
        minOf(grant, maxOf(0, target.instance.slots - usedByPeers(target)))

    private fun usedByPeers(target: Target): Int = latestReports.values.filter { it.report.node != self }
        .sumOf { it.report.useByInstance[target.id]?.inUse ?: 0 }
}
