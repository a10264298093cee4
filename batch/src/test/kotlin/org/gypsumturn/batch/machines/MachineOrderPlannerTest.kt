// Tests the orders for machines against a simulated fleet: waves of upkeep, moves between pools, and takeovers by
// another lease holder.

package org.gypsumturn.batch.machines

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.POOL
import org.gypsumturn.batch.TEST_SETTINGS
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.model.MachineState
import org.gypsumturn.batch.model.UpkeepWave
import org.gypsumturn.batch.port.MachineAnswer
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.schedule.JobKnowledge
import org.gypsumturn.batch.step
import org.gypsumturn.model.Verdict

class MachineOrderPlannerTest : AnnotationSpec() {
    private val longRunningStep =
        step(count = 4, cpuMillis = 1_000).copy(longRunning = true, mayMiss = 1, estimateMillis = 0)

    @Test
    fun `a wave takes every machine down, and never more at once than its cap`() {
        val machines = VirtualMachines(VirtualFleet(6), spares = 2)
        machines.fleet.run(200)
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 25_000, 3)
        machines.planner.addWave(machines.fleet.nowMillis, wave, emptySet(), firstHolder = true)
        machines.run(25_000)
        machines.upkeepStartMillis.keys shouldBe wave.machines.toSet()
        machines.maxDownCount shouldBeLessThanOrEqual 3
        machines.planner.takeReports().single().completed shouldBe true
    }

    // Guards against: upkeep stops tasks which can't start elsewhere, since starts are held back.
    @Test
    fun `no task is moved off a machine and no machine is ordered down while starts are held back`() {
        val fleet = VirtualFleet(4)
        val machines = VirtualMachines(fleet, spares = 0)
        fleet.submit(job(1, longRunningStep)) { Long.MAX_VALUE / 1_000 }
        machines.run(3_000)
        val heldMillis = fleet.nowMillis
        fleet.jobKnowledge = { JobKnowledge(heldMillis - TEST_SETTINGS.maxJobsAgeMillis - 1, it) }
        machines.run(100)
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 25_000, 2)
        machines.planner.addWave(fleet.nowMillis, wave, emptySet(), firstHolder = true)
        machines.run(5_000)
        withClue("running tasks, machines that were ordered down") {
            fleet.executors.values.sumOf { it.runs.size } to machines.upkeepStartMillis.size shouldBe (4 to 0)
        }
        fleet.jobKnowledge = JobKnowledge::current
        machines.run(20_000)
        machines.upkeepStartMillis.keys shouldBe wave.machines.toSet()
    }

    @Test
    fun `machines that are off count against the cap only for as long as their upkeep takes`() {
        val machines = VirtualMachines(VirtualFleet(2), spares = 6)
        machines.fleet.run(200)
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 12_000, 6)
        machines.planner.addWave(machines.fleet.nowMillis, wave, emptySet(), firstHolder = true)
        machines.run(10_000)
        machines.upkeepStartMillis.keys shouldBe wave.machines.toSet()
    }

    @Test
    fun `a new holder continues a wave without the machines that an earlier holder has taken down`() {
        val machines = VirtualMachines(VirtualFleet(2), spares = 2)
        machines.fleet.run(200)
        val all = machines.machines.map { it.id }
        val wave = UpkeepWave(1, all, 12_000, 2)
        machines.planner.addWave(machines.fleet.nowMillis, wave, all.take(3).toSet(), firstHolder = false)
        machines.run(6_000)
        machines.upkeepStartMillis.keys shouldBe all.drop(3).toSet()
    }

    @Test
    fun `a machine whose upkeep is refused does not count as done and is ordered down again`() {
        listOf(MachineAnswer.NOT_OF_WAVE, MachineAnswer.INVALID, MachineAnswer.BUSY).forEach { refusal ->
            val machines = VirtualMachines(VirtualFleet(2), spares = 0)
            machines.fleet.run(200)
            val wave = UpkeepWave(1, machines.machines.map { it.id }, 20_000, 2)
            machines.answerOf = { refusal }
            machines.planner.addWave(machines.fleet.nowMillis, wave, emptySet(), firstHolder = true)
            machines.run(3_000)
            machines.planner.takeReports().none { it.completed } shouldBe true
            machines.answerOf = { null }
            machines.run(8_000)
            machines.upkeepStartMillis.keys shouldBe wave.machines.toSet()
            machines.planner.takeReports().single().completed shouldBe true
        }
    }

    @Test
    fun `a late answer to a move is not mistaken for the answer to an upkeep of the same machine`() {
        val machines = VirtualMachines(VirtualFleet(1), spares = 0)
        machines.fleet.run(200)
        val now = machines.fleet.nowMillis
        val machine = machines.machines.single()
        machines.planner.applyMachineList(now, now, machines.list())
        val wave = UpkeepWave(1, listOf(machine.id), 20_000, 1)
        machines.planner.addWave(now, wave, emptySet(), firstHolder = true)
        machines.planner.decideOrders(now, machines.configuration).single()
        val move = MachineOrder.Move(machine.id, machine.executor, POOL)
        machines.planner.onOrderAnswer(now, move, Verdict.Ran(MachineAnswer.DONE))
        machines.planner.decideOrders(now + 100, machines.configuration)
        machines.planner.takeReports().none { it.completed || it.done.isNotEmpty() } shouldBe true
    }

    @Test
    fun `an executor that was started after an earlier holder's upkeep of its machine keeps its runs`() {
        val fleet = VirtualFleet(1)
        val machines = VirtualMachines(fleet, spares = 0)
        fleet.submit(job(1, longRunningStep.copy(mayMiss = 4))) { Long.MAX_VALUE / 1_000 }
        machines.run(3_000)
        machines.answerOf = { MachineAnswer.DONE }
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 8_000, 1)
        machines.planner.addWave(fleet.nowMillis, wave, emptySet(), firstHolder = false)
        machines.run(8_000)
        machines.planner.takeReports().single().completed shouldBe true
        fleet.breaches.shouldBeEmpty()
        fleet.executors.values.sumOf { it.runs.size } shouldBe 4
        val finiteJob = job(2, step(count = 2))
        fleet.submit(finiteJob)
        machines.run(3_000)
        (finiteJob.id in fleet.completedMillis) shouldBe true
    }

    @Test
    fun `a new holder counts machines that an earlier holder has taken down against the cap`() {
        val machines = VirtualMachines(VirtualFleet(4), spares = 4)
        machines.fleet.run(200)
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 30_000, 3)
        machines.planner.addWave(machines.fleet.nowMillis, wave, emptySet(), firstHolder = true)
        machines.run(500)
        machines.takeOver(wave, handoverMillis = 1_000, ordered = machines.upkeepStartMillis.keys.toSet())
        machines.run(20_000)
        machines.maxDownCount shouldBeLessThanOrEqual 3
        machines.upkeepStartMillis.keys shouldBe wave.machines.toSet()
    }

    @Test
    fun `a new holder moves machines at once, except those that an earlier holder has just ordered`() {
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
    fun `a wave waits for a machine that is briefly missing from the list, but not for one that has left for good`() {
        val machines = VirtualMachines(VirtualFleet(3), spares = 0)
        machines.fleet.run(200)
        val missing = machines.machines.last()
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 10_000, 3)
        machines.planner.addWave(machines.fleet.nowMillis, wave, emptySet(), firstHolder = true)
        machines.machines -= missing
        machines.run(10_000)
        machines.planner.takeReports().none { it.completed } shouldBe true
        machines.run(4_000)
        machines.planner.takeReports().single().completed shouldBe true
    }

    @Test
    fun `long-running tasks on one machine are moved off it one after the other before its upkeep`() {
        val fleet = VirtualFleet(1, configuration = configuration(queue()))
        val machines = VirtualMachines(fleet, spares = 3)
        val job = job(1, longRunningStep)
        fleet.submit(job) { Long.MAX_VALUE / 1_000 }
        machines.run(3_000)
        val wave = UpkeepWave(1, listOf(machines.machines.first().id), 25_000, 1)
        machines.planner.addWave(fleet.nowMillis, wave, emptySet(), firstHolder = true)
        var minRunning = 4
        machines.run(25_000) {
            minRunning = minOf(minRunning, fleet.executors.values.sumOf { it.runs.size })
        }
        machines.upkeepStartMillis.size shouldBe 1
        minRunning shouldBe 3
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `no more tasks of a step are ended at once than its bound allows, on whichever machines they run`() {
        val fleet = VirtualFleet(3)
        val machines = VirtualMachines(fleet, spares = 0)
        val wideStep = step(count = 6, cpuMillis = 1_000).copy(longRunning = true, mayMiss = 1, estimateMillis = 0)
        fleet.submit(job(1, wideStep.copy(maxPerExecutor = 2))) { Long.MAX_VALUE / 1_000 }
        machines.run(3_000)
        val wave = UpkeepWave(1, machines.machines.map { it.id }, 2_000, 3)
        machines.planner.addWave(fleet.nowMillis, wave, emptySet(), firstHolder = true)
        var minRunning = 6
        machines.run(3_000) { minRunning = minOf(minRunning, fleet.executors.values.sumOf { it.runs.size }) }
        minRunning shouldBe 5
    }

    @Test
    fun `a pool whose only machine waits for its upkeep still runs jobs`() {
        val fleet = VirtualFleet(1)
        val machines = VirtualMachines(fleet, spares = 2)
        fleet.submit(job(1, longRunningStep)) { Long.MAX_VALUE / 1_000 }
        machines.run(3_000)
        val wave = UpkeepWave(1, listOf(machines.machines.first().id), 60_000, 1)
        machines.planner.addWave(fleet.nowMillis, wave, emptySet(), firstHolder = true)
        machines.run(300)
        val finiteJob = job(2, step(count = 9))
        fleet.submit(finiteJob)
        machines.run(6_000)
        (finiteJob.id in fleet.completedMillis) shouldBe true
    }

    @Test
    fun `a pool with a demand of five times its mean gets the spare machines and returns them afterwards`() {
        val fleet = VirtualFleet(3)
        val machines = VirtualMachines(fleet, spares = 6)
        machines.run(500)
        repeat(60) { fleet.submit(job(it, step(count = 6, cpuMillis = 1_100))) }
        machines.run(2_000)
        machines.machines.count { it.pool == POOL && it.state == MachineState.UP } shouldBe 9
        machines.run(12_000)
        fleet.scheduler.activeJobs.shouldBeEmpty()
        machines.machines.count { it.pool == SPARE } shouldBe 8
        machines.moveCount shouldBeLessThanOrEqual 14
    }

    /** Starts tasks, and lets the holder lose the way to an executor, which goes on with its runs. */
    private fun cutFromHolder(machines: VirtualMachines) {
        machines.fleet.submit(job(1, step(count = 20, estimateMillis = 30_000))) { 30_000 }
        machines.run(2_000)
        machines.fleet.executors.values.first().unreachableFrom += machines.fleet.scheduler
    }

    // Guards against: a gap in the list is taken for the end of an executor that only the holder can't reach.
    @Test
    fun `runs on a silent executor are not started elsewhere because lists lack its machine`() {
        val machines = VirtualMachines(VirtualFleet(2), spares = 0)
        cutFromHolder(machines)
        machines.isListed = { it != machines.machines.first() }
        machines.run(4_000)
        machines.fleet.breaches.shouldBeEmpty()
    }

    // Guards against: a list from before the present executor of a machine is taken for the end of that executor.
    @Test
    fun `runs on a silent executor are kept while lists show a time before its machine was up`() {
        val fleet = VirtualFleet(1)
        val machines = VirtualMachines(fleet, spares = 0)
        machines.run(2_000)
        val started = fleet.add("x9", CAPACITY)
        machines.machines += VirtualMachines.VirtualMachine(MachineId("m-9"), POOL, started.id)
        val startMillis = fleet.nowMillis
        machines.listedState = { machine ->
            MachineState.MOVING.takeIf { machine.executor == started.id && fleet.nowMillis < startMillis + 900 }
        }
        fleet.submit(job(1, step(count = 20, estimateMillis = 30_000))) { 30_000 }
        machines.run(100)
        started.runs.isEmpty() shouldBe false
        started.unreachableFrom += fleet.scheduler
        machines.run(4_000)
        fleet.breaches.shouldBeEmpty()
    }

    // Guards against: the end of a machine's executor is noticed only when its leases have lapsed.
    @Test
    fun `runs on a silent executor are started elsewhere once its machine is listed as down`() {
        val machines = VirtualMachines(VirtualFleet(2), spares = 0)
        cutFromHolder(machines)
        val gone = machines.machines.first()
        machines.fleet.executors.values.first().runs.clear()
        machines.listedState = { MachineState.DOWN.takeIf { _ -> it == gone } }
        machines.run(3_000)
        machines.fleet.starts.size shouldBeGreaterThan 20
        machines.fleet.breaches.shouldBeEmpty()
    }

    // Guards against: what a holder has moved out of a pool shortly before its end holds back the tasks of the pool for
    // as long as leases last.
    @Test
    fun `after a takeover, tasks do not wait for executors that the earlier holder has moved away`() {
        val fleet = VirtualFleet(4)
        val machines = VirtualMachines(fleet, spares = 0)
        fleet.submit(job(1, step(count = 30)))
        machines.run(500)
        val moved = machines.machines.first { fleet.executors.getValue(it.executor!!).runs.isEmpty() }
        val ended = moved.executor!!
        machines.carryOut(fleet.nowMillis, moved, MachineOrder.Move(moved.id, ended, SPARE))
        moved.state = MachineState.UP
        moved.pool = SPARE
        fleet.executors.values.filter { it.runs.isNotEmpty() }.take(1).forEach(fleet::restart)
        fleet.takeOver(2)
        machines.takeOver(3_500, mapOf(ended to moved.id))
        machines.run(3_000)
        fleet.log.first { "recovery over" in it && "epoch, 2" in it }
        fleet.breaches.shouldBeEmpty()
    }

    // Guards against: after each takeover the machines of a pool without new jobs stay in it.
    @Test
    fun `idle machines go back after a takeover, also from a pool that has no new jobs`() {
        val fleet = VirtualFleet(4)
        val machines = VirtualMachines(fleet, spares = 0)
        fleet.submit(job(1, step(count = 4)))
        machines.run(1_500)
        fleet.takeOver(2)
        machines.takeOver(0, emptyMap())
        machines.run(5_000)
        machines.machines.count { it.pool == SPARE } shouldBe 3
    }
}
