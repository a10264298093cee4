// Tests the fleet reconciler in several control processes that share a table and run in virtual time.

package org.gypsumturn.control.fleet

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.fleet.command.CommandDecision
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveId
import org.gypsumturn.model.WaveState
import org.gypsumturn.peer.ChangeOutcome
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.PortFault

class FleetReconcilerTest : AnnotationSpec() {
    private val wave = WaveId("w")
    private val names = listOf("c1", "c2", "c3")

    private fun FleetFixture.startWave() =
        aliveProcesses.first().command(FleetCommand.StartWave(Wave(wave, listOf(pool), canaries = 1)))

    private fun FleetFixture.stateOf(id: String) = view.instances.getValue(InstanceId(id)).state

    @Test
    fun `a wave reboots every instance once, within the budget`() {
        val fleet = FleetFixture(size = 6, budget = 2, names)
        fleet.startWave()
        fleet.run(60_000)
        fleet.view.waves.getValue(wave).state shouldBe WaveState.FINISHED
        fleet.platform.rebootRequests.sorted() shouldBe (1..6).map { InstanceId("i$it") }
        fleet.maxOutOfService shouldBeLessThanOrEqual 2
    }

    @Test
    fun `a wave reboots no instance twice and does not finish when two of three processes die`() {
        val fleet = FleetFixture(size = 6, budget = 2, names)
        fleet.startWave()
        repeat(2) {
            fleet.run(4_000)
            fleet.aliveProcesses.removeAt(0)
        }
        fleet.run(120_000)
        // One of three nodes is not a majority, so no further instance may be taken out of service.
        fleet.view.waves.getValue(wave).state shouldBe WaveState.RUNNING
        fleet.platform.rebootRequests.distinct().size shouldBe fleet.platform.rebootRequests.size
    }

    @Test
    fun `a wave finishes within the budget when one of three processes dies`() {
        val fleet = FleetFixture(size = 6, budget = 2, names)
        fleet.startWave()
        fleet.run(4_000)
        fleet.aliveProcesses.removeAt(0)
        fleet.run(120_000)
        fleet.view.waves.getValue(wave).state shouldBe WaveState.FINISHED
        fleet.platform.rebootRequests.sorted() shouldBe (1..6).map { InstanceId("i$it") }
        fleet.maxOutOfService shouldBeLessThanOrEqual 2
    }

    @Test
    fun `a wave finishes within the budget although the table loses answers and refuses calls for a time`() {
        var calls = 0
        val table = FakeTableStore { isCommit ->
            calls++
            when {
                calls in 400..700 -> PortFault.REFUSE
                isCommit && calls % 5 == 0 -> PortFault.LOSE_ANSWER
                isCommit && calls % 7 == 0 -> PortFault.LOSE_REQUEST
                else -> PortFault.NONE
            }
        }
        val fleet = FleetFixture(size = 6, budget = 2, names, table)
        fleet.startWave()
        fleet.run(240_000)
        fleet.view.waves.getValue(wave).state shouldBe WaveState.FINISHED
        fleet.platform.rebootRequests.sorted() shouldBe (1..6).map { InstanceId("i$it") }
        fleet.maxOutOfService shouldBeLessThanOrEqual 2
    }

    @Test
    fun `an instance that is missing from the list becomes lost and serves again once it is listed`() {
        val fleet = FleetFixture(size = 4, budget = 2, names)
        fleet.platform.missing += InstanceId("i1")
        fleet.run(5_000)
        fleet.stateOf("i1") shouldBe InstanceState.LOST
        fleet.platform.missing.clear()
        fleet.run(5_000)
        fleet.stateOf("i1") shouldBe InstanceState.SERVING
    }

    @Test
    fun `a leaving instance is taken out of service at once`() {
        val fleet = FleetFixture(size = 4, budget = 2, names)
        fleet.platform.leaving += InstanceId("i2")
        fleet.run(1_500)
        fleet.stateOf("i2") shouldBe InstanceState.LEAVING
    }

    @Test
    fun `a quarantined worker counts as lost until its quarantine ends`() {
        val fleet = FleetFixture(size = 4, budget = 1, names)
        fleet.run(2_000, quarantined = listOf(InstanceId("i3")))
        fleet.stateOf("i3") shouldBe InstanceState.LOST
        val refused = fleet.aliveProcesses.first().command(FleetCommand.DrainInstance(InstanceId("i1"), null))
        val outcome = refused.shouldBeInstanceOf<Verdict.Ran<ChangeOutcome<CommandDecision>>>().value
        outcome.shouldBeInstanceOf<ChangeOutcome.Refused<CommandDecision>>()
            .refusal.shouldBeInstanceOf<CommandDecision.BudgetExhausted>()
        fleet.run(3_000)
        fleet.stateOf("i3") shouldBe InstanceState.SERVING
    }

    @Test
    fun `of two operators' conflicting changes one is accepted and the other is refused as a conflict`() {
        val fleet = FleetFixture(size = 2, budget = 1, names)
        val seen = fleet.view.instances.getValue(InstanceId("i1")).revision
        val (first, second) = fleet.aliveProcesses
        val drain = first.command(FleetCommand.DrainInstance(InstanceId("i1"), seen))
        val reboot = second.command(FleetCommand.RebootInstance(InstanceId("i1"), null, seen))
        drain.shouldBeInstanceOf<Verdict.Ran<ChangeOutcome<CommandDecision>>>()
            .value.shouldBeInstanceOf<ChangeOutcome.Made>()
        val refused = reboot.shouldBeInstanceOf<Verdict.Ran<ChangeOutcome<CommandDecision>>>().value
        refused.shouldBeInstanceOf<ChangeOutcome.Refused<CommandDecision>>()
            .refusal.shouldBeInstanceOf<CommandDecision.Conflict>()
    }
}
