// Tests of decideMoves: moves follow lasting demand and not noise, stay within the budgets, and leave out pools in the
// middle of a roll-out.

package org.gypsumturn.fleet.capacity

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.gypsumturn.fleet.PRINT
import org.gypsumturn.fleet.PROOF
import org.gypsumturn.fleet.advanced
import org.gypsumturn.fleet.applied
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.fleetOf
import org.gypsumturn.fleet.get
import org.gypsumturn.fleet.id
import org.gypsumturn.fleet.pool
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceState.DRAINED
import org.gypsumturn.model.InstanceState.REBOOTING
import org.gypsumturn.model.InstanceState.SERVING
import org.gypsumturn.model.InstanceState.WARMING
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveId
import kotlin.math.sin

private const val SLOTS = 8
private const val STEP_MILLIS = 10_000L
private const val HOUR_MILLIS = 3_600_000L

internal class DecideMovesTest : AnnotationSpec() {
    private val spare = PoolId("spare")
    private val pools = listOf(pool(PRINT, 2), pool(PROOF, 2), spare(minInstances = 2))
    private val fleet = fleetOf(pools, size = 6)
    private val expensiveIdling = CapacitySettings(CapacityWeights(4.0, 0.25, 50.0))
    private val expensiveMoves = CapacitySettings(CapacityWeights(0.5, 2.0, 50.0))

    private fun spare(minInstances: Int): Pool = pool(spare, 4).copy(role = PoolRole.SPARE, minInstances = minInstances)

    /**
     * Reports [loads], in instances, every ten seconds for [steps] steps. Each move completes at once. Returns the view
     * at the end and the number of moves.
     */
    private fun drive(
        settings: CapacitySettings,
        steps: Int,
        view: FleetView = fleet,
        rollingOut: Set<PoolId> = emptySet(),
        loads: (step: Int) -> Map<PoolId, Double>,
    ): Pair<FleetView, Int> {
        var current = view
        var state = CapacityState()
        var moves = 0
        for (step in 0 until steps) {
            val demand = loads(step).map { (pool, load) -> PoolDemand(pool, load * SLOTS, 0) }
            val now = step * STEP_MILLIS
            val decision = decideMoves(now, current, demand, state, settings, rollingOut = rollingOut)
            state = decision.state
            moves += decision.moves.size
            current = decision.moves.fold(current) { before, move ->
                before.applied(move, now).advanced(move.id, DRAINED, WARMING, SERVING, nowMillis = now)
            }
        }
        return current to moves
    }

    private fun FleetView.size(pool: PoolId): Int = membersOf(pool).size

    @Test
    fun `a pool that is short borrows from the spare pool and no pool falls below its minimum`() {
        val (after, _) = drive(expensiveIdling, steps = 60) { mapOf(PRINT to 14.0, PROOF to 5.5, spare to 0.0) }
        after.size(spare) shouldBe 2
        after.size(PRINT) shouldBe 10
        after.size(PROOF) shouldBe 6
    }

    @Test
    fun `a load that oscillates around the size of a pool causes no moves`() {
        listOf(expensiveIdling, expensiveMoves).forEach { settings ->
            val (_, moves) = drive(settings, steps = 720) { step ->
                mapOf(PRINT to 5.3 + 0.4 * sin(step.toDouble()), PROOF to 5.0, spare to 0.0)
            }
            moves shouldBe 0
        }
    }

    @Test
    fun `instances return after a peak if idling is expensive and stay if moves are expensive`() {
        val peak = { step: Int -> mapOf(PRINT to if (step < 90) 9.0 else 1.0, PROOF to 1.0, spare to 0.0) }
        val (withExpensiveIdling, _) = drive(expensiveIdling, steps = 270, loads = peak)
        val (withExpensiveMoves, _) = drive(expensiveMoves, steps = 270, loads = peak)
        (withExpensiveIdling.size(PRINT) < 6) shouldBe true
        (withExpensiveMoves.size(PRINT) >= 10) shouldBe true
    }

    @Test
    fun `a spare pool that has lent an instance does not replace it from another pool`() {
        val (after, moves) = drive(expensiveIdling, steps = 3) { mapOf(PRINT to 6.6, PROOF to 1.0, spare to 0.0) }
        moves shouldBe 2
        after.size(PROOF) shouldBe 6
    }

    @Test
    fun `a surplus instance of one pool moves straight to a pool that is short`() {
        val held = fleetOf(listOf(pool(PRINT, 2), pool(PROOF, 2), spare(minInstances = 6)), size = 6)
        val (after, _) = drive(expensiveIdling, steps = 60, view = held) {
            mapOf(PRINT to 9.0, PROOF to 1.0, spare to 0.0)
        }
        after.size(spare) shouldBe 6
        (after.size(PRINT) > 6) shouldBe true
    }

    @Test
    fun `the moves of one decision stay within the budget and come from different data centres`() {
        val demand = listOf(PoolDemand(PRINT, 14.0 * SLOTS, 0), PoolDemand(spare, 0.0, 0))
        val first = decideMoves(0, fleet, demand, CapacityState(), expensiveIdling)
        val second = decideMoves(STEP_MILLIS, fleet, demand, first.state, expensiveIdling)
        second.moves shouldHaveSize 2
        second.moves.map { fleet.get(it.id).domain.dataCentre }.distinct() shouldHaveSize 2
    }

    @Test
    fun `a pool in the middle of a wave or a roll-out receives nothing until its shortage has cost enough`() {
        val short = { _: Int -> mapOf(PRINT to 6.6, PROOF to 1.0, spare to 0.0) }
        val wave = Wave(WaveId("kernel"), listOf(PRINT))
        val halfway = fleet.applied(FleetCommand.StartWave(wave), 1)
            .applied(FleetCommand.RebootInstance(id(PRINT, 0), wave.id, null), 2)
            .advanced(id(PRINT, 0), DRAINED, REBOOTING, WARMING, SERVING, nowMillis = 3)
        drive(expensiveIdling, steps = 3, loads = short).second shouldBe 2
        drive(expensiveIdling, steps = 3, view = halfway, loads = short).second shouldBe 0
        drive(expensiveIdling, steps = 3, rollingOut = setOf(PRINT), loads = short).second shouldBe 0
        (drive(expensiveIdling, steps = 30, rollingOut = setOf(PRINT), loads = short).second > 0) shouldBe true
    }

    @Test
    fun `a process that takes over moves no instance away before it has seen it idle`() {
        val demand = listOf(PoolDemand(PRINT, 0.0, 0), PoolDemand(spare, 0.0, 0))
        decideMoves(HOUR_MILLIS, fleet, demand, CapacityState(), expensiveIdling).moves.shouldBeEmpty()
    }

    @Test
    fun `the learned hold time is the one that would have cost least over the recorded idle times`() {
        val returnCost = 2.0
        val short = RankState(pastIdleHours = List(8) { 0.3 })
        val long = RankState(pastIdleHours = List(8) { 5.0 })
        val hold = learnedHoldHours(short, returnCost, expensiveIdling)
        (hold >= 0.3) shouldBe true
        learnedHoldHours(long, returnCost, expensiveIdling) shouldBe expensiveIdling.minHoldMillis / MILLIS_PER_HOUR
    }

    @Test
    fun `a pool whose work may wait needs as many instances as clear the backlog in time`() {
        val patient = PoolLoad(PRINT, true, 6, 0, offeredLoad = 10.0, backlogHours = 2.7, patienceMillis = HOUR_MILLIS)
        val state = PoolCapacityState(PRINT).observe(patient, null, expensiveIdling)
        state.neededInstances shouldBe 4
    }
}
