// Tests when a node counts as live: a node whose heartbeat stops lapses, but an outage of the table makes none lapse.

package org.gypsumturn.view

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.Address
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.ViewVersion

class HeartbeatObservationsTest : AnnotationSpec() {
    private val id = NodeId("n1")
    private val row = HeartbeatRow(NodeHeartbeat(id, ViewVersion(1), 1), Revision(1))
    private val node = Node(id, NodeRole.ENTRY, RegionId("r"), DataCentreId("d"), Address("127.0.0.1", 1))
    private val view = FleetView(version = ViewVersion(1)).withRecords(listOf(Mutation.PutNode(node)))

    private fun isLive(observations: HeartbeatObservations, nowMillis: Long) =
        id in observations.liveNodes(nowMillis, view, lapseMillis = 5_000)

    @Test
    fun `a node whose heartbeat stops changing while the table is read lapses`() {
        val unchanged =
            (0..10).fold(HeartbeatObservations()) { seen, round -> seen.afterReading(round * 500L, listOf(row)) }
        isLive(unchanged, 5_000) shouldBe true
        isLive(unchanged, 5_001) shouldBe false
    }

    @Test
    fun `a node stays live when only the table could not be read`() {
        val before = HeartbeatObservations().afterReading(0, listOf(row))
        val afterOutage = before.afterReading(16_000, listOf(row))
        isLive(afterOutage, 16_000) shouldBe true
    }
}
