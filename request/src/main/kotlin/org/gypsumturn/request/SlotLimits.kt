// How many slots of each target this entry may use. There is one implementation for each way to divide the slots among
// the entries.

package org.gypsumturn.request

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole

/** Divides the slots of the targets among the entries. */
internal interface SlotLimits {
    /** Number of slots of [target] that this entry may use. */
    fun limit(target: Target): Int

    /** Number of slots of [target] that no entry used according to the latest reports. */
    fun unusedSlots(target: Target): Int = 0

    /** Applies the entries and targets of a new view. */
    fun onViewChanged(view: FleetView) = Unit

    /** Processes a slot report of another entry. */
    fun onPeerReport(nowMillis: Long, report: SlotReport) = Unit

    /** Processes the slot report that this entry sends to the other entries. */
    fun onOwnReport(nowMillis: Long, report: SlotReport) = Unit

    /** Removes reports that are too old. */
    fun expireReports(nowMillis: Long) = Unit
}

/** Every entry may use all slots; the target refuses requests beyond its number of slots. */
internal object AllSlots : SlotLimits {
    override fun limit(target: Target): Int = target.instance.slots
}

/** An equal share for each entry of the view. The remainder goes to different entries from target to target. */
internal class StaticSlots(private val self: NodeId, private val targets: TargetTable) : SlotLimits {
    private var limits: Map<InstanceId, Int> = emptyMap()

    override fun limit(target: Target): Int = limits[target.id] ?: 0

    override fun onViewChanged(view: FleetView) {
        val entries = (entryNodes(view) + self).distinct().sorted()
        limits = targets.eligibleByPool().values
            .flatMap { members -> members.withIndex() }
            .associate { (index, target) -> target.id to staticShare(target, index, entries) }
    }

    private fun staticShare(target: Target, index: Int, entries: List<NodeId>): Int {
        val remainder = target.instance.slots % entries.size
        val rotation = Math.floorMod(entries.indexOf(self) - index * remainder, entries.size)
        return target.instance.slots / entries.size + if (rotation < remainder) 1 else 0
    }
}

internal fun entryNodes(view: FleetView): List<NodeId> =
    view.nodes.values.filter { it.role == NodeRole.ENTRY }.map { it.id }
