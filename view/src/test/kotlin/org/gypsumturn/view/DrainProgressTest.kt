// Tests when a drained instance may be taken out of service, for heartbeats that lag, lapse or report running work.

package org.gypsumturn.view

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.Address
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.ViewVersion

class DrainProgressTest : AnnotationSpec() {
    private val ids = (1..3).map { NodeId("n$it") }
    private val target = InstanceId("t1")
    private val view =
        FleetView(version = ViewVersion(9)).withRecords(
            ids.map { id ->
                Mutation.PutNode(Node(id, NodeRole.ENTRY, RegionId("r"), DataCentreId("d"), Address("127.0.0.1", 1)))
            },
        )

    private fun observed(versions: List<Long>, busy: Set<NodeId> = emptySet()): HeartbeatObservations {
        val rows =
            ids.zip(versions).mapIndexed { index, (id, version) ->
                val busyInstances = if (id in busy) listOf(target) else emptyList()
                HeartbeatRow(NodeHeartbeat(id, ViewVersion(version), 1, busyInstances), Revision(index + 1L))
            }
        return HeartbeatObservations().afterReading(0, rows)
    }

    private fun progress(observations: HeartbeatObservations, nowMillis: Long) =
        decideDrainProgress(nowMillis, view, observations, target, ViewVersion(9), lapseMillis = 5_000)

    @Test
    fun `a drain is complete when all nodes have acknowledged it and none has work on the instance`() {
        progress(observed(listOf(9, 9, 9)), 100) shouldBe DrainProgress.Complete
    }

    @Test
    fun `a node that has not acknowledged the drain delays it until the node has lapsed`() {
        val observations = observed(listOf(9, 9, 8))
        progress(observations, 100) shouldBe DrainProgress.AwaitingAcknowledgement(listOf(ids[2]))
        val withoutLagging = observations.afterReading(
            4_000,
            observations.byNode.values.take(2).map {
                HeartbeatRow(it.heartbeat, Revision(50))
            },
        )
        progress(withoutLagging, 5_100) shouldBe DrainProgress.Complete
    }

    @Test
    fun `a drain waits for nodes with requests running on the instance`() {
        progress(observed(listOf(9, 9, 9), setOf(ids[1])), 100) shouldBe DrainProgress.AwaitingRequests(listOf(ids[1]))
    }

    @Test
    fun `a drain is not complete while only a minority of nodes has a heartbeat`() {
        val onlyFirst = HeartbeatObservations(observed(listOf(9, 9, 9)).byNode.filterKeys { it == ids[0] })
        progress(onlyFirst, 100) shouldBe DrainProgress.AwaitingMajority(1, 3)
    }
}
