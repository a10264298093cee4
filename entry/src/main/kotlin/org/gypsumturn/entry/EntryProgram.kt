// Connects an entry to the platform, to the fleet view and to its peers.

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

/** An entry with its clients of the platform and of its peers, its fleet view and its membership. */
internal class EntryProgram(settings: Settings, tracing: Tracing, metrics: Metrics) {
    private val monotonicMillis: () -> Long = { TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) }
    private val viewSettings = ViewSettings.timing(settings)
    private val platform = PlatformClient(settings[ViewSettings.platformAddress].toAddress())
    private val clients = PeerClients(viewSettings.peerTimeoutMillis)
    private val receivedReports = AtomicLong()
    private val seeds = settings[ViewSettings.seeds].map { it.toAddress() }
    private val self = ViewSettings.createNode(settings, NodeRole.ENTRY)
    private val log = ViewLog(platform.table, viewSettings.platformTimeoutMillis)
    private val viewReplica = ViewReplica(self, log, clients, seeds, viewSettings, monotonicMillis)
    private val slotSharing: SlotSharing =
        SlotSharing(self.id, viewReplica::currentView, clients::shareSlots, ::onPeerReport)
    private val node: EntryNode = EntryNode(
        EntrySettings.configOf(settings),
        EntryDependencies(
            self.id,
            viewReplica,
            platform.table,
            platform.instances,
            tracing,
            EntryMetrics(metrics.registry),
            slotSharing::sendToPeers,
            Random.nextLong(),
        ),
    )
    private val peerServer =
        GrpcServer.open(
            settings[ViewSettings.peerAddress],
            listOf(PeerService(viewReplica::answerPeer, slotSharing::answerPeer)),
        )
    private val membership = NodeMembership(
        self,
        viewReplica,
        ChangeRunner(viewReplica, log, monotonicMillis),
        NodeHeartbeatStore(platform.table, viewSettings.platformTimeoutMillis),
        viewSettings,
        monotonicMillis,
        System::currentTimeMillis,
        { node.activity },
    )

    /** Port on which callers are served. Valid after [start]. */
    val port: Int get() = node.port

    /** Number of slot reports received from peers. */
    val receivedReportCount: Long get() = receivedReports.get()

    /** Starts serving callers, following the view and sending heartbeats. */
    fun start() {
        viewReplica.onView { view -> clients.retain(view.nodes.values.map { it.peerAddress }.toSet() + seeds) }
        node.start()
        viewReplica.start()
        membership.start()
    }

    /** Finishes all open requests, leaves the view and closes all connections. Blocks until then. */
    fun shutDown() {
        node.shutDown()
        membership.close()
        peerServer.close()
        viewReplica.close()
        clients.close()
        platform.close()
    }

    private fun onPeerReport(report: SlotReport) {
        receivedReports.incrementAndGet()
        node.acceptPeerReport(report)
    }
}
