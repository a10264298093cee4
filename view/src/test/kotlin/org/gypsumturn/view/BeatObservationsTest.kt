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

class BeatObservationsTest : AnnotationSpec() {
    private val id = NodeId("n1")
    private val beat = ReadBeat(NodeBeat(id, ViewVersion(1), 1), Revision(1))
    private val node = Node(id, NodeRole.ENTRY, RegionId("r"), DataCentreId("d"), Address("127.0.0.1", 1))
    private val view = FleetView(version = ViewVersion(1)).withRecords(listOf(Mutation.PutNode(node)))

    private fun isLive(observations: BeatObservations, nowMillis: Long) =
        id in observations.liveNodes(nowMillis, view, lapseMillis = 5_000)

    @Test
    fun `a node that falls silent while it is listened to lapses`() {
        val silent = (0..10).fold(BeatObservations()) { seen, round -> seen.updated(round * 500L, listOf(beat)) }
        isLive(silent, 5_000) shouldBe true
        isLive(silent, 5_001) shouldBe false
    }

    @Test
    fun `a node is not silent because the table could not be read`() {
        val before = BeatObservations().updated(0, listOf(beat))
        val afterOutage = before.updated(16_000, listOf(beat))
        isLive(afterOutage, 16_000) shouldBe true
    }
}
