// Chooses where a node polls for a newer view. One node of each data centre, the reader, polls the table, and the
// others poll the reader, so the number of table reads grows with the number of data centres and not of nodes.

package org.gypsumturn.view

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId

/** What a node polls in one round: the table if [pollsTable] is set, and each of [peers]. */
public data class ViewPollTargets(public val pollsTable: Boolean, public val peers: List<Node>)

/**
 * Chooses what [self] polls at [nowMillis], given the [view] that it holds and the [freshness] of that view.
 *
 * A node polls the table if it is the reader of its data centre, if it is not yet part of the view, if its own calls to
 * the table fail, or if the view has not been confirmed for half of [leaseMillis]. It polls the peers of its data
 * centre that may be the reader: those with the smallest ids, if smaller than its own. While it cannot reach the table
 * it polls all peers, since only a majority can then keep the view in use.
 */
public fun choosePollTargets(
    nowMillis: Long,
    self: Node,
    view: FleetView,
    freshness: FreshnessState,
    leaseMillis: Long,
): ViewPollTargets {
    val others = view.nodes.values.filter { it.id != self.id }
    val peers = if (freshness.tableUnreachable) others else readerCandidates(self, others)
    return ViewPollTargets(shouldPollTable(nowMillis, self, view, freshness, leaseMillis), peers)
}

private fun shouldPollTable(
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

// The node with the smallest id is the reader; the second takes over when the first stops answering.
private fun readerCandidates(self: Node, others: List<Node>): List<Node> = others
    .filter { it.dataCentre == self.dataCentre && it.id < self.id }
    .sortedBy { it.id }
    .take(MAX_READER_CANDIDATES)

private const val MAX_READER_CANDIDATES = 2
