package org.gypsumturn.batch.machines

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.POOL
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineRecord
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.PoolRecord
import org.gypsumturn.batch.model.Size
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.MachineAnswer
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.step
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Verdict

private val SPARE = PoolId("off")
private val CAPACITY = Size(16_000, 32_000, 0)

/** Machines with one executor each, driven by a keeper's orders in the virtual fleet's time. */
private class VirtualMachines(val fleet: VirtualFleet, spares: Int) {
    class Machine(val id: MachineId, var pool: PoolId, var executor: InstanceId?) {
        var state = MachineState.UP
        var backAtMillis = 0L
        var target: PoolId? = null
    }

    val configuration = FleetConfiguration(
        1,
        fleet.configuration.queues,
        fleet.configuration.pools + (SPARE to PoolRecord(SPARE, true, true, "")),
        fleet.configuration.limits,
    )
    val machines = fleet.executors.keys.map { Machine(MachineId("m-$it"), POOL, it) }.toMutableList()
    var keeper = newKeeper(0)
        private set
    val downMillis = HashMap<MachineId, Long>()
    var mostDown = 0

    /** The platform's answer to an order that it does not carry out; null where it does. */
    var answerOf: (MachineOrder) -> MachineAnswer? = { null }
    var moves = 0
    private var lives = 0

    init {
        repeat(spares) { machines += Machine(MachineId("spare-$it"), SPARE, null) }
        fleet.configuration = configuration
        fleet.scheduler.configure(configuration)
    }

    /** Another holder begins, which knows of earlier orders only what the list shows. */
    fun takeOver(wave: UpkeepWave, handoverMillis: Long, ordered: Set<MachineId>) {
        keeper = newKeeper(handoverMillis)
        keeper.inherit(ordered)
        keeper.waveRequested(fleet.nowMillis, wave, downMillis.keys.toSet(), fresh = false)
    }

    /** The list as it stands. */
    fun list() = machines.map { MachineRecord(it.id, it.pool, it.state, it.executor, emptySet(), CAPACITY) }

    private fun newKeeper(handoverMillis: Long) = MachineKeeper(
        MachineTimes(1_500, 2_000, handoverMillis),
        SizingPolicy(1_200.0, 1_500),
        fleet.nowMillis,
        fleet.scheduler,
    ) { event, fields -> fleet.log += "$event ${fields.toList()}" }

    fun run(millis: Long, each: () -> Unit = {}) {
        fleet.run(millis) {
            if (fleet.nowMillis % 100 == 0L) step()
            each()
        }
    }

    private fun step() {
        val now = fleet.nowMillis
        machines.filter { it.state != MachineState.UP && it.backAtMillis <= now }.forEach(::bringBack)
        keeper.listed(now, list())
        keeper.decide(now, configuration).forEach { order ->
            val machine = machines.single { it.id == order.machine }
            val answer = answerOf(order)
            if (answer == null) carry(now, machine, order)
            keeper.answered(now, order, Verdict.Ran(answer ?: MachineAnswer.DONE))
        }
        mostDown = maxOf(mostDown, machines.count { it.state == MachineState.UPKEEP })
    }

    private fun carry(now: Long, machine: Machine, order: MachineOrder) {
        machine.executor?.let { id -> fleet.executors.remove(id) }
        machine.executor = null
        if (order is MachineOrder.Move) {
            moves++
            machine.state = MachineState.MOVING
            machine.target = order.pool
            machine.backAtMillis = now + 1_500
        } else {
            downMillis[machine.id] = now
            machine.state = MachineState.UPKEEP
            machine.backAtMillis = now + 2_000
        }
    }

    private fun bringBack(machine: Machine) {
        machine.state = MachineState.UP
        machine.pool = machine.target ?: machine.pool
        machine.target = null
        if (machine.pool != SPARE) {
            val name = "life-${lives++}"
            fleet.add(name, CAPACITY, machine.pool)
            machine.executor = InstanceId(name)
        }
    }
}

class MachineKeeperTest : AnnotationSpec() {
    private val watch = step(count = 4, cpuMillis = 1_000).copy(longRunning = true, mayMiss = 1, estimateMillis = 0)

    @Test
    fun `a wave takes every machine down once, never more than its cap at once`() {
        val machines = VirtualMachines(VirtualFleet(6), spares = 2)
        machines.fleet.run(200)
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 25_000, 3)
        machines.keeper.waveRequested(machines.fleet.nowMillis, wave, emptySet(), fresh = true)
        machines.run(25_000)
        machines.downMillis.keys shouldBe wave.machines.toSet()
        machines.mostDown shouldBeLessThanOrEqual 3
        machines.keeper.takeReports().single().completed shouldBe true
    }

    @Test
    fun `machines that are off do not fill the cap for longer than their upkeep takes`() {
        val machines = VirtualMachines(VirtualFleet(2), spares = 6)
        machines.fleet.run(200)
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 12_000, 6)
        machines.keeper.waveRequested(machines.fleet.nowMillis, wave, emptySet(), fresh = true)
        machines.run(10_000)
        machines.downMillis.keys shouldBe wave.machines.toSet()
    }

    @Test
    fun `a wave goes on where an earlier holder left it`() {
        val machines = VirtualMachines(VirtualFleet(2), spares = 2)
        machines.fleet.run(200)
        val all = machines.machines.map { it.id }
        val wave = UpkeepWave(1, all, 12_000, 2)
        machines.keeper.waveRequested(machines.fleet.nowMillis, wave, all.take(3).toSet(), fresh = false)
        machines.run(6_000)
        machines.downMillis.keys shouldBe all.drop(3).toSet()
    }

    @Test
    fun `a machine whose upkeep is refused is not done, and is ordered down again`() {
        listOf(MachineAnswer.NOT_OF_WAVE, MachineAnswer.INVALID, MachineAnswer.BUSY).forEach { refusal ->
            val machines = VirtualMachines(VirtualFleet(2), spares = 0)
            machines.fleet.run(200)
            val wave = UpkeepWave(1, machines.machines.map { it.id }, 20_000, 2)
            machines.answerOf = { refusal }
            machines.keeper.waveRequested(machines.fleet.nowMillis, wave, emptySet(), fresh = true)
            machines.run(3_000)
            machines.keeper.takeReports().none { it.completed } shouldBe true
            machines.answerOf = { null }
            machines.run(8_000)
            machines.downMillis.keys shouldBe wave.machines.toSet()
            machines.keeper.takeReports().single().completed shouldBe true
        }
    }

    @Test
    fun `the late answer to a move is not taken for that to an upkeep of the same machine`() {
        val machines = VirtualMachines(VirtualFleet(1), spares = 0)
        machines.fleet.run(200)
        val now = machines.fleet.nowMillis
        val machine = machines.machines.single()
        machines.keeper.listed(now, machines.list())
        val wave = UpkeepWave(1, listOf(machine.id), 20_000, 1)
        machines.keeper.waveRequested(now, wave, emptySet(), fresh = true)
        machines.keeper.decide(now, machines.configuration).single()
        val move = MachineOrder.Move(machine.id, machine.executor, POOL)
        machines.keeper.answered(now, move, Verdict.Ran(MachineAnswer.DONE))
        machines.keeper.decide(now + 100, machines.configuration)
        machines.keeper.takeReports().none { it.completed || it.done.isNotEmpty() } shouldBe true
    }

    @Test
    fun `an executor lives on where an earlier holder's upkeep of its machine had been done`() {
        val fleet = VirtualFleet(1)
        val machines = VirtualMachines(fleet, spares = 0)
        fleet.submit(job(1, watch.copy(mayMiss = 4))) { Long.MAX_VALUE / 1_000 }
        machines.run(3_000)
        machines.answerOf = { MachineAnswer.DONE }
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 8_000, 1)
        machines.keeper.waveRequested(fleet.nowMillis, wave, emptySet(), fresh = false)
        machines.run(8_000)
        machines.keeper.takeReports().single().completed shouldBe true
        fleet.breaches.shouldBeEmpty()
        fleet.executors.values.sumOf { it.runs.size } shouldBe 4
        val quick = job(2, step(count = 2))
        fleet.submit(quick)
        machines.run(3_000)
        (quick.id in fleet.completedMillis) shouldBe true
    }

    @Test
    fun `a new holder counts the machines that an earlier one has taken down`() {
        val machines = VirtualMachines(VirtualFleet(4), spares = 4)
        machines.fleet.run(200)
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 30_000, 3)
        machines.keeper.waveRequested(machines.fleet.nowMillis, wave, emptySet(), fresh = true)
        machines.run(500)
        machines.takeOver(wave, handoverMillis = 1_000, ordered = machines.downMillis.keys.toSet())
        machines.run(20_000)
        machines.mostDown shouldBeLessThanOrEqual 3
        machines.downMillis.keys shouldBe wave.machines.toSet()
    }

    @Test
    fun `a new holder moves machines at once, but not those that an earlier one has just ordered`() {
        val machines = VirtualMachines(VirtualFleet(1), spares = 6)
        machines.run(500)
        val ordered = machines.machines.filter { it.pool == SPARE }.take(2).map { it.id }.toSet()
        machines.takeOver(UpkeepWave(1, emptyList(), 1_000, 1), handoverMillis = 3_500, ordered)
        repeat(200) { machines.fleet.submit(job(it, step(count = 6, cpuMillis = 1_100))) }
        machines.run(2_000)
        machines.machines.filter { it.pool == SPARE }.map { it.id }.toSet() shouldBe ordered
        machines.run(4_000)
        machines.machines.none { it.id in ordered && it.pool == SPARE } shouldBe true
    }

    @Test
    fun `a wave waits for a machine that is missing from the list for a while, and not for one that has left`() {
        val machines = VirtualMachines(VirtualFleet(3), spares = 0)
        machines.fleet.run(200)
        val missing = machines.machines.last()
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 10_000, 3)
        machines.keeper.waveRequested(machines.fleet.nowMillis, wave, emptySet(), fresh = true)
        machines.machines -= missing
        machines.run(10_000)
        machines.keeper.takeReports().none { it.completed } shouldBe true
        machines.run(4_000)
        machines.keeper.takeReports().single().completed shouldBe true
    }

    @Test
    fun `long-running tasks that share a machine leave it one after the other before its upkeep`() {
        val fleet = VirtualFleet(1, configuration = configuration(queue()))
        val machines = VirtualMachines(fleet, spares = 3)
        val job = job(1, watch)
        fleet.submit(job) { Long.MAX_VALUE / 1_000 }
        machines.run(3_000)
        val wave = UpkeepWave(1, listOf(machines.machines.first().id), 25_000, 1)
        machines.keeper.waveRequested(fleet.nowMillis, wave, emptySet(), fresh = true)
        var leastAtWork = 4
        machines.run(25_000) {
            leastAtWork = minOf(leastAtWork, fleet.executors.values.sumOf { it.runs.size })
        }
        machines.downMillis.size shouldBe 1
        leastAtWork shouldBe 3
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `no more tasks of a step are ended than it can miss, whichever machines hold them`() {
        val fleet = VirtualFleet(3)
        val machines = VirtualMachines(fleet, spares = 0)
        val wide = step(count = 6, cpuMillis = 1_000).copy(longRunning = true, mayMiss = 1, estimateMillis = 0)
        fleet.submit(job(1, wide.copy(maxPerExecutor = 2))) { Long.MAX_VALUE / 1_000 }
        machines.run(3_000)
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 2_000, 3)
        machines.keeper.waveRequested(fleet.nowMillis, wave, emptySet(), fresh = true)
        var leastRunning = 6
        machines.run(3_000) { leastRunning = minOf(leastRunning, fleet.executors.values.sumOf { it.runs.size }) }
        leastRunning shouldBe 5
    }

    @Test
    fun `a pool whose only machine waits for its upkeep still runs jobs`() {
        val fleet = VirtualFleet(1)
        val machines = VirtualMachines(fleet, spares = 2)
        fleet.submit(job(1, watch)) { Long.MAX_VALUE / 1_000 }
        machines.run(3_000)
        val wave = UpkeepWave(1, listOf(machines.machines.first().id), 60_000, 1)
        machines.keeper.waveRequested(fleet.nowMillis, wave, emptySet(), fresh = true)
        machines.run(300)
        val quick = job(2, step(count = 9))
        fleet.submit(quick)
        machines.run(6_000)
        (quick.id in fleet.completedMillis) shouldBe true
    }

    @Test
    fun `a queue that asks for five times its mean gets the spare machines and gives them back`() {
        val fleet = VirtualFleet(3)
        val machines = VirtualMachines(fleet, spares = 6)
        machines.run(500)
        repeat(60) { fleet.submit(job(it, step(count = 6, cpuMillis = 1_100))) }
        machines.run(2_000)
        machines.machines.count { it.pool == POOL && it.state == MachineState.UP } shouldBe 9
        machines.run(12_000)
        fleet.scheduler.activeJobs.shouldBeEmpty()
        machines.machines.count { it.pool == SPARE } shouldBe 8
        machines.moves shouldBeLessThanOrEqual 14
    }
}
