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
    fun `each side of a call learns the other's whole report`() {
        val heard = mutableMapOf<String, SlotReport>()
        val two = SlotSharing(NodeId("entry-2"), { view }, { _, _, _ -> }) { heard["entry-2"] = it }
        two.tell(report("entry-2", 4))
        val one = SlotSharing(NodeId("entry-1"), { view }, { _, request, end -> end(two.answer(request)) }) {
            heard["entry-1"] = it
        }
        one.tell(report("entry-1", 9))
        heard shouldBe mapOf("entry-1" to report("entry-2", 4), "entry-2" to report("entry-1", 9))
    }

    @Test
    fun `a peer that does not answer is not called again meanwhile`() {
        val ends = mutableListOf<(ShareSlotsReply?) -> Unit>()
        val one = SlotSharing(NodeId("entry-1"), { view }, { _: Address, _, end -> ends += end }) {}
        repeat(3) { one.tell(report("entry-1", it + 1L)) }
        ends.size shouldBe 1
        ends.single()(null)
        one.tell(report("entry-1", 4))
        ends.size shouldBe 2
    }
}
