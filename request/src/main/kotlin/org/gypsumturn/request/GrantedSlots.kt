// Slot grants that follow demand. The slots of a pool are laid out in a fixed order that goes round its targets, and
// each entry takes a range whose length is its part of the demand, so entries that know the same reports never
// overlap.

package org.gypsumturn.request

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import kotlin.math.roundToInt

/** Weight of the newest demand in the smoothed demand of an entry. */
private const val NEWEST_WEIGHT = 0.5

/** Demand that an idle entry counts with. */
private const val MIN_DEMAND = 1.0

/** Weight of an urgent request that waits, against one that does not hurry. */
private const val URGENT_WEIGHT = 8

/**
 * Waiting requests, other than urgent ones, that count at most. Beyond it a long queue tells how much an entry
 * admitted for the slots that it had rather than what it needs.
 */
private const val MAX_WAITING = 32

/** Part of the slots that each entry keeps whatever its demand, so that an arrival finds one. */
private const val STANDING_SHARE = 0.25

/**
 * Grants by demand. Demand is smoothed once for each report, by its sender and its hearers alike, so that all compute
 * the same ranges. An entry that hears fewer than half of its peers, or that was paused for as long as reports live,
 * falls back to its static part, so grants that others have taken over lapse.
 */
internal class GrantedSlots(
    private val self: NodeId,
    private val settings: DispatchSettings,
    private val targets: TargetTable,
) : SlotLimits {
    private class Known(var atMillis: Long, var report: SlotReport) {
        val demand = HashMap<PoolId, Double>()

        /** Moves the smoothed demand for [pool], of which [members] are the targets, towards that of the report. */
        fun smooth(pool: PoolId, members: List<Target>) {
            val running = members.sumOf { report.useByInstance[it.id]?.inUse ?: 0 }
            val queued = report.queuedByPool[pool] ?: QueuedCount(0, 0)
            val waiting = minOf(queued.total - queued.urgent, MAX_WAITING) + URGENT_WEIGHT * queued.urgent
            val now = (running + waiting).toDouble()
            demand.merge(pool, now) { old, new -> old + (new - old) * NEWEST_WEIGHT }
        }
    }

    private val fallback = StaticSlots(self, targets)
    private val known = HashMap<NodeId, Known>()
    private var peersInView: Set<NodeId> = emptySet()
    private var limits: Map<InstanceId, Int>? = null
    private var renewedMillis: Long? = null
    private var outdated = true

    override fun limit(target: Target): Int {
        if (outdated) recompute()
        val granted = limits ?: return fallback.limit(target)
        return granted[target.id] ?: 0
    }

    override fun spare(target: Target): Int =
        if (limits == null) 0 else target.instance.slots - target.inUse - usedByPeers(target)

    override fun viewChanged(view: FleetView) {
        peersInView = entryNodes(view).toSet() - self
        fallback.viewChanged(view)
        outdated = true
    }

    override fun heard(nowMillis: Long, report: SlotReport) {
        if (report.node != self) note(nowMillis, report)
    }

    override fun told(nowMillis: Long, report: SlotReport) {
        note(nowMillis, report)
    }

    override fun renew(nowMillis: Long) {
        val last = renewedMillis
        if (last != null && nowMillis - last > settings.peerLapseMillis / 2) known.keys.retainAll(setOf(self))
        renewedMillis = nowMillis
        val lapsed = known.entries.removeIf { (node, it) -> node != self && !isFresh(nowMillis, it) }
        outdated = outdated || lapsed
    }

    private fun note(nowMillis: Long, report: SlotReport) {
        val before = known[report.node]
        if (before != null && report.sequence <= before.report.sequence && isFresh(nowMillis, before)) return
        val now = before ?: Known(nowMillis, report).also { known[report.node] = it }
        now.atMillis = nowMillis
        now.report = report
        targets.eligibleByPool().forEach { (pool, members) -> now.smooth(pool, members) }
        outdated = true
    }

    private fun isFresh(nowMillis: Long, it: Known) = nowMillis - it.atMillis <= settings.peerLapseMillis

    private fun recompute() {
        outdated = false
        val peersKnown = peersInView.count { it in known }
        limits = if (peersKnown * 2 < peersInView.size) null else grants()
    }

    private fun grants(): Map<InstanceId, Int> {
        val entries = (known.keys + self).sorted()
        val limits = HashMap<InstanceId, Int>()
        targets.eligibleByPool().forEach { (pool, members) ->
            val demands = entries.map { MIN_DEMAND + (known[it]?.demand?.get(pool) ?: 0.0) }
            val (from, until) = range(entries.indexOf(self), demands, members.sumOf { it.instance.slots })
            slotOrder(members).subList(from, until).forEach { limits.merge(it.id, 1, Int::plus) }
            members.forEach { target -> limits.computeIfPresent(target.id) { _, grant -> capped(target, grant) } }
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
        val perDemand = (1.0 - STANDING_SHARE) * slots / demands.sum()
        val parts = demands.map { standing + it * perDemand }
        val before = parts.take(index).sum()
        return before.roundToInt() to minOf(slots, (before + parts[index]).roundToInt())
    }

    /** [grant] as far as peers were not last seen to use the slots still. */
    private fun capped(target: Target, grant: Int): Int =
        minOf(grant, maxOf(0, target.instance.slots - usedByPeers(target)))

    private fun usedByPeers(target: Target): Int = known.values.filter { it.report.node != self }
        .sumOf { it.report.useByInstance[target.id]?.inUse ?: 0 }
}
