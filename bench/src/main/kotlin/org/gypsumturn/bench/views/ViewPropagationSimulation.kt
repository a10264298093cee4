// Simulates how versions of the view propagate among nodes, in virtual time. The nodes use the decisions of the view
// module; network delays, the table and the isolation of a region are simulated here.

package org.gypsumturn.bench.views

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.model.Address
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.view.FreshnessState
import org.gypsumturn.view.PeerViewStatus
import org.gypsumturn.view.choosePollTargets
import org.gypsumturn.view.confirmedAtMillis
import org.gypsumturn.view.decideReadiness
import java.util.PriorityQueue

/**
 * Size of the fleet and timing of the nodes. The table is in the first region.
 *
 * @property leaseMillis how long a node may serve a view after the last confirmation that no newer version exists
 * @property peerLapseMillis age at which a node discards what it heard from a peer
 * @property localDelayMillis one-way delay within a region
 * @property interRegionDelayMillis one-way delay between regions
 * @property everyNodeReadsTable whether every node reads the table and none polls its peers, as the baseline
 */
public data class PropagationSettings(
    public val regions: Int,
    public val dataCentres: Int,
    public val nodesPerDataCentre: Int,
    public val pollMillis: Long = 500,
    public val leaseMillis: Long = 3_000,
    public val peerLapseMillis: Long = 5_000,
    public val localDelayMillis: Long = 1,
    public val interRegionDelayMillis: Long = 40,
    public val everyNodeReadsTable: Boolean = false,
)

/**
 * Numbers of calls that the nodes made.
 *
 * @property exchanges calls between nodes
 * @property busiestNodeExchanges calls that the busiest node made or answered
 */
public data class PropagationCallCounts(
    public val tableReads: Long = 0,
    public val exchanges: Long = 0,
    public val busiestNodeExchanges: Long = 0,
)

/**
 * Simulates the nodes of a fleet. While [isolatedRegion] is set, that region reaches neither the table nor the other
 * regions.
 */
public class ViewPropagationSimulation(private val settings: PropagationSettings, seed: Long) {
    private val random: UniformRandomProvider = RandomSource.XO_SHI_RO_256_PP.create(seed)
    private val nodes = (0 until settings.dataCentres).flatMap(::nodesOf)
    private val members =
        FleetView(version = ViewVersion(1)).withRecords(nodes.map { Mutation.PutNode(it) }).nodes
    private val states = nodes.associate { it.id to NodeState(it, FreshnessState(it.id)) }
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMillis }.thenBy { it.sequence })
    private var sequence = 0L

    /** The newest version that the table holds. */
    public var tableVersion: ViewVersion = ViewVersion(1)

    /** The region that is cut off from the table and the other regions, or null. */
    public var isolatedRegion: RegionId? = null

    /** The current virtual time. */
    public var nowMillis: Long = 0
        private set

    /** Numbers of calls made so far. */
    public val callCounts: PropagationCallCounts
        get() = PropagationCallCounts(
            tableReads,
            states.values.sumOf { it.sentPolls },
            states.values.maxOf { it.sentPolls + it.answeredPolls },
        )

    private var tableReads = 0L

    init {
        nodes.forEach { node -> schedule(random.nextLong(settings.pollMillis)) { poll(states.getValue(node.id)) } }
    }

    /** All regions; the first one holds the table. */
    public val regions: List<RegionId> get() = nodes.map { it.region }.distinct()

    /** Runs until [untilMillis], or until [done] returns true. */
    public fun run(untilMillis: Long, done: () -> Boolean = { false }) {
        while (events.isNotEmpty() && events.peek().atMillis <= untilMillis && !done()) {
            val event = events.poll()
            nowMillis = event.atMillis
            event.action()
        }
        if (!done()) nowMillis = untilMillis
    }

    /** Whether every node outside [isolatedRegion] has [version] or a newer one in force. */
    public fun isInForceWhereReachable(version: ViewVersion): Boolean =
        states.values.all { it.node.region == isolatedRegion || it.version >= version }

    /** Whether any node accepts new work while its version is older than [version]. */
    public fun isOlderVersionServed(version: ViewVersion): Boolean =
        states.values.any { it.version < version && isReady(it) }

    /** Number of nodes in [region], or in all regions if it is null, that may accept new work. */
    public fun readyNodeCount(region: RegionId?): Int =
        states.values.count { (region == null || it.node.region == region) && isReady(it) }

    private fun isReady(state: NodeState) =
        decideReadiness(nowMillis, state.freshness, viewOf(state.version), settings.leaseMillis).ready

    private fun nodesOf(dataCentre: Int): List<Node> = (0 until settings.nodesPerDataCentre).map { number ->
        Node(
            NodeId("d$dataCentre-n$number"),
            NodeRole.ENTRY,
            RegionId("r${dataCentre * settings.regions / settings.dataCentres}"),
            DataCentreId("d$dataCentre"),
            Address("127.0.0.1", 1),
        )
    }

    private fun viewOf(version: ViewVersion) = FleetView(version = version, nodes = members)

    private fun poll(state: NodeState) {
        val recentPeers =
            state.freshness.peers.filterValues { nowMillis - it.heardAtMillis <= settings.peerLapseMillis }
        state.freshness = state.freshness.copy(peers = recentPeers)
        val pollTargets =
            choosePollTargets(nowMillis, state.node, viewOf(state.version), state.freshness, settings.leaseMillis)
        if (pollTargets.pollsTable || settings.everyNodeReadsTable) pollTable(state)
        if (!settings.everyNodeReadsTable) pollTargets.peers.forEach { pollPeer(state, states.getValue(it.id)) }
        schedule(nowMillis + settings.pollMillis) { poll(state) }
    }

    private fun pollTable(state: NodeState) {
        tableReads++
        val polledAtMillis = nowMillis
        val delayMillis = delayBetween(state.node.region, regions.first())
        schedule(polledAtMillis + delayMillis) {
            val isReachable = isolatedRegion == null || state.node.region != isolatedRegion
            val version = tableVersion
            schedule(nowMillis + delayMillis) {
                if (isReachable) state.applyTableAnswer(version, polledAtMillis) else state.recordTableFailure()
            }
        }
    }

    private fun pollPeer(from: NodeState, to: NodeState) {
        from.sentPolls++
        to.answeredPolls++
        val polledAtMillis = nowMillis
        val delayMillis = delayBetween(from.node.region, to.node.region)
        val isCut = from.node.region != to.node.region && isolatedRegion in setOf(from.node.region, to.node.region)
        if (isCut) return
        schedule(polledAtMillis + delayMillis) {
            val confirmedAt = confirmedAtMillis(to.freshness, to.version)
            val confirmedAgoMillis = confirmedAt?.let { nowMillis - it }
            val status = PeerViewStatus(
                to.version,
                confirmedAgoMillis?.let { polledAtMillis - it },
                polledAtMillis,
                to.freshness.tableUnreachable,
            )
            schedule(nowMillis + delayMillis) { from.applyPeerAnswer(to.node.id, status) }
        }
    }

    private fun delayBetween(one: RegionId, other: RegionId): Long =
        (if (one == other) settings.localDelayMillis else settings.interRegionDelayMillis) + random.nextLong(2)

    private fun schedule(atMillis: Long, action: () -> Unit) {
        events += Event(atMillis, sequence++, action)
    }

    private class Event(val atMillis: Long, val sequence: Long, val action: () -> Unit)

    private class NodeState(val node: Node, var freshness: FreshnessState) {
        var version = ViewVersion(1)
        var sentPolls = 0L
        var answeredPolls = 0L

        fun applyTableAnswer(newest: ViewVersion, polledAtMillis: Long) {
            version = maxOf(version, newest)
            if (newest < version) return
            val confirmedAt = maxOf(polledAtMillis, freshness.tableConfirmedAtMillis ?: polledAtMillis)
            freshness = freshness.copy(tableConfirmedAtMillis = confirmedAt, tableUnreachable = false)
        }

        fun recordTableFailure() {
            freshness = freshness.copy(tableUnreachable = true)
        }

        fun applyPeerAnswer(peer: NodeId, status: PeerViewStatus) {
            version = maxOf(version, status.version)
            freshness = freshness.copy(peers = freshness.peers + (peer to status))
        }
    }
}
