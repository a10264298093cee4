// Keeps the view of one node: follows the log in the table, exchanges views with peers, and tells listeners what is in
// force. One duty owns all state; calls to the table are made by a duty of their own, so that a slow table does not
// hold up what peers say.

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

/** What a node knows of the table's reachability. Times are milliseconds of the node's monotonic clock. */
public data class TableSight(public val reachable: Boolean, public val confirmedAtMillis: Long?)

/**
 * The view of the node [self].
 *
 * @param seeds addresses that are asked as long as the view names no other node
 * @param monotonicMillis the node's monotonic clock
 */
public class ViewKeeper(
    private val self: Node,
    private val log: ViewLog,
    private val peers: PeerClients,
    private val seeds: List<Address>,
    private val keeping: ViewKeeping,
    private val monotonicMillis: () -> Long,
) : ViewSource,
    AutoCloseable {
    private val viewListeners = CopyOnWriteArrayList<(FleetView) -> Unit>()
    private val readinessListeners = CopyOnWriteArrayList<(Readiness) -> Unit>()
    private val duty = EventLoopThread("view", RING_CAPACITY, TICK_MILLIS, ::handle, ::tick)
    private val storeDuty = EventLoopThread("view-table", STORE_RING_CAPACITY, keeping.pollMillis, ::followLog)

    @Volatile
    private var snapshot = KeptView(StoredView(FleetView(), Revision.ABSENT), emptyList(), FreshnessState(self.id))

    private var toldReadiness = Readiness(false, "starting")
    private var nextPollAtMillis = 0L

    /** Starts following. */
    public fun start() {
        storeDuty.start()
        duty.start()
    }

    override fun currentView(): FleetView = snapshot.logged.view

    /** The view together with the head row's revision, to propose a change against. */
    public fun loggedView(): StoredView = snapshot.logged

    /** Whether the table answers, and when it last confirmed the view. */
    public fun tableSight(): TableSight {
        val freshness = snapshot.freshness
        return TableSight(!freshness.tableUnreachable, freshness.tableConfirmedAtMillis)
    }

    override fun readiness(): Readiness {
        val kept = snapshot
        return decideReadiness(monotonicMillis(), kept.freshness, kept.logged.view, keeping.leaseMillis)
    }

    override fun onView(listener: (FleetView) -> Unit) {
        viewListeners += listener
        listener(currentView())
    }

    override fun onReadiness(listener: (Readiness) -> Unit) {
        readinessListeners += listener
        listener(readiness())
    }

    /** Hands over a view that this process itself has just read from, or written to, the table. */
    public fun offer(followed: ViewUpdate, askedAtMillis: Long) {
        duty.offer(ViewEvent.TableSaid(followed.stored, askedAtMillis, followed.changes))
    }

    /** Answers a peer: what this node knows, and the changes that the peer lacks. */
    public fun answer(request: ExchangeRequest): ExchangeReply {
        val kept = snapshot
        val now = monotonicMillis()
        val view = kept.logged.view
        val reply =
            ExchangeReply
                .newBuilder()
                .setNode(self.id.value)
                .setVersion(view.version.value)
                .setStoreSeenMillisAgo(confirmedAgoMillis(kept, now))
                .setStoreBlind(kept.freshness.tableUnreachable)
        if (request.version < view.version.value) addMissing(reply, kept, request.version)
        return reply.build()
    }

    override fun close() {
        storeDuty.close()
        duty.close()
    }

    private fun addMissing(reply: ExchangeReply.Builder, kept: KeptView, version: Long) {
        val missing = kept.recentChanges.filter { it.version.value > version }
        if (missing.firstOrNull()?.version?.value == version + 1) {
            reply.addAllChanges(missing.map(PeerCodec::encodeChange))
        } else {
            reply.snapshot = PeerCodec.encodeSnapshot(kept.logged.view)
        }
    }

    private fun confirmedAgoMillis(kept: KeptView, now: Long): Long {
        val confirmedAt = confirmedAtMillis(kept.freshness, kept.logged.view.version) ?: return NEVER
        return now - confirmedAt
    }

    private fun handle(event: ViewEvent) {
        when (event) {
            is ViewEvent.TableSaid -> onTableSaid(event)
            is ViewEvent.TableFailed -> update(snapshot.freshness.copy(tableUnreachable = true))
            is ViewEvent.PeerSaid -> onPeerSaid(event)
        }
    }

    private fun onTableSaid(event: ViewEvent.TableSaid) {
        adopt(event.logged, event.changes)
        // An answer that is older than the view in force confirms nothing about it.
        if (event.logged.view.version < currentView().version) return
        val confirmedAt = maxOf(event.askedAtMillis, snapshot.freshness.tableConfirmedAtMillis ?: event.askedAtMillis)
        update(snapshot.freshness.copy(tableConfirmedAtMillis = confirmedAt, tableUnreachable = false))
    }

    private fun onPeerSaid(event: ViewEvent.PeerSaid) {
        val reply = event.reply
        val received = PeerCodec.viewAfter(currentView(), reply)
        if (received != null) adopt(StoredView(received.view, UNKNOWN_REVISION), received.changes)
        val ago = reply.storeSeenMillisAgo
        val news =
            PeerViewStatus(
                version = ViewVersion(reply.version),
                confirmedAtMillis = if (ago == NEVER) null else event.askedAtMillis - ago,
                heardAtMillis = event.askedAtMillis,
                tableUnreachable = reply.storeBlind,
            )
        update(snapshot.freshness.copy(peers = snapshot.freshness.peers + (NodeId(reply.node) to news)))
    }

    private fun adopt(logged: StoredView, changes: List<Change>) {
        val current = snapshot
        if (logged.view.version < current.logged.view.version) return
        if (logged.view.version == current.logged.view.version) {
            if (logged.headRevision != UNKNOWN_REVISION) snapshot = current.copy(logged = logged)
            return
        }
        val newer = changes.filter { it.version > current.logged.view.version }
        val recent = (current.recentChanges + newer).takeLast(MAX_RECENT_CHANGES)
        val continuous = recent.lastOrNull()?.version == logged.view.version
        snapshot = current.copy(logged = logged, recentChanges = if (continuous) recent else emptyList())
        viewListeners.forEach { it(logged.view) }
    }

    private fun update(freshness: FreshnessState) {
        if (freshness.tableUnreachable != snapshot.freshness.tableUnreachable) {
            LOG.warn("the platform's table is {}", if (freshness.tableUnreachable) "out of reach" else "back in reach")
        }
        snapshot = snapshot.copy(freshness = freshness)
        tellReadiness()
    }

    private fun tellReadiness() {
        val readiness = readiness()
        if (readiness.ready == toldReadiness.ready) return
        toldReadiness = readiness
        LOG.info("readiness is now {}: {}", readiness.ready, readiness.reason)
        readinessListeners.forEach { it(readiness) }
    }

    private fun tick() {
        val now = monotonicMillis()
        if (now >= nextPollAtMillis) {
            nextPollAtMillis = now + keeping.pollMillis
            forgetSilentPeers(now)
            val asks = choosePollTargets(now, self, currentView(), snapshot.freshness, keeping.leaseMillis)
            if (asks.pollsTable) storeDuty.offer(snapshot.logged)
            askPeers(asks, now)
        }
        tellReadiness()
    }

    private fun forgetSilentPeers(now: Long) {
        val freshness = snapshot.freshness
        val kept = freshness.peers.filterValues { now - it.heardAtMillis <= keeping.lapseMillis }
        if (kept.size != freshness.peers.size) update(freshness.copy(peers = kept))
    }

    private fun askPeers(asks: ViewPollTargets, now: Long) {
        val request =
            ExchangeRequest
                .newBuilder()
                .setNode(self.id.value)
                .setVersion(currentView().version.value)
                .build()
        val isAlone = currentView().nodes.keys.all { it == self.id }
        val addresses = if (isAlone) seeds.filter { it != self.peerAddress } else asks.peers.map { it.peerAddress }
        addresses.forEach { address ->
            peers.exchange(address, request) { reply ->
                if (reply != null) duty.offer(ViewEvent.PeerSaid(reply, now))
            }
        }
    }

    private fun followLog(known: StoredView) {
        val askedAt = monotonicMillis()
        val result = if (known.view.version == ViewVersion.NONE) log.load() else log.loadSince(known)
        when (result) {
            is Verdict.Ran -> offer(result.value, askedAt)
            else -> duty.offer(ViewEvent.TableFailed)
        }
    }

    private companion object {
        const val RING_CAPACITY = 4_096
        const val STORE_RING_CAPACITY = 2
        const val TICK_MILLIS = 50L
        const val MAX_RECENT_CHANGES = 256
        const val NEVER = -1L
        val UNKNOWN_REVISION = Revision(-1)
        val LOG = LoggerFactory.getLogger(ViewKeeper::class.java)
    }
}

private data class KeptView(val logged: StoredView, val recentChanges: List<Change>, val freshness: FreshnessState)

private sealed interface ViewEvent {
    data class TableSaid(val logged: StoredView, val askedAtMillis: Long, val changes: List<Change> = emptyList()) :
        ViewEvent

    data object TableFailed : ViewEvent

    data class PeerSaid(val reply: ExchangeReply, val askedAtMillis: Long) : ViewEvent
}
