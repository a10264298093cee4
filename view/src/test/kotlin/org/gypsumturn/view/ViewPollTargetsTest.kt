// Tests which nodes poll the table for a newer view, and which poll their peers.

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

class ViewPollTargetsTest : AnnotationSpec() {
    private val nodes =
        listOf("a1" to "a", "a2" to "a", "a3" to "a", "b1" to "b").map { (id, dataCentre) ->
            Node(NodeId(id), NodeRole.ENTRY, RegionId("r"), DataCentreId(dataCentre), Address("127.0.0.1", 1))
        }
    private val view = FleetView(version = ViewVersion(5)).withRecords(nodes.map { Mutation.PutNode(it) })

    private fun peerStatus(confirmedAtMillis: Long, tableUnreachable: Boolean = false) =
        PeerViewStatus(ViewVersion(5), confirmedAtMillis, heardAtMillis = 1_000, tableUnreachable = tableUnreachable)

    private fun targets(self: Int, freshness: FreshnessState) =
        choosePollTargets(1_000, nodes[self], view, freshness, leaseMillis = 3_000)

    private fun state(self: Int, peers: Map<NodeId, PeerViewStatus> = emptyMap(), tableUnreachable: Boolean = false) =
        FreshnessState(
            nodes[self].id,
            tableConfirmedAtMillis = null,
            tableUnreachable = tableUnreachable,
            peers = peers,
        )

    @Test
    fun `the first node of a data centre polls the table and no peers`() {
        targets(0, state(0)) shouldBe ViewPollTargets(true, emptyList())
        targets(3, state(3)) shouldBe ViewPollTargets(true, emptyList())
    }

    @Test
    fun `the other nodes of a data centre poll the nodes before them and not the table`() {
        val peers = mapOf(nodes[0].id to peerStatus(900))
        targets(2, state(2, peers)) shouldBe ViewPollTargets(false, listOf(nodes[0], nodes[1]))
    }

    @Test
    fun `the next node polls the table when the reader cannot reach it`() {
        val peers = mapOf(nodes[0].id to peerStatus(900, tableUnreachable = true))
        targets(1, state(1, peers)).pollsTable shouldBe true
    }

    @Test
    fun `a node polls the table when its view has not been confirmed for half of the lease`() {
        val peers = mapOf(nodes[0].id to peerStatus(confirmedAtMillis = -600))
        targets(2, state(2, peers)).pollsTable shouldBe true
    }

    @Test
    fun `a node that cannot reach the table polls all peers`() {
        targets(2, state(2, tableUnreachable = true)).peers.map { it.id.value }.sorted() shouldBe
            listOf("a1", "a2", "b1")
    }
}
