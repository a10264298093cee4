// Decides whether a view may still be used. A view is fresh while the table, or a peer that heard from the table,
// confirmed within the lease that nothing newer exists. When nobody reaches the table, nothing newer can be accepted: a
// majority of the nodes that all lack the table and hold the same version keep it in use. A drain is acknowledged by a
// majority before the drained instance is taken, so a blind majority at the older version cannot exist beside it.

package org.gypsumturn.view

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.ViewVersion

/**
 * What a peer said of its view.
 *
 * @property confirmedAtMillis latest time, on this node's clock, at which the table certainly confirmed the version to
 *   the peer; null if never
 * @property heardAtMillis time at which this node asked
 * @property tableUnreachable whether the peer's own calls to the table fail
 */
public data class PeerNews(
    public val version: ViewVersion,
    public val confirmedAtMillis: Long?,
    public val heardAtMillis: Long,
    public val tableUnreachable: Boolean,
)

/** Everything that freshness is decided on. All times are milliseconds of this node's monotonic clock. */
public data class FreshnessState(
    public val self: NodeId,
    public val tableConfirmedAtMillis: Long? = null,
    public val tableUnreachable: Boolean = false,
    public val peers: Map<NodeId, PeerNews> = emptyMap(),
)

/**
 * The latest time at which the table is known to have held nothing newer than [version], directly or through a peer.
 * That the table held an older version at some time says so too.
 */
public fun confirmedAtMillis(state: FreshnessState, version: ViewVersion): Long? {
    val throughPeers = state.peers.values.filter { it.version <= version }.mapNotNull { it.confirmedAtMillis }
    return (throughPeers + listOfNotNull(state.tableConfirmedAtMillis)).maxOrNull()
}

/** Whether [view] may be used at [nowMillis] under a lease of [leaseMillis]. */
public fun decideReadiness(nowMillis: Long, state: FreshnessState, view: FleetView, leaseMillis: Long): Readiness {
    if (view.version == ViewVersion.NONE) return Readiness(false, "no view has been received")
    if (state.peers.values.any { it.version > view.version }) return Readiness(false, "a peer holds a newer view")
    val confirmedAt = confirmedAtMillis(state, view.version)
    val isConfirmed = confirmedAt != null && nowMillis - confirmedAt <= leaseMillis
    return when {
        isConfirmed && state.self in view.nodes -> Readiness(true, "the view is confirmed")

        isTableOutForMajority(nowMillis, state, view, leaseMillis) -> tableOut(view)

        // Nobody waits for this node before an instance is taken out of service, so it may not send requests yet.
        isConfirmed -> Readiness(false, "this node is not yet part of the view")

        else -> lapsed(nowMillis, view, confirmedAt, leaseMillis)
    }
}

private fun tableOut(view: FleetView) =
    Readiness(true, "the table is out of reach for a majority of nodes; view ${view.version} stays in force")

private fun lapsed(nowMillis: Long, view: FleetView, confirmedAt: Long?, leaseMillis: Long): Readiness {
    val age = if (confirmedAt == null) "never" else "${nowMillis - confirmedAt} ms ago"
    return Readiness(false, "view ${view.version} was last confirmed $age; the lease is $leaseMillis ms")
}

private fun isTableOutForMajority(
    nowMillis: Long,
    state: FreshnessState,
    view: FleetView,
    leaseMillis: Long,
): Boolean {
    if (!state.tableUnreachable) return false
    val blindPeers =
        state.peers.filter { (id, news) ->
            id in view.nodes &&
                id != state.self &&
                news.tableUnreachable &&
                news.version == view.version &&
                nowMillis - news.heardAtMillis <= leaseMillis
        }
    val self = if (state.self in view.nodes) 1 else 0
    return (blindPeers.size + self) * 2 > view.nodes.size
}
