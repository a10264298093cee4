// Checks how entries exchange their slot reports.

package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.entry.peer.SlotSharing
import org.gypsumturn.model.Address
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.request.QueuedCount
import org.gypsumturn.request.SlotReport
import org.gypsumturn.request.SlotUse
import org.gypsumturn.schema.peer.ShareSlotsReply

class SlotSharingTest : AnnotationSpec() {
    private val view = viewOf(emptyList())

    private fun report(node: String, sequence: Long) = SlotReport(
        NodeId(node),
        sequence,
        mapOf(PoolId("plans") to QueuedCount(7, 2)),
        mapOf(InstanceId("i0") to SlotUse(3, 1)),
    )

    @Test
    fun `both sides of a call receive the complete report of the other side`() {
        val receivedReports = mutableMapOf<String, SlotReport>()
        val second = SlotSharing(NodeId("entry-2"), { view }, { _, _, _ -> }) { receivedReports["entry-2"] = it }
        second.sendToPeers(report("entry-2", 4))
        val first =
            SlotSharing(NodeId("entry-1"), { view }, { _, request, onEnd -> onEnd(second.answerPeer(request)) }) {
                receivedReports["entry-1"] = it
            }
        first.sendToPeers(report("entry-1", 9))
        receivedReports shouldBe mapOf("entry-1" to report("entry-2", 4), "entry-2" to report("entry-1", 9))
    }

    @Test
    fun `a peer is not called again before its last call has ended`() {
        val pendingCallbacks = mutableListOf<(ShareSlotsReply?) -> Unit>()
        val first = SlotSharing(NodeId("entry-1"), { view }, { _: Address, _, onEnd -> pendingCallbacks += onEnd }) {}
        repeat(3) { first.sendToPeers(report("entry-1", it + 1L)) }
        pendingCallbacks.size shouldBe 1
        pendingCallbacks.single()(null)
        first.sendToPeers(report("entry-1", 4))
        pendingCallbacks.size shouldBe 2
    }
}
