// Exchanges slot reports with all other entries of the view. Each call carries this entry's report there and the
// peer's report back; at most one call to a peer is under way.

package org.gypsumturn.entry.peer

import org.gypsumturn.model.Address
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.request.SlotReport
import org.gypsumturn.schema.peer.ShareSlotsReply
import org.gypsumturn.schema.peer.ShareSlotsRequest
import java.util.concurrent.ConcurrentHashMap

/** Sends a request to the entry at an address; null stands for no reply. */
internal typealias SlotCall = (address: Address, request: ShareSlotsRequest, onEnd: (ShareSlotsReply?) -> Unit) -> Unit

/**
 * The slot reports of the entry [self]. Thread-safe; nothing blocks.
 *
 * @param onReport takes a peer's report
 */
internal class SlotSharing(
    private val self: NodeId,
    private val view: () -> FleetView,
    private val call: SlotCall,
    private val onReport: (SlotReport) -> Unit,
) {
    private val underWay = ConcurrentHashMap.newKeySet<Address>()

    @Volatile
    private var latest = SlotReport(self, 0, emptyMap(), emptyMap())

    /** Tells all other entries of the view about [report]. */
    fun tell(report: SlotReport) {
        latest = report
        val entries = view().nodes.values.filter { it.role == NodeRole.ENTRY && it.id != self }
        if (entries.isEmpty()) return
        val request = SlotMessages.request(report)
        entries.map { it.peerAddress }.forEach { address -> tell(address, request) }
    }

    /** Takes a peer's report and answers with this entry's own. */
    fun answer(request: ShareSlotsRequest): ShareSlotsReply {
        take(SlotMessages.report(request))
        return SlotMessages.reply(latest)
    }

    private fun tell(address: Address, request: ShareSlotsRequest) {
        if (!underWay.add(address)) return
        call(address, request) { reply ->
            underWay -= address
            if (reply != null) take(SlotMessages.report(reply))
        }
    }

    // An entry that has made no report yet answers with sequence 0, and a control node without a sender.
    private fun take(report: SlotReport) {
        if (report.sequence > 0 && report.node.value.isNotEmpty() && report.node != self) onReport(report)
    }
}
