// Tests that machines are stored as ordered before orders for them are sent, and that the next lease holder reads this.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.machines.MachineTimes
import org.gypsumturn.batch.model.CallerLimits
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.PoolRecord
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.MachineAnswer
import org.gypsumturn.batch.port.MachineControl
import org.gypsumturn.batch.port.MachinePage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict

private val STANDBY_POOL = PoolId("off")

class MachineOrderDispatcherTest : AnnotationSpec() {
    /** Defers transactions until the test runs them. */
    private class DeferredStore(val memory: MemoryRowStore) : RowStore by memory {
        val deferred = ArrayDeque<() -> Unit>()

        override fun transact(
            transaction: RowTransaction,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<TransactionOutcome>,
        ) {
            deferred.addLast { memory.transact(transaction, timeoutMillis, onVerdict) }
        }

        fun runDeferred() {
            while (deferred.isNotEmpty()) deferred.removeFirst()()
        }
    }

    private class TwoMachines : MachineControl {
        val upkeepOrders = ArrayList<MachineId>()

        override fun listMachines(page: String?, timeoutMillis: Long, onVerdict: VerdictCallback<MachinePage>) {
            val machines = listOf("m1", "m2").map {
                MachineRecord(
                    MachineId(it),
                    STANDBY_POOL,
                    MachineState.UP,
                    null,
                    emptySet(),
                    ResourceAmounts(1_000, 1_000, 0),
                )
            }
            onVerdict(Verdict.Ran(MachinePage(machines, null)))
        }

        override fun moveMachine(
            machine: MachineId,
            pool: PoolId,
            epoch: Epoch,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<MachineAnswer>,
        ) = Unit

        override fun startUpkeep(
            machine: MachineId,
            wave: Long,
            epoch: Epoch,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<MachineAnswer>,
        ) {
            upkeepOrders += machine
        }
    }

    private lateinit var memory: MemoryRowStore
    private lateinit var store: DeferredStore
    private lateinit var machines: TwoMachines
    private val pools = mapOf(STANDBY_POOL to PoolRecord(STANDBY_POOL, true, true, ""))
    private val configuration = FleetConfiguration(1, emptyList(), pools, CallerLimits(1_000))
    private val wave = UpkeepWave(1, listOf(MachineId("m1"), MachineId("m2")), 60_000, 2)

    @BeforeEach
    fun reset() {
        memory = MemoryRowStore()
        store = DeferredStore(memory)
        machines = TwoMachines()
    }

    private fun dispatcher(): MachineOrderDispatcher {
        val epoch = Epoch(1)
        val scheduler = BatchScheduler(SchedulerSettings(5_000, 6_000, 120), epoch, { _, _ -> })
        val fence = ProgressFence(memory, epoch, { it() }) { _, _ -> }
        fence.writeEpoch { }
        val times = MachineTimes(1_500, 2_000, 3_500)
        return MachineOrderDispatcher(
            scheduler,
            epoch,
            fence,
            times,
            store,
            SilentFleetUpdateFeed(),
            machines,
            { _, _ -> },
        ) { it() }
    }

    private fun MachineOrderDispatcher.runTwice() = repeat(2) { runDueWork(NodeClock.readings(), configuration) }

    @Test
    fun `an order for a machine is sent only after the machine is stored as ordered`() {
        val dispatcher = dispatcher()
        dispatcher.addWave(wave, firstHolder = true)
        dispatcher.runTwice()
        machines.upkeepOrders.shouldBeEmpty()
        store.runDeferred()
        val row = memory.rows.getValue(OrderedMachineRow.ADDRESS)
        OrderedMachineRow.decode(row.value!!) shouldBe setOf(MachineId("m1"))
        dispatcher.runTwice()
        machines.upkeepOrders.shouldContainExactly(MachineId("m1"))
    }

    @Test
    fun `a new holder gives no orders for machines that its predecessor has ordered`() {
        val firstDispatcher = dispatcher()
        firstDispatcher.addWave(wave.copy(machines = wave.machines.take(1)), firstHolder = true)
        firstDispatcher.runTwice()
        store.runDeferred()
        val nextDispatcher = dispatcher()
        nextDispatcher.applyStoredWaves(memory.rows.values.filter { it.address.table == WaveRows.TABLE })
        nextDispatcher.addWave(wave, firstHolder = false)
        nextDispatcher.runTwice()
        store.runDeferred()
        nextDispatcher.runTwice()
        machines.upkeepOrders.shouldContainExactly(MachineId("m2"))
    }
}
