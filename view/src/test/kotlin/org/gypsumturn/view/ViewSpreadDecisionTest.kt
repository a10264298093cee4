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

class ViewSpreadDecisionTest : AnnotationSpec() {
    private val nodes =
        listOf("a1" to "a", "a2" to "a", "a3" to "a", "b1" to "b").map { (id, dataCentre) ->
            Node(NodeId(id), NodeRole.ENTRY, RegionId("r"), DataCentreId(dataCentre), Address("127.0.0.1", 1))
        }
    private val view = FleetView(version = ViewVersion(5)).withRecords(nodes.map { Mutation.PutNode(it) })

    private fun news(confirmedAt: Long, blind: Boolean = false) =
        PeerNews(ViewVersion(5), confirmedAt, heardAtMillis = 1_000, tableUnreachable = blind)

    private fun asks(self: Int, freshness: FreshnessState) =
        decideAsks(1_000, nodes[self], view, freshness, leaseMillis = 3_000)

    private fun state(self: Int, peers: Map<NodeId, PeerNews> = emptyMap(), unreachable: Boolean = false) =
        FreshnessState(nodes[self].id, tableConfirmedAtMillis = null, tableUnreachable = unreachable, peers = peers)

    @Test
    fun `the first node of a data centre reads the table, and asks nobody else`() {
        asks(0, state(0)) shouldBe ViewAsks(true, emptyList())
        asks(3, state(3)) shouldBe ViewAsks(true, emptyList())
    }

    @Test
    fun `the others ask those before them and leave the table alone`() {
        val peers = mapOf(nodes[0].id to news(900))
        asks(2, state(2, peers)) shouldBe ViewAsks(false, listOf(nodes[0], nodes[1]))
    }

    @Test
    fun `a reader that cannot read is followed by the next`() {
        val peers = mapOf(nodes[0].id to news(900, blind = true))
        asks(1, state(1, peers)).table shouldBe true
    }

    @Test
    fun `a view that nobody confirms is asked for at the table`() {
        val peers = mapOf(nodes[0].id to news(confirmedAt = -600))
        asks(2, state(2, peers)).table shouldBe true
    }

    @Test
    fun `a node that cannot reach the table asks all`() {
        asks(2, state(2, unreachable = true)).peers.map { it.id.value }.sorted() shouldBe listOf("a1", "a2", "b1")
    }
}
