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

private val OFF = PoolId("off")

class MachineDutyTest : AnnotationSpec() {
    /** Keeps transactions back, and carries them out when the test says so. */
    private class HeldStore(val memory: MemoryRowStore) : RowStore by memory {
        val held = ArrayDeque<() -> Unit>()

        override fun transact(
            transaction: RowTransaction,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<TransactionOutcome>,
        ) {
            held.addLast { memory.transact(transaction, timeoutMillis, onVerdict) }
        }

        fun carryOut() {
            while (held.isNotEmpty()) held.removeFirst()()
        }
    }

    private class TwoMachines : MachineControl {
        val ordered = ArrayList<MachineId>()

        override fun listMachines(page: String?, timeoutMillis: Long, onVerdict: VerdictCallback<MachinePage>) {
            val machines = listOf("m1", "m2").map {
                MachineRecord(MachineId(it), OFF, MachineState.UP, null, emptySet(), ResourceAmounts(1_000, 1_000, 0))
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
            ordered += machine
        }
    }

    private lateinit var memory: MemoryRowStore
    private lateinit var store: HeldStore
    private lateinit var machines: TwoMachines
    private val pools = mapOf(OFF to PoolRecord(OFF, true, true, ""))
    private val configuration = FleetConfiguration(1, emptyList(), pools, CallerLimits(1_000))
    private val wave = UpkeepWave(1, listOf(MachineId("m1"), MachineId("m2")), 60_000, 2)

    @BeforeEach
    fun reset() {
        memory = MemoryRowStore()
        store = HeldStore(memory)
        machines = TwoMachines()
    }

    private fun duty(): MachineDuty {
        val epoch = Epoch(1)
        val scheduler = BatchScheduler(SchedulerSettings(5_000, 120), epoch, { _, _ -> })
        val fence = ProgressFence(memory, epoch, { it() }) { _, _ -> }
        fence.raise { }
        val times = MachineTimes(1_500, 2_000, 3_500)
        return MachineDuty(scheduler, epoch, fence, times, store, QuietNews(), machines, { _, _ -> }) { it() }
    }

    private fun MachineDuty.workTwice() = repeat(2) { work(NodeClock.instants(), configuration) }

    @Test
    fun `no machine is ordered about before it is stored that it is under orders`() {
        val duty = duty()
        duty.waveRequested(wave, fresh = true)
        duty.workTwice()
        machines.ordered.shouldBeEmpty()
        store.carryOut()
        val row = memory.rows.getValue(OrderedMachineRow.ADDRESS)
        OrderedMachineRow.decode(row.value!!) shouldBe setOf(MachineId("m1"))
        duty.workTwice()
        machines.ordered.shouldContainExactly(MachineId("m1"))
    }

    @Test
    fun `a new holder leaves alone what the last one had under orders`() {
        val first = duty()
        first.waveRequested(wave.copy(machines = wave.machines.take(1)), fresh = true)
        first.workTwice()
        store.carryOut()
        val next = duty()
        next.wavesStored(memory.rows.values.filter { it.address.table == WaveRows.TABLE })
        next.waveRequested(wave, fresh = false)
        next.workTwice()
        store.carryOut()
        next.workTwice()
        machines.ordered.shouldContainExactly(MachineId("m2"))
    }
}
