// Decides when a draining instance may be taken out of service: when no live node can send it new work, and none still
// has work running on it.

package org.gypsumturn.view

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.ViewVersion

/** Progress of a drain: complete, or what it waits for. */
public sealed interface DrainProgress {
    /** No live node uses the instance; it may be taken out of service. */
    public data object Complete : DrainProgress

    /** [nodes] are live and have not acknowledged the drain. */
    public data class AwaitingAcknowledgement(public val nodes: List<NodeId>) : DrainProgress

    /** [nodes] still have requests or jobs running on the instance. */
    public data class AwaitingRequests(public val nodes: List<NodeId>) : DrainProgress

    /** Only [acknowledged] of all [nodes] have acknowledged the drain, which is not a majority. */
    public data class AwaitingMajority(public val acknowledged: Int, public val nodes: Int) : DrainProgress
}

/**
 * Determines the progress of the drain of [instance] that was accepted at [drainVersion].
 *
 * @param lapseMillis time without a new heartbeat after which a node's view has certainly expired; longer than the
 *   lease of the view
 */
public fun decideDrainProgress(
    nowMillis: Long,
    view: FleetView,
    observations: HeartbeatObservations,
    instance: InstanceId,
    drainVersion: ViewVersion,
    lapseMillis: Long,
): DrainProgress {
    val live = observations.liveNodes(nowMillis, view, lapseMillis)
    val heartbeats = live.mapNotNull { observations.byNode[it]?.heartbeat }
    val behind = heartbeats.filter { it.version < drainVersion }.map { it.node }
    val acknowledged = heartbeats.size - behind.size
    val busy = heartbeats.filter { instance in it.busy }.map { it.node }
    return when {
        behind.isNotEmpty() -> DrainProgress.AwaitingAcknowledgement(behind.sorted())
        busy.isNotEmpty() -> DrainProgress.AwaitingRequests(busy.sorted())
        acknowledged * 2 <= view.nodes.size -> DrainProgress.AwaitingMajority(acknowledged, view.nodes.size)
        else -> DrainProgress.Complete
    }
}
