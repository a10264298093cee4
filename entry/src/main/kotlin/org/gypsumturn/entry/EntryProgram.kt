// Puts an entry together with the platform, its view and its peers.

package org.gypsumturn.entry

import org.gypsumturn.entry.peer.SlotSharing
import org.gypsumturn.model.NodeRole
import org.gypsumturn.peer.ChangeRunner
import org.gypsumturn.peer.GrpcServer
import org.gypsumturn.peer.NodeMembership
import org.gypsumturn.peer.PeerClients
import org.gypsumturn.peer.PeerService
import org.gypsumturn.peer.ViewReplica
import org.gypsumturn.peer.ViewSettings
import org.gypsumturn.peer.toAddress
import org.gypsumturn.ports.grpc.PlatformClient
import org.gypsumturn.request.SlotReport
import org.gypsumturn.runtime.metrics.Metrics
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.trace.Tracing
import org.gypsumturn.view.NodeHeartbeatStore
import org.gypsumturn.view.ViewLog
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** A running entry with everything that it needs. */
internal class EntryProgram(settings: Settings, tracing: Tracing, metrics: Metrics) {
    private val monotonicMillis: () -> Long = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) }
    private val keeping = ViewSettings.timing(settings)
    private val platform = PlatformClient(settings[ViewSettings.platformAddress].toAddress())
    private val clients = PeerClients(keeping.peerTimeoutMillis)
    private val reportsHeard = AtomicLong()
    private val seeds = settings[ViewSettings.seeds].map { it.toAddress() }
    private val self = ViewSettings.createNode(settings, NodeRole.ENTRY)
    private val log = ViewLog(platform.table, keeping.platformTimeoutMillis)
    private val keeper = ViewReplica(self, log, clients, seeds, keeping, monotonicMillis)
    private val sharing: SlotSharing = SlotSharing(self.id, keeper::currentView, clients::shareSlots, ::peerReported)
    private val node: EntryNode = EntryNode(
        EntrySettings.configOf(settings),
        EntrySurroundings(
            self.id,
            keeper,
            platform.table,
            platform.instances,
            tracing,
            EntryMetrics(metrics.registry),
            sharing::tell,
            Random.nextLong(),
        ),
    )
    private val peerPort =
        GrpcServer.open(settings[ViewSettings.peerAddress], listOf(PeerService(keeper::answerPeer, sharing::answer)))
    private val membership = NodeMembership(
        self,
        keeper,
        ChangeRunner(keeper, log, monotonicMillis),
        NodeHeartbeatStore(platform.table, keeping.platformTimeoutMillis),
        keeping,
        monotonicMillis,
        System::currentTimeMillis,
        { node.activity },
    )

    /** Port at which callers are served. */
    val port: Int get() = node.port

    /** Slot reports that peers have made. */
    val peersHeard: Long get() = reportsHeard.get()

    /** Starts to follow the view and to serve. */
    fun start() {
        keeper.onView { view -> clients.retain(view.nodes.values.map { it.peerAddress }.toSet() + seeds) }
        node.start()
        keeper.start()
        membership.start()
    }

    /** Finishes everything in flight, leaves the view and ends. */
    fun shutDown() {
        node.shutDown()
        membership.close()
        peerPort.close()
        keeper.close()
        clients.close()
        platform.close()
    }

    private fun peerReported(report: SlotReport) {
        reportsHeard.incrementAndGet()
        node.peerReported(report)
    }
}
