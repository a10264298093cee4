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
import org.gypsumturn.model.ViewVersion

class FreshnessTest : AnnotationSpec() {
    private val ids = (1..5).map { NodeId("n$it") }
    private val self = ids.first()
    private val lease = 3_000L
    private val view =
        FleetView(version = ViewVersion(7)).withRecords(
            ids.map { id ->
                Mutation.PutNode(Node(id, NodeRole.ENTRY, RegionId("r"), DataCentreId("d"), Address("127.0.0.1", 1)))
            },
        )

    private fun news(version: Long = 7, confirmedAt: Long? = null, heardAt: Long = 10_000, blind: Boolean = false) =
        PeerNews(ViewVersion(version), confirmedAt, heardAt, blind)

    private fun ready(state: FreshnessState, now: Long = 10_000) = decideReadiness(now, state, view, lease).ready

    @Test
    fun `a view confirmed by the table is used until the lease runs out`() {
        val state = FreshnessState(self, tableConfirmedAtMillis = 10_000)
        ready(state, 13_000) shouldBe true
        ready(state, 13_001) shouldBe false
    }

    @Test
    fun `a peer that heard from the table vouches for the view`() {
        ready(FreshnessState(self, peers = mapOf(ids[1] to news(confirmedAt = 9_000)))) shouldBe true
        ready(FreshnessState(self, peers = mapOf(ids[1] to news(confirmedAt = 6_000)))) shouldBe false
    }

    @Test
    fun `a peer with a newer view ends the use of this one at once`() {
        val state = FreshnessState(self, 10_000, peers = mapOf(ids[1] to news(version = 8)))
        ready(state) shouldBe false
    }

    @Test
    fun `a table out of everybody's reach changes nothing`() {
        val peers = ids.drop(1).associateWith { news(blind = true) }
        ready(FreshnessState(self, tableUnreachable = true, peers = peers)) shouldBe true
    }

    @Test
    fun `two nodes cut off together do not vouch for each other`() {
        val peers = mapOf(ids[1] to news(blind = true))
        ready(FreshnessState(self, tableUnreachable = true, peers = peers)) shouldBe false
    }

    @Test
    fun `old news of a majority do not count`() {
        val peers = ids.drop(1).associateWith { news(blind = true, heardAt = 6_999) }
        ready(FreshnessState(self, tableUnreachable = true, peers = peers)) shouldBe false
    }

    @Test
    fun `a node that is not part of the view waits until it has joined`() {
        val stranger = FreshnessState(NodeId("new"), tableConfirmedAtMillis = 10_000)
        ready(stranger) shouldBe false
    }

    @Test
    fun `a node that is not part of the view and is cut off from the table does not serve on a peer's word`() {
        val peers = mapOf(ids[1] to news(confirmedAt = 10_000))
        ready(FreshnessState(NodeId("new"), tableUnreachable = true, peers = peers)) shouldBe false
    }

    @Test
    fun `a node that starts while the table is out of everybody's reach serves with the majority`() {
        val peers = ids.associateWith { news(blind = true) }
        ready(FreshnessState(NodeId("new"), tableUnreachable = true, peers = peers)) shouldBe true
    }
}
