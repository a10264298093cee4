// How many slots of each target this entry may use. The ways to divide them share this interface; the entries' slot
// reports feed those that need them.

package org.gypsumturn.request

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole

/** Number of slots of a target that this entry may use. */
internal interface SlotLimits {
    fun limit(target: Target): Int

    /** Slots of [target] that no entry was last seen to use. */
    fun spare(target: Target): Int = 0

    /** Takes note of the entries and targets that exist. */
    fun viewChanged(view: FleetView) = Unit

    /** Takes note of a peer's report. */
    fun heard(nowMillis: Long, report: SlotReport) = Unit

    /** Takes note of the report that this entry gave to its peers. */
    fun told(nowMillis: Long, report: SlotReport) = Unit

    /** Lets lapse what is out of date. */
    fun renew(nowMillis: Long) = Unit
}

/** All slots: the target itself refuses what exceeds them. */
internal object AllSlots : SlotLimits {
    override fun limit(target: Target): Int = target.instance.slots
}

/** An equal part for each entry of the view; what is left over rotates over the entries from target to target. */
internal class StaticSlots(private val self: NodeId, private val targets: TargetTable) : SlotLimits {
    private var limits: Map<InstanceId, Int> = emptyMap()

    override fun limit(target: Target): Int = limits[target.id] ?: 0

    override fun viewChanged(view: FleetView) {
        val entries = (entryNodes(view) + self).distinct().sorted()
        limits = targets.eligibleByPool().values
            .flatMap { members -> members.withIndex() }
            .associate { (index, target) -> target.id to part(target, index, entries) }
    }

    private fun part(target: Target, index: Int, entries: List<NodeId>): Int {
        val rest = target.instance.slots % entries.size
        val turn = Math.floorMod(entries.indexOf(self) - index * rest, entries.size)
        return target.instance.slots / entries.size + if (turn < rest) 1 else 0
    }
}

internal fun entryNodes(view: FleetView): List<NodeId> =
    view.nodes.values.filter { it.role == NodeRole.ENTRY }.map { it.id }
