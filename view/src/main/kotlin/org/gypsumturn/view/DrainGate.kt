// Decides when a drained instance may be taken out of service: no live node may send it anything new, and none may
// still have a request under way on it.

package org.gypsumturn.view

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.ViewVersion

/** Whether a drain is complete. */
public sealed interface DrainProgress {
    /** No node uses the instance any more. */
    public data object Complete : DrainProgress

    /** [nodes] have not acknowledged the drain, and their leases have not run out. */
    public data class AwaitingAcknowledgement(public val nodes: List<NodeId>) : DrainProgress

    /** [nodes] still have requests under way on the instance. */
    public data class AwaitingRequests(public val nodes: List<NodeId>) : DrainProgress

    /** Fewer than half of the nodes have acknowledged the drain. */
    public data class AwaitingMajority(public val acknowledged: Int, public val nodes: Int) : DrainProgress
}

/**
 * Progress of the drain of [instance] that was accepted with [drainVersion].
 *
 * @param lapseMillis time after which a silent node's view has certainly run out; it exceeds the lease of the view
 */
public fun decideDrain(
    nowMillis: Long,
    view: FleetView,
    observations: BeatObservations,
    instance: InstanceId,
    drainVersion: ViewVersion,
    lapseMillis: Long,
): DrainProgress {
    val live = observations.liveNodes(nowMillis, view, lapseMillis)
    val beats = live.mapNotNull { observations.byNode[it]?.beat }
    val behind = beats.filter { it.version < drainVersion }.map { it.node }
    val acknowledged = beats.size - behind.size
    val busy = beats.filter { instance in it.busy }.map { it.node }
    return when {
        behind.isNotEmpty() -> DrainProgress.AwaitingAcknowledgement(behind.sorted())
        busy.isNotEmpty() -> DrainProgress.AwaitingRequests(busy.sorted())
        acknowledged * 2 <= view.nodes.size -> DrainProgress.AwaitingMajority(acknowledged, view.nodes.size)
        else -> DrainProgress.Complete
    }
}
