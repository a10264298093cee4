// Decides whether a node may still use its view. A view is fresh while the table, directly or through a peer, has
// confirmed within the lease time that no newer version exists. If a majority of nodes cannot reach the table and hold
// the same version, they keep using it. This is safe because a majority must acknowledge a drain before the drained
// instance is taken out of service, so no majority without the table can still be at a version before that drain.

package org.gypsumturn.view

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.ViewVersion

/**
 * The state of a peer's view, as the peer reported it. Times are milliseconds of this node's monotonic clock.
 *
 * @property confirmedAtMillis latest time at which the table is certain to have confirmed the version to the peer; null
 *   if it never did
 * @property heardAtMillis time at which this node sent the request that the report answers
 * @property tableUnreachable whether the peer's own calls to the table fail
 */
public data class PeerViewStatus(
    public val version: ViewVersion,
    public val confirmedAtMillis: Long?,
    public val heardAtMillis: Long,
    public val tableUnreachable: Boolean,
)

/**
 * Input of the decision whether a view is fresh. Times are milliseconds of this node's monotonic clock.
 *
 * @property tableConfirmedAtMillis latest time at which the table confirmed the view to this node; null if it never did
 * @property tableUnreachable whether this node's own calls to the table fail
 * @property peers latest report of each peer
 */
public data class FreshnessState(
    public val self: NodeId,
    public val tableConfirmedAtMillis: Long? = null,
    public val tableUnreachable: Boolean = false,
    public val peers: Map<NodeId, PeerViewStatus> = emptyMap(),
)

/**
 * The latest time at which the table is known, directly or through a peer, to have held no version newer than
 * [version]; null if there is none. A report that the table held an older version at some time counts as well.
 */
public fun confirmedAtMillis(state: FreshnessState, version: ViewVersion): Long? {
    val throughPeers = state.peers.values.filter { it.version <= version }.mapNotNull { it.confirmedAtMillis }
    return (throughPeers + listOfNotNull(state.tableConfirmedAtMillis)).maxOrNull()
}

/** Decides whether [view] may be used at [nowMillis]; a confirmation by the table is valid for [leaseMillis]. */
public fun decideReadiness(nowMillis: Long, state: FreshnessState, view: FleetView, leaseMillis: Long): Readiness {
    if (view.version == ViewVersion.NONE) return Readiness(false, "no view has been received")
    if (state.peers.values.any { it.version > view.version }) return Readiness(false, "a peer holds a newer view")
    val confirmedAt = confirmedAtMillis(state, view.version)
    val isConfirmed = confirmedAt != null && nowMillis - confirmedAt <= leaseMillis
    return when {
        isConfirmed && state.self in view.nodes -> Readiness(true, "the view is confirmed")

        isTableUnreachableForMajority(nowMillis, state, view, leaseMillis) -> readyWithoutTable(view)

        // Drains don't wait for nodes outside the view, so this node might send requests to a drained instance.
        isConfirmed -> Readiness(false, "this node is not yet part of the view")

        else -> notReadyAfterLease(nowMillis, view, confirmedAt, leaseMillis)
    }
}

private fun readyWithoutTable(view: FleetView) =
    Readiness(true, "the table is out of reach for a majority of nodes; view ${view.version} stays in force")

private fun notReadyAfterLease(nowMillis: Long, view: FleetView, confirmedAt: Long?, leaseMillis: Long): Readiness {
    val age = if (confirmedAt == null) "never" else "${nowMillis - confirmedAt} ms ago"
    return Readiness(false, "view ${view.version} was last confirmed $age; the lease is $leaseMillis ms")
}

private fun isTableUnreachableForMajority(
    nowMillis: Long,
    state: FreshnessState,
    view: FleetView,
    leaseMillis: Long,
): Boolean {
    if (!state.tableUnreachable) return false
    val peersWithoutTable =
        state.peers.filter { (id, peer) ->
            id in view.nodes &&
                id != state.self &&
                peer.tableUnreachable &&
                peer.version == view.version &&
                nowMillis - peer.heardAtMillis <= leaseMillis
        }
    val selfCount = if (state.self in view.nodes) 1 else 0
    return (peersWithoutTable.size + selfCount) * 2 > view.nodes.size
}
