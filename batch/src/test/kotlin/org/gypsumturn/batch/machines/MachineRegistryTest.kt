// Tests which machines count as down while the list of machines lags behind the orders.

package org.gypsumturn.batch.machines

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

class MachineRegistryTest : AnnotationSpec() {
    private val id = MachineId("m-1")
    private val wave = UpkeepWave(1, listOf(id), 20_000, 1)

    private fun record(executor: String, state: MachineState = MachineState.UP) =
        MachineRecord(id, PoolId("p"), state, InstanceId(executor), emptySet(), ResourceAmounts.NONE)

    @Test
    fun `a machine counts as down for its upkeep even if the lagging list already shows another executor on it`() {
        val registry = MachineRegistry(MachineTimes(1_500, 2_000, 0))
        registry.applyList(0, 0, listOf(record("before the move")))
        val order = MachineOrder.Upkeep(id, InstanceId("before the move"), 1)
        val openOrder = OpenMachineOrder(order, endsExecutor = true, incarnation = null)
        openOrder.stage = MachineOrderStage.CARRIED_OUT
        openOrder.carriedOutMillis = 100
        registry.openOrders[id] = openOrder
        registry.applyList(400, 400, listOf(record("after the move")))
        registry.countDownFor(wave) { false } shouldBe 1
        registry.applyList(700, 700, listOf(record("after the move", MachineState.UPKEEP)))
        registry.countDownFor(wave) { false } shouldBe 1
        registry.applyList(2_400, 2_400, listOf(record("after the upkeep")))
        registry.countDownFor(wave) { false } shouldBe 0
    }
}
