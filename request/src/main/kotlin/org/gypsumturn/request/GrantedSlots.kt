// Slot grants that follow demand. The slots of a pool are laid out in a fixed order that goes round its targets, and
// each entry takes a range whose length is its part of the demand, so entries that know the same reports never overlap.

package org.gypsumturn.request

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import kotlin.math.roundToInt

/** Weight of the newest demand in the smoothed demand of an entry. */
private const val NEWEST_WEIGHT = 0.5

/** Part of the slots that each entry keeps whatever its demand, so that an arrival finds one. */
private const val STANDING_SHARE = 0.25

/**
 * Grants by demand. An entry that hears fewer than half of its peers, or that was paused for as long as reports live,
 * falls back to its static part, so grants that others have taken over lapse.
 */
internal class GrantedSlots(
    private val self: NodeId,
    private val settings: DispatchSettings,
    private val targets: TargetTable,
) : SlotLimits {
    private class Heard(val atMillis: Long, val report: SlotReport)

    private val fallback = StaticSlots(self, targets)
    private val heard = HashMap<NodeId, Heard>()
    private val smoothed = HashMap<Pair<NodeId, PoolId>, Double>()
    private var peersInView: Set<NodeId> = emptySet()
    private var limits: Map<InstanceId, Int>? = null
    private var renewedMillis: Long? = null

    override fun limit(target: Target): Int = limits?.let { it[target.id] ?: 0 } ?: fallback.limit(target)

    override fun viewChanged(view: FleetView) {
        peersInView = entryNodes(view).toSet() - self
        fallback.viewChanged(view)
    }

    override fun heard(nowMillis: Long, report: SlotReport) {
        val known = heard[report.node]
        val isOld = known != null && report.sequence <= known.report.sequence && isFresh(nowMillis, known)
        if (report.node == self || isOld) return
        heard[report.node] = Heard(nowMillis, report)
    }

    override fun renew(nowMillis: Long, queued: Map<PoolId, Int>) {
        val last = renewedMillis
        if (last != null && nowMillis - last > settings.peerLapseMillis / 2) heard.clear()
        renewedMillis = nowMillis
        heard.values.removeIf { !isFresh(nowMillis, it) }
        val known = peersInView.count { it in heard }
        limits = if (known * 2 < peersInView.size) null else grants(queued)
    }

    private fun isFresh(nowMillis: Long, heard: Heard) = nowMillis - heard.atMillis <= settings.peerLapseMillis

    private fun grants(queued: Map<PoolId, Int>): Map<InstanceId, Int> {
        val entries = (heard.keys + self).sorted()
        val limits = HashMap<InstanceId, Int>()
        targets.eligibleByPool().forEach { (pool, members) ->
            val demands = entries.map { demand(it, pool, members, queued) }
            val (from, until) = range(entries.indexOf(self), demands, members.sumOf { it.instance.slots })
            val order = slotOrder(members)
            order.subList(from, until).forEach { limits.merge(it.id, 1, Int::plus) }
            if (heard.isNotEmpty()) members.forEach { limits.computeIfPresent(it.id) { _, n -> capped(it, n) } }
        }
        return limits
    }

    /** The slots of [members], one of each target after another. */
    private fun slotOrder(members: List<Target>): List<Target> {
        val rounds = members.maxOfOrNull { it.instance.slots } ?: 0
        return (0 until rounds).flatMap { round -> members.filter { it.instance.slots > round } }
    }

    private fun range(index: Int, demands: List<Double>, slots: Int): Pair<Int, Int> {
        val standing = STANDING_SHARE * slots / demands.size
        val perDemand = (1.0 - STANDING_SHARE) * slots / maxOf(demands.sum(), 1e-9)
        val parts = demands.map { standing + it * perDemand }
        val before = parts.take(index).sum()
        return before.roundToInt() to minOf(slots, (before + parts[index]).roundToInt())
    }

    /** [grant] less what peers were last seen to use beyond what would be left for them. */
    private fun capped(target: Target, grant: Int): Int {
        val usedByPeers = heard.values.sumOf { it.report.useByInstance[target.id]?.inUse ?: 0 }
        return minOf(grant, maxOf(target.inUse, target.instance.slots - usedByPeers)).coerceAtLeast(0)
    }

    private fun demand(node: NodeId, pool: PoolId, members: List<Target>, queued: Map<PoolId, Int>): Double {
        val now = 1.0 + if (node == self) ownDemand(pool, members, queued) else peerDemand(node, pool, members)
        val before = smoothed[node to pool] ?: now
        val next = before + (now - before) * NEWEST_WEIGHT
        smoothed[node to pool] = next
        return next
    }

    private fun ownDemand(pool: PoolId, members: List<Target>, queued: Map<PoolId, Int>): Int =
        members.sumOf { it.inUse } + (queued[pool] ?: 0)

    private fun peerDemand(node: NodeId, pool: PoolId, members: List<Target>): Int {
        val report = heard[node]?.report ?: return 0
        return members.sumOf { report.useByInstance[it.id]?.inUse ?: 0 } + (report.queuedByPool[pool]?.total ?: 0)
    }
}
