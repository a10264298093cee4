// Tests that a wave starts with its canary, stays within the budgets, halts on failures and is planned from the view
// alone.

package org.gypsumturn.fleet.wave

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.fleet.PRINT
import org.gypsumturn.fleet.PROOF
import org.gypsumturn.fleet.advanced
import org.gypsumturn.fleet.applied
import org.gypsumturn.fleet.command.CommandDecision
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.command.decideCommand
import org.gypsumturn.fleet.decide
import org.gypsumturn.fleet.fleetOf
import org.gypsumturn.fleet.get
import org.gypsumturn.fleet.id
import org.gypsumturn.fleet.pool
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState.DRAINED
import org.gypsumturn.model.InstanceState.DRAINING
import org.gypsumturn.model.InstanceState.LEAVING
import org.gypsumturn.model.InstanceState.LOST
import org.gypsumturn.model.InstanceState.REBOOTING
import org.gypsumturn.model.InstanceState.SERVING
import org.gypsumturn.model.InstanceState.WARMING
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveId
import org.gypsumturn.model.WaveState

private const val START_MILLIS = 1_000L
private const val STEP_MILLIS = 1_000L

internal class WavePlanTest : AnnotationSpec() {
    private val waveId = WaveId("kernel")
    private val pools = listOf(pool(PRINT, 3), pool(PROOF, 3))
    private val fleet = started(Wave(waveId, listOf(PRINT, PROOF), maxFailures = 3))

    private fun started(wave: Wave): FleetView =
        fleetOf(pools, size = 6).applied(FleetCommand.StartWave(wave), START_MILLIS)

    private fun FleetView.wave(id: WaveId = waveId): Wave = waves.getValue(id)

    private fun FleetView.plan(nowMillis: Long, forecast: DemandForecast = NO_FORECAST): List<WaveStep> =
        planWave(this, wave(), nowMillis, forecast)

    private fun FleetView.executed(steps: List<WaveStep>, nowMillis: Long): FleetView =
        steps.fold(this) { view, step -> view.applied(step.command, nowMillis) }

    private fun List<WaveStep>.started(): List<InstanceId> =
        map { it.command }.filterIsInstance<FleetCommand.RebootInstance>().map { it.id }

    /** Completes the reboot of every instance that is reserved for the wave. */
    private fun FleetView.completed(nowMillis: Long): FleetView =
        instances.values.filter { it.reservation?.wave == waveId }.fold(this) { view, instance ->
            view.advanced(instance.id, DRAINED, REBOOTING, WARMING, SERVING, nowMillis = nowMillis)
        }

    private fun FleetView.failed(id: InstanceId): FleetView = this
        .applied(FleetCommand.RebootInstance(id, waveId, null), START_MILLIS + STEP_MILLIS)
        .advanced(id, DRAINED, REBOOTING, LOST, nowMillis = START_MILLIS + STEP_MILLIS)

    @Test
    fun `the canary reboots alone and later steps start at most one more than has come back`() {
        val startCounts = generateSequence(fleet to START_MILLIS) { (view, now) ->
            view.executed(view.plan(now), now).completed(now) to now + STEP_MILLIS
        }.map { (view, now) -> view.plan(now).started().size }.take(4).toList()
        startCounts shouldContainExactly listOf(1, 2, 4, 5)
    }

    @Test
    fun `a wave finishes after it has rebooted every instance once`() {
        val (end, reboots) = run(fleet)
        end.wave().state shouldBe WaveState.FINISHED
        reboots.sorted() shouldContainExactly fleet.instances.keys.sorted()
    }

    @Test
    fun `overlapping waves reboot no instance twice`() {
        val other = Wave(WaveId("firmware"), listOf(PRINT), maxFailures = 3)
        val (end, reboots) = run(fleet.applied(FleetCommand.StartWave(other), START_MILLIS))
        end.waves.values.map { it.state }.distinct() shouldContainExactly listOf(WaveState.FINISHED)
        reboots.sorted() shouldContainExactly fleet.instances.keys.sorted()
    }

    /** Plans each round from the view alone and completes all reboots before the next. Returns the view and reboots. */
    private fun run(start: FleetView): Pair<FleetView, List<InstanceId>> {
        val reboots = mutableListOf<InstanceId>()
        var view = start
        for (round in 1..40) {
            val now = START_MILLIS + round * STEP_MILLIS
            unfinishedWaves(view).forEach { wave ->
                val steps = planWave(view, view.wave(wave.id), now)
                reboots += steps.started()
                view = view.executed(steps, now)
            }
            view = view.instances.values.filter { it.reservation != null }.fold(view) { current, instance ->
                current.advanced(instance.id, DRAINED, REBOOTING, WARMING, SERVING, nowMillis = now)
            }
        }
        return view to reboots
    }

    @Test
    fun `instances that reboot at the same time are in different racks and data centres`() {
        val ready = (0..1).fold(fleet) { view, _ ->
            view.executed(view.plan(START_MILLIS), START_MILLIS).completed(START_MILLIS + STEP_MILLIS)
        }
        val taken = ready.plan(START_MILLIS + STEP_MILLIS).started().take(3).map { ready.get(it).domain }
        taken.map { it.rack }.distinct() shouldHaveSize 3
        taken.map { it.dataCentre }.distinct() shouldHaveSize 3
    }

    @Test
    fun `a wave waits for the demand to fall, but no longer than its maximum wait`() {
        val busy: DemandForecast = { _, _, _ -> 6 }
        fleet.plan(START_MILLIS, busy).shouldBeEmpty()
        fleet.plan(START_MILLIS + WavePlanSettings().maxForecastWaitMillis, busy).started() shouldHaveSize 1
    }

    @Test
    fun `a wave halts if its canary does not come back from its reboot`() {
        val out = fleet.executed(fleet.plan(START_MILLIS), START_MILLIS)
        val canary = out.instances.values.single { it.reservation != null }.id
        val rebooting = out.advanced(canary, DRAINED, REBOOTING, nowMillis = START_MILLIS)
        val late = START_MILLIS + rebooting.wave().rebootTimeoutMillis + 1
        val lost = rebooting.executed(rebooting.plan(late), late)
        lost.get(canary).state shouldBe LOST
        val halted = lost.executed(lost.plan(late), late)
        halted.wave().state shouldBe WaveState.HALTED
        halted.wave().reason shouldContain canary.value
        halted.plan(late).shouldBeEmpty()
    }

    @Test
    fun `an instance that announces its departure during its reboot counts as failed`() {
        val out = fleet.executed(fleet.plan(START_MILLIS), START_MILLIS)
        val canary = out.instances.values.single { it.reservation != null }.id
        out.advanced(canary, DRAINED, REBOOTING, LEAVING).wave().failed shouldContainExactly listOf(canary)
    }

    @Test
    fun `a wave halts on two failures in one rack, but not on two failures in different racks`() {
        val canary = fleet.executed(fleet.plan(START_MILLIS), START_MILLIS).completed(START_MILLIS + STEP_MILLIS)
        val scattered = canary.failed(id(PROOF, 1)).failed(id(PROOF, 2))
        scattered.plan(START_MILLIS + STEP_MILLIS)
            .map { it.command }
            .filterIsInstance<FleetCommand.RecordWave>()
            .shouldBeEmpty()
        val halt = canary.failed(id(PROOF, 1)).failed(id(PROOF, 4)).plan(START_MILLIS + STEP_MILLIS).first().command
        halt.shouldBeInstanceOf<FleetCommand.RecordWave>().wave.reason shouldContain "rack"
    }

    @Test
    fun `a paused wave returns its drained instances and reboots no more`() {
        val canary = fleet.executed(fleet.plan(START_MILLIS), START_MILLIS).completed(START_MILLIS + STEP_MILLIS)
        val out = canary.executed(canary.plan(START_MILLIS + STEP_MILLIS), START_MILLIS + STEP_MILLIS)
        val drained = out.instances.values.first { it.state == DRAINING }.id
        val paused = out.advanced(drained, DRAINED).applied(FleetCommand.PauseWave(waveId, null))
        paused.decide(FleetCommand.AdvanceInstance(drained, REBOOTING, paused.get(drained).revision))
            .shouldBeInstanceOf<CommandDecision.WrongState>()
        val returned = paused.executed(paused.plan(START_MILLIS + STEP_MILLIS), START_MILLIS + STEP_MILLIS)
        returned.instances.values.filter { it.reservation != null }.shouldBeEmpty()
    }

    @Test
    fun `a drain that does not end is given up and counts as a failure`() {
        val out = fleet.executed(fleet.plan(START_MILLIS), START_MILLIS)
        val canary = out.instances.values.single { it.reservation != null }.id
        val late = START_MILLIS + out.wave().rebootTimeoutMillis + 1
        val after = out.executed(out.plan(late), late)
        after.get(canary).state shouldBe SERVING
        after.wave().failed shouldContainExactly listOf(canary)
    }

    @Test
    fun `planReservationSteps returns the instances that an ended wave was draining`() {
        val out = fleet.executed(fleet.plan(START_MILLIS), START_MILLIS).applied(FleetCommand.AbortWave(waveId, null))
        val commands = planReservationSteps(out, START_MILLIS)
        commands.single().shouldBeInstanceOf<FleetCommand.ReturnInstance>()
        commands.forEach { decideCommand(out, it, START_MILLIS).shouldBeInstanceOf<CommandDecision.Accepted>() }
    }
}
