// Spreads views among nodes in virtual time. The decisions are those of the view module; only delays, the table and the
// cut between regions are modelled here.

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

/** Size and times of a spread, in milliseconds. The table stands in the first region. */
public data class SpreadSettings(
    public val regions: Int,
    public val dataCentres: Int,
    public val nodesPerDataCentre: Int,
    public val pollMillis: Long = 500,
    public val leaseMillis: Long = 3_000,
    public val lapseMillis: Long = 5_000,
    public val localDelayMillis: Long = 1,
    public val regionDelayMillis: Long = 40,
    public val everyNodeReads: Boolean = false,
)

/** Calls that nodes made. */
public data class SpreadUsage(
    public val tableReads: Long = 0,
    public val exchanges: Long = 0,
    public val exchangesOfBusiest: Long = 0,
)

/** A fleet of nodes that spread versions; [cutRegion] loses the table and all other regions while it is set. */
public class SpreadModel(private val settings: SpreadSettings, seed: Long) {
    private val random: UniformRandomProvider = RandomSource.XO_SHI_RO_256_PP.create(seed)
    private val nodes = (0 until settings.dataCentres).flatMap(::nodesOf)
    private val members =
        FleetView(version = ViewVersion(1)).withRecords(nodes.map { Mutation.PutNode(it) }).nodes
    private val states = nodes.associate { it.id to NodeState(it, FreshnessState(it.id)) }
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMillis }.thenBy { it.sequence })
    private var sequence = 0L

    /** The newest accepted version. */
    public var tableVersion: ViewVersion = ViewVersion(1)

    /** Region that is cut off, or null. */
    public var cutRegion: RegionId? = null

    /** The present time. */
    public var nowMillis: Long = 0
        private set

    /** Calls made so far. */
    public val usage: SpreadUsage
        get() = SpreadUsage(
            tableReads,
            states.values.sumOf {
                it.asked
            },
            states.values.maxOf { it.asked + it.answered },
        )

    private var tableReads = 0L

    init {
        nodes.forEach { node -> at(random.nextLong(settings.pollMillis)) { poll(states.getValue(node.id)) } }
    }

    /** The regions, the table's first. */
    public val regions: List<RegionId> get() = nodes.map { it.region }.distinct()

    /** Runs until [untilMillis]; stops early when [done] holds. */
    public fun run(untilMillis: Long, done: () -> Boolean = { false }) {
        while (events.isNotEmpty() && events.peek().atMillis <= untilMillis && !done()) {
            val event = events.poll()
            nowMillis = event.atMillis
            event.action()
        }
        if (!done()) nowMillis = untilMillis
    }

    /** Whether every node that is not cut off has [version] in force. */
    public fun inForceWhereReachable(version: ViewVersion): Boolean =
        states.values.all { it.node.region == cutRegion || it.version >= version }

    /** Whether some node would take new work under a version older than [version]. */
    public fun servesOlderThan(version: ViewVersion): Boolean =
        states.values.any { it.version < version && isReady(it) }

    /** Nodes that may take new work. */
    public fun readyNodes(region: RegionId?): Int =
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
        val kept = state.freshness.peers.filterValues { nowMillis - it.heardAtMillis <= settings.lapseMillis }
        state.freshness = state.freshness.copy(peers = kept)
        val asks =
            choosePollTargets(nowMillis, state.node, viewOf(state.version), state.freshness, settings.leaseMillis)
        if (asks.pollsTable || settings.everyNodeReads) askTable(state)
        if (!settings.everyNodeReads) asks.peers.forEach { askPeer(state, states.getValue(it.id)) }
        at(nowMillis + settings.pollMillis) { poll(state) }
    }

    private fun askTable(state: NodeState) {
        tableReads++
        val askedAt = nowMillis
        val delay = delayBetween(state.node.region, regions.first())
        at(askedAt + delay) {
            val isReachable = cutRegion == null || state.node.region != cutRegion
            val version = tableVersion
            at(nowMillis + delay) { if (isReachable) state.tableSaid(version, askedAt) else state.tableFailed() }
        }
    }

    private fun askPeer(from: NodeState, to: NodeState) {
        from.asked++
        to.answered++
        val askedAt = nowMillis
        val delay = delayBetween(from.node.region, to.node.region)
        val isCut = from.node.region != to.node.region && cutRegion in setOf(from.node.region, to.node.region)
        if (isCut) return
        at(askedAt + delay) {
            val confirmedAt = confirmedAtMillis(to.freshness, to.version)
            val ago = confirmedAt?.let { nowMillis - it }
            val news = PeerViewStatus(to.version, ago?.let { askedAt - it }, askedAt, to.freshness.tableUnreachable)
            at(nowMillis + delay) { from.peerSaid(to.node.id, news) }
        }
    }

    private fun delayBetween(one: RegionId, other: RegionId): Long =
        (if (one == other) settings.localDelayMillis else settings.regionDelayMillis) + random.nextLong(2)

    private fun at(atMillis: Long, action: () -> Unit) {
        events += Event(atMillis, sequence++, action)
    }

    private class Event(val atMillis: Long, val sequence: Long, val action: () -> Unit)

    private class NodeState(val node: Node, var freshness: FreshnessState) {
        var version = ViewVersion(1)
        var asked = 0L
        var answered = 0L

        fun tableSaid(newest: ViewVersion, askedAtMillis: Long) {
            version = maxOf(version, newest)
            if (newest < version) return
            val confirmedAt = maxOf(askedAtMillis, freshness.tableConfirmedAtMillis ?: askedAtMillis)
            freshness = freshness.copy(tableConfirmedAtMillis = confirmedAt, tableUnreachable = false)
        }

        fun tableFailed() {
            freshness = freshness.copy(tableUnreachable = true)
        }

        fun peerSaid(peer: NodeId, news: PeerViewStatus) {
            version = maxOf(version, news.version)
            freshness = freshness.copy(peers = freshness.peers + (peer to news))
        }
    }
}
