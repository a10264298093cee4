// Tests that instances leave service only within the budgets and that a moving instance is always in exactly one pool.

package org.gypsumturn.fleet.command

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.fleet.PRINT
import org.gypsumturn.fleet.PROOF
import org.gypsumturn.fleet.advanced
import org.gypsumturn.fleet.applied
import org.gypsumturn.fleet.decide
import org.gypsumturn.fleet.fleetOf
import org.gypsumturn.fleet.get
import org.gypsumturn.fleet.id
import org.gypsumturn.fleet.pool
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.InstanceState.DRAINED
import org.gypsumturn.model.InstanceState.LEAVING
import org.gypsumturn.model.InstanceState.LOST
import org.gypsumturn.model.InstanceState.REBOOTING
import org.gypsumturn.model.InstanceState.SERVING
import org.gypsumturn.model.InstanceState.WARMING
import org.gypsumturn.model.ReservationPurpose
import org.gypsumturn.model.ViewVersion

internal class InstanceDecisionsTest : AnnotationSpec() {
    private val first = id(PRINT, 0)
    private val second = id(PRINT, 1)
    private val fleet = fleetOf(listOf(pool(PRINT, 2), pool(PROOF, 2)), size = 6)

    private fun drain(number: Int) = FleetCommand.DrainInstance(id(PRINT, number), null)

    @Test
    fun `losses, departures, warm-ups and reservations count against the same budget`() {
        listOf<(FleetView) -> FleetView>(
            { it.advanced(second, LOST) },
            { it.advanced(second, LEAVING) },
            { it.advanced(second, LOST, WARMING) },
            { it.applied(drain(1)) },
            { it.applied(FleetCommand.MoveInstance(id(PROOF, 1), PRINT, null)) },
        ).forEach { absence ->
            val used = absence(fleet).applied(drain(0))
            used.decide(drain(2)).shouldBeInstanceOf<CommandDecision.BudgetExhausted>().pool shouldBe PRINT
        }
    }

    @Test
    fun `the budget of a data centre counts only planned absences`() {
        val bounded = fleetOf(listOf(pool(PRINT, maxUnavailable = 5, perDataCentre = 1)), size = 6)
        bounded.applied(drain(0)).decide(drain(3)).shouldBeInstanceOf<CommandDecision.BudgetExhausted>()
        bounded.applied(drain(0)).applied(drain(1)).get(second).state shouldBe InstanceState.DRAINING
        bounded.advanced(first, LOST).applied(drain(3)).get(id(PRINT, 3)).state shouldBe InstanceState.DRAINING
    }

    @Test
    fun `returning an instance frees its part of the budget`() {
        val used = fleet.applied(drain(0)).applied(drain(1))
        used.applied(FleetCommand.ReturnInstance(first, null)).applied(drain(2)).get(id(PRINT, 2)).reservation
            ?.purpose shouldBe ReservationPurpose.OPERATOR_DRAIN
    }

    @Test
    fun `an instance changes its pool only when its move ends`() {
        val drained = fleet.applied(FleetCommand.MoveInstance(first, PROOF, null)).advanced(first, DRAINED)
        drained.get(first).pool shouldBe PRINT
        val arrived = drained.advanced(first, WARMING)
        arrived.get(first).pool shouldBe PROOF
        usageOf(arrived, PRINT).unavailable shouldBe 0
        usageOf(arrived, PROOF).unavailable shouldBe 1
        arrived.advanced(first, SERVING).get(first).reservation shouldBe null
    }

    @Test
    fun `a move waits while losses keep the destination above its budget and can be returned`() {
        val drained = fleet.applied(FleetCommand.MoveInstance(first, PROOF, null)).advanced(first, DRAINED)
        val overBudget = drained.advanced(id(PROOF, 0), LOST).advanced(id(PROOF, 1), LOST)
        val arrive = FleetCommand.AdvanceInstance(first, WARMING, overBudget.get(first).revision)
        overBudget.decide(arrive).shouldBeInstanceOf<CommandDecision.BudgetExhausted>().pool shouldBe PROOF
        reservationsToRelease(overBudget, PROOF, 0) shouldContainExactly listOf(first)
        overBudget.applied(FleetCommand.ReturnInstance(first, null)).get(first).pool shouldBe PRINT
    }

    @Test
    fun `an instance that is lost during a move stays in its own pool`() {
        val lost = fleet.applied(FleetCommand.MoveInstance(first, PROOF, null)).advanced(first, LOST)
        lost.get(first).reservation shouldBe null
        lost.advanced(first, WARMING, SERVING).get(first).pool shouldBe PRINT
    }

    @Test
    fun `losses after reservations release the latest drain, but no running reboot and no drain by an operator`() {
        val reboot = { view: FleetView, number: Int, at: Long ->
            view.applied(FleetCommand.RebootInstance(id(PRINT, number), null, null), at)
        }
        val two = reboot(reboot(fleet, 0, 10), 1, 20)
        val overBudget = two.advanced(id(PRINT, 5), LOST, nowMillis = 30)
        reservationsToRelease(overBudget, PRINT, 30) shouldContainExactly listOf(second)
        val rebooting = two.advanced(first, DRAINED, REBOOTING).advanced(second, DRAINED, REBOOTING)
        reservationsToRelease(rebooting.advanced(id(PRINT, 5), LOST), PRINT, 30).shouldBeEmpty()
        val held = fleet.applied(drain(0)).applied(drain(1)).advanced(id(PRINT, 5), LOST)
        reservationsToRelease(held, PRINT, 30).shouldBeEmpty()
    }

    @Test
    fun `a reboot does not start while losses keep the pool above its budget`() {
        val drained = fleet.applied(FleetCommand.RebootInstance(first, null, null)).advanced(first, DRAINED)
        val overBudget = drained.advanced(second, LOST).advanced(id(PRINT, 2), LOST)
        val start = FleetCommand.AdvanceInstance(first, REBOOTING, overBudget.get(first).revision)
        overBudget.decide(start).shouldBeInstanceOf<CommandDecision.BudgetExhausted>()
    }

    @Test
    fun `a drain by an operator survives a loss of the instance`() {
        val lost = fleet.applied(drain(0)).advanced(first, DRAINED, LOST)
        lost.decide(FleetCommand.AdvanceInstance(first, WARMING, lost.get(first).revision))
            .shouldBeInstanceOf<CommandDecision.WrongState>()
        lost.advanced(first, DRAINED).get(first).reservation?.purpose shouldBe ReservationPurpose.OPERATOR_DRAIN
    }

    @Test
    fun `an instance without an operator's drain makes only the listed transitions`() {
        val allowed = mapOf(
            SERVING to setOf(LOST, LEAVING),
            WARMING to setOf(SERVING, LOST, LEAVING),
            LOST to setOf(WARMING),
            LEAVING to setOf(LOST),
            REBOOTING to setOf(WARMING, LOST, LEAVING),
        )
        val rebooting = fleet.applied(
            FleetCommand.RebootInstance(first, null, null),
        ).advanced(first, DRAINED, REBOOTING)
        val views = mapOf(
            SERVING to fleet,
            WARMING to fleet.advanced(first, LOST, WARMING),
            LOST to fleet.advanced(first, LOST),
            LEAVING to fleet.advanced(first, LEAVING),
            REBOOTING to rebooting,
        )
        views.forEach { (from, view) ->
            InstanceState.entries.filter { it != from }.forEach { to ->
                val decision = view.decide(FleetCommand.AdvanceInstance(first, to, view.get(first).revision))
                (from to to to (decision is CommandDecision.Accepted)) shouldBe
                    (from to to to (to in allowed.getValue(from)))
            }
        }
    }

    @Test
    fun `the second of two commands with the same expected revision is a conflict`() {
        val seen = fleet.get(first).revision
        val after = fleet.applied(FleetCommand.DrainInstance(first, seen))
        val second = FleetCommand.MoveInstance(first, PROOF, seen)
        after.decide(second) shouldBe CommandDecision.Conflict("instance $first", after.get(first).revision)
        fleet.decide(FleetCommand.DrainInstance(first, ViewVersion(99))).shouldBeInstanceOf<CommandDecision.Conflict>()
    }

    @Test
    fun `only a lost instance or one drained by an operator can be removed`() {
        val remove = FleetCommand.RemoveInstance(first, null)
        fleet.decide(remove).shouldBeInstanceOf<CommandDecision.WrongState>()
        val moving = fleet.applied(FleetCommand.MoveInstance(first, PROOF, null)).advanced(first, DRAINED)
        moving.decide(remove).shouldBeInstanceOf<CommandDecision.WrongState>()
        fleet.applied(drain(0)).advanced(first, DRAINED).applied(remove).instances[first] shouldBe null
        fleet.advanced(first, LOST).applied(remove).instances[first] shouldBe null
    }
}
