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

class DrainGateTest : AnnotationSpec() {
    private val ids = (1..3).map { NodeId("n$it") }
    private val target = InstanceId("t1")
    private val view =
        FleetView(version = ViewVersion(9)).withRecords(
            ids.map { id ->
                Mutation.PutNode(Node(id, NodeRole.ENTRY, RegionId("r"), DataCentreId("d"), Address("127.0.0.1", 1)))
            },
        )

    private fun observed(versions: List<Long>, busy: Set<NodeId> = emptySet()): BeatObservations {
        val beats =
            ids.zip(versions).mapIndexed { index, (id, version) ->
                val uses = if (id in busy) listOf(target) else emptyList()
                ReadBeat(NodeBeat(id, ViewVersion(version), 1, uses), Revision(index + 1L))
            }
        return BeatObservations().updated(0, beats)
    }

    private fun drain(observations: BeatObservations, now: Long) =
        decideDrain(now, view, observations, target, ViewVersion(9), lapseMillis = 5_000)

    @Test
    fun `a drain is complete when all have acknowledged and none is busy`() {
        drain(observed(listOf(9, 9, 9)), 100) shouldBe DrainProgress.Complete
    }

    @Test
    fun `a node that lags is waited for until its lapse`() {
        val observations = observed(listOf(9, 9, 8))
        drain(observations, 100) shouldBe DrainProgress.AwaitingAcknowledgement(listOf(ids[2]))
        val moving = observations.updated(
            4_000,
            observations.byNode.values.take(2).map {
                ReadBeat(it.beat, Revision(50))
            },
        )
        drain(moving, 5_100) shouldBe DrainProgress.Complete
    }

    @Test
    fun `a request under way holds the drain up`() {
        drain(observed(listOf(9, 9, 9), setOf(ids[1])), 100) shouldBe DrainProgress.AwaitingRequests(listOf(ids[1]))
    }

    @Test
    fun `without a majority nothing is taken`() {
        val one = BeatObservations(observed(listOf(9, 9, 9)).byNode.filterKeys { it == ids[0] })
        drain(one, 100) shouldBe DrainProgress.AwaitingMajority(1, 3)
    }
}
