// Exchanges slot reports with all other entries of the view. Each call carries this entry's report in the request and
// the peer's report in the reply. At most one call to each peer is open at a time.

package org.gypsumturn.entry.peer

import org.gypsumturn.model.Address
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.request.SlotReport
import org.gypsumturn.schema.peer.ShareSlotsReply
import org.gypsumturn.schema.peer.ShareSlotsRequest
import java.util.concurrent.ConcurrentHashMap

/** Sends a request to the entry at an address. `onEnd` is called once, with null if there was no reply. */
internal typealias SlotCall = (address: Address, request: ShareSlotsRequest, onEnd: (ShareSlotsReply?) -> Unit) -> Unit

/**
 * Sends the slot reports of the entry [self] and receives those of its peers. Thread-safe; no call blocks.
 *
 * @param onReport called with each report of a peer
 */
internal class SlotSharing(
    private val self: NodeId,
    private val view: () -> FleetView,
    private val call: SlotCall,
    private val onReport: (SlotReport) -> Unit,
) {
    private val addressesBeingCalled = ConcurrentHashMap.newKeySet<Address>()

    @Volatile
    private var latestReport = SlotReport(self, 0, emptyMap(), emptyMap())

    /** Sends [report] to all other entries of the view, except to those whose last call has not ended. */
    fun sendToPeers(report: SlotReport) {
        latestReport = report
        val entries = view().nodes.values.filter { it.role == NodeRole.ENTRY && it.id != self }
        if (entries.isEmpty()) return
        val request = SlotMessages.toRequest(report)
        entries.map { it.peerAddress }.forEach { address -> callPeer(address, request) }
    }

    /** Accepts the report in a peer's [request] and returns the latest report of this entry. */
    fun answerPeer(request: ShareSlotsRequest): ShareSlotsReply {
        acceptReport(SlotMessages.toReport(request))
        return SlotMessages.toReply(latestReport)
    }

    private fun callPeer(address: Address, request: ShareSlotsRequest) {
        if (!addressesBeingCalled.add(address)) return
        call(address, request) { reply ->
            addressesBeingCalled -= address
            if (reply != null) acceptReport(SlotMessages.toReport(reply))
        }
    }

    // A reply can come without a usable report: an entry that has made no report yet replies with sequence 0, and a
    // control node replies without a sender.
    private fun acceptReport(report: SlotReport) {
        if (report.sequence > 0 && report.node.value.isNotEmpty() && report.node != self) onReport(report)
    }
}
