// Tests how long a node may use its view: leases, confirmations through peers, and outages of the table.

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
    private val leaseMillis = 3_000L
    private val view =
        FleetView(version = ViewVersion(7)).withRecords(
            ids.map { id ->
                Mutation.PutNode(Node(id, NodeRole.ENTRY, RegionId("r"), DataCentreId("d"), Address("127.0.0.1", 1)))
            },
        )

    private fun peerStatus(
        version: Long = 7,
        confirmedAtMillis: Long? = null,
        heardAtMillis: Long = 10_000,
        tableUnreachable: Boolean = false,
    ) = PeerViewStatus(ViewVersion(version), confirmedAtMillis, heardAtMillis, tableUnreachable)

    private fun ready(state: FreshnessState, nowMillis: Long = 10_000) =
        decideReadiness(nowMillis, state, view, leaseMillis).ready

    @Test
    fun `a view confirmed by the table is used until the lease expires`() {
        val state = FreshnessState(self, tableConfirmedAtMillis = 10_000)
        ready(state, 13_000) shouldBe true
        ready(state, 13_001) shouldBe false
    }

    @Test
    fun `a confirmation by the table to a peer counts as well`() {
        ready(FreshnessState(self, peers = mapOf(ids[1] to peerStatus(confirmedAtMillis = 9_000)))) shouldBe true
        ready(FreshnessState(self, peers = mapOf(ids[1] to peerStatus(confirmedAtMillis = 6_000)))) shouldBe false
    }

    @Test
    fun `a view is not used any more once a peer holds a newer one`() {
        val state = FreshnessState(self, 10_000, peers = mapOf(ids[1] to peerStatus(version = 8)))
        ready(state) shouldBe false
    }

    @Test
    fun `a node stays ready while no node can reach the table`() {
        val peers = ids.drop(1).associateWith { peerStatus(tableUnreachable = true) }
        ready(FreshnessState(self, tableUnreachable = true, peers = peers)) shouldBe true
    }

    @Test
    fun `a minority of nodes that cannot reach the table does not stay ready`() {
        val peers = mapOf(ids[1] to peerStatus(tableUnreachable = true))
        ready(FreshnessState(self, tableUnreachable = true, peers = peers)) shouldBe false
    }

    @Test
    fun `reports of a majority that are older than the lease do not count`() {
        val peers = ids.drop(1).associateWith { peerStatus(tableUnreachable = true, heardAtMillis = 6_999) }
        ready(FreshnessState(self, tableUnreachable = true, peers = peers)) shouldBe false
    }

    @Test
    fun `a node that is not part of the view is not ready`() {
        val outsider = FreshnessState(NodeId("new"), tableConfirmedAtMillis = 10_000)
        ready(outsider) shouldBe false
    }

    @Test
    fun `a node outside the view that cannot reach the table is not ready on a confirmation to a peer`() {
        val peers = mapOf(ids[1] to peerStatus(confirmedAtMillis = 10_000))
        ready(FreshnessState(NodeId("new"), tableUnreachable = true, peers = peers)) shouldBe false
    }

    @Test
    fun `a node that starts while no node can reach the table is ready with the majority`() {
        val peers = ids.associateWith { peerStatus(tableUnreachable = true) }
        ready(FreshnessState(NodeId("new"), tableUnreachable = true, peers = peers)) shouldBe true
    }
}
