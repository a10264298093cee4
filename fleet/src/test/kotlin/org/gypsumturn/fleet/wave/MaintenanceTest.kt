// Automatic maintenance starts in time, once, and tries again after a halt.

package org.gypsumturn.fleet.wave

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.fleet.PRINT
import org.gypsumturn.fleet.PROOF
import org.gypsumturn.fleet.applied
import org.gypsumturn.fleet.command.CommandDecision
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.decide
import org.gypsumturn.fleet.fleetOf
import org.gypsumturn.fleet.get
import org.gypsumturn.fleet.id
import org.gypsumturn.fleet.instance
import org.gypsumturn.fleet.pool
import org.gypsumturn.model.WaveState

private const val DAY = 86_400_000L
private const val PERIOD = 35 * DAY

internal class MaintenanceTest : AnnotationSpec() {
    private val fleet = fleetOf(listOf(pool(PRINT), pool(PROOF)), size = 6)

    @Test
    fun `nothing is due before the lead time, and then each pool gets one wave`() {
        dueForMaintenance(fleet, 29 * DAY, PERIOD).shouldBeEmpty()
        val due = dueForMaintenance(fleet, 30 * DAY, PERIOD)
        due.map { it.shouldBeInstanceOf<FleetCommand.StartWave>().wave.pools.single() }.toSet() shouldBe
            setOf(PRINT, PROOF)
        val started = due.fold(fleet) { view, command -> view.applied(command, 30 * DAY) }
        dueForMaintenance(started, 30 * DAY, PERIOD).shouldBeEmpty()
    }

    @Test
    fun `two control processes that race start a wave once`() {
        val command = dueForMaintenance(fleet, 30 * DAY, PERIOD).first()
        val later = dueForMaintenance(fleet, 30 * DAY + 1, PERIOD).first()
        fleet.applied(command, 30 * DAY).decide(later).shouldBeInstanceOf<CommandDecision.Conflict>()
    }

    @Test
    fun `a halted wave is replaced after a day`() {
        val wave = dueForMaintenance(fleet, 30 * DAY, PERIOD).first() as FleetCommand.StartWave
        val running = fleet.applied(wave, 30 * DAY)
        val recorded = running.waves.getValue(wave.wave.id)
        val halted = running.applied(
            FleetCommand.RecordWave(recorded.copy(state = WaveState.HALTED), recorded.revision),
            30 * DAY,
        )
        dueForMaintenance(halted, 30 * DAY + 1, PERIOD).filterIsInstance<FleetCommand.AbortWave>().shouldBeEmpty()
        val retry = dueForMaintenance(halted, 31 * DAY, PERIOD)
        val after = retry.fold(halted) { view, command -> view.applied(command, 31 * DAY) }
        after.waves.values.filter { it.state == WaveState.RUNNING } shouldHaveSize 2
        after.waves.getValue(wave.wave.id).state shouldBe WaveState.ABORTED
    }

    @Test
    fun `a straggler is rebooted alone`() {
        val old = id(PRINT, 9)
        val newer = fleet.applied(
            FleetCommand.ApplyConfiguration(
                instances = (10..19).map { instance(PRINT, it).copy(maintainedAtMillis = 20 * DAY) } +
                    instance(PRINT, 9).copy(maintainedAtMillis = 1),
            ),
        )
        val commands = dueForMaintenance(newer, 30 * DAY, PERIOD).filterIsInstance<FleetCommand.RebootInstance>()
        commands shouldHaveSize 1
        newer.get(commands.single().id).pool shouldBe PRINT
        newer.get(old).state.name shouldBe "SERVING"
    }
}
