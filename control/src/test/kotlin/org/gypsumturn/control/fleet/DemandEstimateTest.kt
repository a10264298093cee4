// Tests the estimate of the demand of pools from the load that entries report.

package org.gypsumturn.control.fleet

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.view.NodeHeartbeat
import org.gypsumturn.view.PoolLoad

class DemandEstimateTest : AnnotationSpec() {
    private val plans = PoolId("plans")

    private fun heartbeat(node: String, queued: Int, running: Int, finished: Long) =
        NodeHeartbeat(NodeId(node), ViewVersion(1), 1, load = listOf(PoolLoad(plans, queued, running, finished)))

    private fun estimateSteadyLoad(rounds: Int, requestsPerSecond: Int, running: Int): DemandEstimate =
        (1..rounds).fold(DemandEstimate(emptyList(), DemandState())) { estimate, round ->
            val finished = round.toLong() * requestsPerSecond
            estimateDemand(round * 1_000L, listOf(heartbeat("e1", 0, running, finished)), estimate.state)
        }

    @Test
    fun `the first sample gives no demand`() {
        estimateSteadyLoad(1, 100, 10).demand.shouldBeEmpty()
    }

    @Test
    fun `the demand of a steady load equals the slots that it keeps busy`() {
        estimateSteadyLoad(30, requestsPerSecond = 200, running = 10).demand.single().offeredSlots shouldBe
            (10.0 plusOrMinus 0.1)
    }

    @Test
    fun `a growing queue counts as arrivals`() {
        val steady = estimateSteadyLoad(30, requestsPerSecond = 200, running = 10)
        val grown = estimateDemand(31_000, listOf(heartbeat("e1", 200, 10, 31L * 200)), steady.state).demand.single()
        grown.offeredSlots shouldBe (20.0 plusOrMinus 0.2)
        grown.queuedSlotMillis shouldBe 10_000L
    }

    @Test
    fun `the finished count of a restarted entry does not lower the demand below zero`() {
        val steady = estimateSteadyLoad(30, requestsPerSecond = 200, running = 10)
        val restarted = estimateDemand(31_000, listOf(heartbeat("e1", 0, 10, 0)), steady.state).demand.single()
        restarted.offeredSlots shouldBe 0.0
    }
}
