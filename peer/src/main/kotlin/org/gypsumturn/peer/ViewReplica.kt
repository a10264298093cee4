// A node's replica of the fleet view. It polls the table and the node's peers for newer views, and notifies listeners
// of changes of the view and of the node's readiness. One event loop owns all state. Calls to the table run in a second
// event loop, so that a slow table does not delay the handling of replies from peers.

package org.gypsumturn.peer

import org.gypsumturn.model.Address
import org.gypsumturn.model.Change
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.runtime.duty.EventLoopThread
import org.gypsumturn.schema.peer.ExchangeReply
import org.gypsumturn.schema.peer.ExchangeRequest
import org.gypsumturn.view.FreshnessState
import org.gypsumturn.view.PeerViewStatus
import org.gypsumturn.view.Readiness
import org.gypsumturn.view.StoredView
import org.gypsumturn.view.ViewLog
import org.gypsumturn.view.ViewPollTargets
import org.gypsumturn.view.ViewSource
import org.gypsumturn.view.ViewUpdate
import org.gypsumturn.view.choosePollTargets
import org.gypsumturn.view.confirmedAtMillis
import org.gypsumturn.view.decideReadiness
import org.slf4j.LoggerFactory
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Whether the table answers the calls of a node.
 *
 * @property reachable whether the last call to the table succeeded; true before the first call
 * @property confirmedAtMillis latest time, in milliseconds of the node's monotonic clock, at which the table confirmed
 *   the node's view; null if it never did
 */
public data class TableStatus(public val reachable: Boolean, public val confirmedAtMillis: Long?)

/**
 * The replica of the fleet view that the node [self] holds. Thread-safe.
 *
 * @param seeds addresses of nodes that are polled while the view contains no other node
 * @param monotonicMillis the node's monotonic clock
 */
public class ViewReplica(
    private val self: Node,
    private val log: ViewLog,
    private val peers: PeerClients,
    private val seeds: List<Address>,
    private val timing: ViewTiming,
    private val monotonicMillis: () -> Long,
) : ViewSource,
    AutoCloseable {
    private val viewListeners = CopyOnWriteArrayList<(FleetView) -> Unit>()
    private val readinessListeners = CopyOnWriteArrayList<(Readiness) -> Unit>()
    private val eventLoop = EventLoopThread("view", QUEUE_CAPACITY, TICK_MILLIS, ::handle, ::tick)
    private val tableLoop = EventLoopThread("view-table", TABLE_QUEUE_CAPACITY, timing.pollIntervalMillis, ::pollTable)

    @Volatile
    private var snapshot = NodeViewState(StoredView(FleetView(), Revision.ABSENT), emptyList(), FreshnessState(self.id))

    private var announcedReadiness = Readiness(false, "starting")
    private var nextPollAtMillis = 0L

    /** Starts polling the table and the peers. */
    public fun start() {
        tableLoop.start()
        eventLoop.start()
    }

    override fun currentView(): FleetView = snapshot.stored.view

    /**
     * The view with the revision of the head row, as the base of a proposal. The revision is [UNKNOWN_REVISION] if the
     * view came from a peer and the table has not been read since.
     */
    public fun storedView(): StoredView = snapshot.stored

    /** The latest known status of the table. */
    public fun tableStatus(): TableStatus {
        val freshness = snapshot.freshness
        return TableStatus(!freshness.tableUnreachable, freshness.tableConfirmedAtMillis)
    }

    override fun readiness(): Readiness {
        val state = snapshot
        return decideReadiness(monotonicMillis(), state.freshness, state.stored.view, timing.leaseMillis)
    }

    override fun onView(listener: (FleetView) -> Unit) {
        viewListeners += listener
        listener(currentView())
    }

    override fun onReadiness(listener: (Readiness) -> Unit) {
        readinessListeners += listener
        listener(readiness())
    }

    /**
     * Adds a view that this process has read from the table, or written to it, to the queue of the event loop.
     * [requestedAtMillis] is the time at which the call to the table started.
     */
    public fun offerUpdate(update: ViewUpdate, requestedAtMillis: Long) {
        eventLoop.offer(ViewEvent.TableRead(update.stored, requestedAtMillis, update.changes))
    }

    /** Answers a peer with this node's status, and with the changes or the snapshot that bring the peer up to date. */
    public fun answerPeer(request: ExchangeRequest): ExchangeReply {
        val state = snapshot
        val now = monotonicMillis()
        val view = state.stored.view
        val reply =
            ExchangeReply
                .newBuilder()
                .setNode(self.id.value)
                .setVersion(view.version.value)
                .setStoreSeenMillisAgo(confirmationAgeMillis(state, now))
                .setStoreBlind(state.freshness.tableUnreachable)
        if (request.version < view.version.value) addMissingChanges(reply, state, request.version)
        return reply.build()
    }

    override fun close() {
        tableLoop.close()
        eventLoop.close()
    }

    private fun addMissingChanges(reply: ExchangeReply.Builder, state: NodeViewState, version: Long) {
        val missing = state.recentChanges.filter { it.version.value > version }
        if (missing.firstOrNull()?.version?.value == version + 1) {
            reply.addAllChanges(missing.map(PeerCodec::encodeChange))
        } else {
            reply.snapshot = PeerCodec.encodeSnapshot(state.stored.view)
        }
    }

    private fun confirmationAgeMillis(state: NodeViewState, now: Long): Long {
        val confirmedAt = confirmedAtMillis(state.freshness, state.stored.view.version) ?: return NEVER_CONFIRMED
        return now - confirmedAt
    }

    private fun handle(event: ViewEvent) {
        when (event) {
            is ViewEvent.TableRead -> onTableRead(event)
            is ViewEvent.TableFailed -> updateFreshness(snapshot.freshness.copy(tableUnreachable = true))
            is ViewEvent.PeerReplied -> onPeerReplied(event)
        }
    }

    private fun onTableRead(event: ViewEvent.TableRead) {
        adoptView(event.stored, event.changes)
        // A table read that returned an older view than the one in force does not confirm the view in force.
        if (event.stored.view.version < currentView().version) return
        val confirmedAt =
            maxOf(event.requestedAtMillis, snapshot.freshness.tableConfirmedAtMillis ?: event.requestedAtMillis)
        updateFreshness(snapshot.freshness.copy(tableConfirmedAtMillis = confirmedAt, tableUnreachable = false))
    }

    private fun onPeerReplied(event: ViewEvent.PeerReplied) {
        val reply = event.reply
        val received = PeerCodec.decodeNewerView(currentView(), reply)
        if (received != null) adoptView(StoredView(received.view, UNKNOWN_REVISION), received.changes)
        val ageMillis = reply.storeSeenMillisAgo
        val status =
            PeerViewStatus(
                version = ViewVersion(reply.version),
                confirmedAtMillis = if (ageMillis == NEVER_CONFIRMED) null else event.requestedAtMillis - ageMillis,
                heardAtMillis = event.requestedAtMillis,
                tableUnreachable = reply.storeBlind,
            )
        updateFreshness(snapshot.freshness.copy(peers = snapshot.freshness.peers + (NodeId(reply.node) to status)))
    }

    private fun adoptView(stored: StoredView, changes: List<Change>) {
        val current = snapshot
        if (stored.view.version < current.stored.view.version) return
        if (stored.view.version == current.stored.view.version) {
            if (stored.headRevision != UNKNOWN_REVISION) snapshot = current.copy(stored = stored)
            return
        }
        val newer = changes.filter { it.version > current.stored.view.version }
        val recent = (current.recentChanges + newer).takeLast(MAX_RECENT_CHANGES)
        val continuous = recent.lastOrNull()?.version == stored.view.version
        snapshot = current.copy(stored = stored, recentChanges = if (continuous) recent else emptyList())
        viewListeners.forEach { it(stored.view) }
    }

    private fun updateFreshness(freshness: FreshnessState) {
        if (freshness.tableUnreachable != snapshot.freshness.tableUnreachable) {
            LOG.warn("platform table is {}", if (freshness.tableUnreachable) "unreachable" else "reachable again")
        }
        snapshot = snapshot.copy(freshness = freshness)
        announceReadiness()
    }

    private fun announceReadiness() {
        val readiness = readiness()
        if (readiness.ready == announcedReadiness.ready) return
        announcedReadiness = readiness
        LOG.info("readiness is now {}: {}", readiness.ready, readiness.reason)
        readinessListeners.forEach { it(readiness) }
    }

    private fun tick() {
        val now = monotonicMillis()
        if (now >= nextPollAtMillis) {
            nextPollAtMillis = now + timing.pollIntervalMillis
            removeSilentPeers(now)
            val targets = choosePollTargets(now, self, currentView(), snapshot.freshness, timing.leaseMillis)
            if (targets.pollsTable) tableLoop.offer(snapshot.stored)
            pollPeers(targets, now)
        }
        announceReadiness()
    }

    private fun removeSilentPeers(now: Long) {
        val freshness = snapshot.freshness
        val heardPeers = freshness.peers.filterValues { now - it.heardAtMillis <= timing.lapseMillis }
        if (heardPeers.size != freshness.peers.size) updateFreshness(freshness.copy(peers = heardPeers))
    }

    private fun pollPeers(targets: ViewPollTargets, now: Long) {
        val request =
            ExchangeRequest
                .newBuilder()
                .setNode(self.id.value)
                .setVersion(currentView().version.value)
                .build()
        val isAlone = currentView().nodes.keys.all { it == self.id }
        val addresses = if (isAlone) seeds.filter { it != self.peerAddress } else targets.peers.map { it.peerAddress }
        addresses.forEach { address ->
            peers.exchange(address, request) { reply ->
                if (reply != null) eventLoop.offer(ViewEvent.PeerReplied(reply, now))
            }
        }
    }

    private fun pollTable(known: StoredView) {
        val requestedAt = monotonicMillis()
        val result = if (known.view.version == ViewVersion.NONE) log.load() else log.loadSince(known)
        when (result) {
            is Verdict.Ran -> offerUpdate(result.value, requestedAt)
            else -> eventLoop.offer(ViewEvent.TableFailed)
        }
    }

    private companion object {
        const val QUEUE_CAPACITY = 4_096
        const val TABLE_QUEUE_CAPACITY = 2
        const val TICK_MILLIS = 50L
        const val MAX_RECENT_CHANGES = 256

        /** Sent to peers instead of an age while the table has never confirmed this node's view. */
        const val NEVER_CONFIRMED = -1L

        /** Revision of the head row for a view that came from a peer. */
        val UNKNOWN_REVISION = Revision(-1)
        val LOG = LoggerFactory.getLogger(ViewReplica::class.java)
    }
}

/**
 * Everything that a replica knows.
 *
 * @property recentChanges the latest changes up to the version of [stored], without gaps, to be sent to peers; empty if
 *   the changes that led to that version are not known
 */
private data class NodeViewState(val stored: StoredView, val recentChanges: List<Change>, val freshness: FreshnessState)

private sealed interface ViewEvent {
    data class TableRead(val stored: StoredView, val requestedAtMillis: Long, val changes: List<Change> = emptyList()) :
        ViewEvent

    data object TableFailed : ViewEvent

    data class PeerReplied(val reply: ExchangeReply, val requestedAtMillis: Long) : ViewEvent
}
