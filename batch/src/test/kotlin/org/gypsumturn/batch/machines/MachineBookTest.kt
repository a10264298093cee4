package org.gypsumturn.batch.machines

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.Size
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

class MachineBookTest : AnnotationSpec() {
    private val id = MachineId("m-1")
    private val wave = UpkeepWave(1, listOf(id), 20_000, 1)

    private fun record(executor: String, state: MachineState = MachineState.UP) =
        MachineRecord(id, PoolId("p"), state, InstanceId(executor), emptySet(), Size.NONE)

    @Test
    fun `a machine counts as down for its upkeep although a list that lags shows another executor on it`() {
        val book = MachineBook(MachineTimes(1_500, 2_000, 0))
        book.listed(0, listOf(record("before the move")))
        val task = MachineTask(MachineOrder.Upkeep(id, InstanceId("before the move"), 1), endsExecutor = true)
        task.stage = OrderStage.CARRIED_OUT
        task.carriedOutMillis = 100
        book.tasks[id] = task
        book.listed(400, listOf(record("after the move")))
        book.downFor(wave) { false } shouldBe 1
        book.listed(700, listOf(record("after the move", MachineState.UPKEEP)))
        book.downFor(wave) { false } shouldBe 1
        book.listed(2_400, listOf(record("after the upkeep")))
        book.downFor(wave) { false } shouldBe 0
    }
}
