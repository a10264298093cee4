// Decides whom a node asks for a newer view. One reader in each data centre asks the table and the others ask the
// reader, so that reads of the table grow with data centres and not with nodes.

package org.gypsumturn.view

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId

/** Whom a node asks in one round. */
public data class ViewAsks(public val table: Boolean, public val peers: List<Node>)

/**
 * Whom [self] asks at [nowMillis], given the [view] that it holds and what it knows of others.
 *
 * A node asks the table if it is the reader of its data centre, if it is not yet part of the view, if its own calls to
 * the table fail, or if nobody has confirmed the view for half of [leaseMillis]. It asks the peers before it in its
 * data centre, and all peers while the table is out of its reach: only a majority can then keep the view in use.
 */
public fun decideAsks(
    nowMillis: Long,
    self: Node,
    view: FleetView,
    freshness: FreshnessState,
    leaseMillis: Long,
): ViewAsks {
    val others = view.nodes.values.filter { it.id != self.id }
    val peers = if (freshness.tableUnreachable) others else peersBefore(self, others)
    return ViewAsks(asksTable(nowMillis, self, view, freshness, leaseMillis), peers)
}

private fun asksTable(
    nowMillis: Long,
    self: Node,
    view: FleetView,
    freshness: FreshnessState,
    leaseMillis: Long,
): Boolean {
    if (self.id !in view.nodes || freshness.tableUnreachable) return true
    if (readerOf(self, view, freshness) == self.id) return true
    val confirmedAt = confirmedAtMillis(freshness, view.version) ?: return true
    return nowMillis - confirmedAt > leaseMillis / 2
}

private fun readerOf(self: Node, view: FleetView, freshness: FreshnessState): NodeId? = view.nodes.values
    .filter { it.dataCentre == self.dataCentre }
    .map { it.id }
    .filter { it == self.id || freshness.peers[it]?.tableUnreachable == false }
    .minOrNull()

// The reader is the first; the second takes over if the first falls silent.
private fun peersBefore(self: Node, others: List<Node>): List<Node> = others
    .filter { it.dataCentre == self.dataCentre && it.id < self.id }
    .sortedBy { it.id }
    .take(MAX_PEERS_ASKED)

private const val MAX_PEERS_ASKED = 2
