// Checks that the audit reports exactly the planned absences that exceed a budget, and counts moves and reboots.

package org.gypsumturn.bench.audit

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Change
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Reservation
import org.gypsumturn.model.ReservationPurpose
import org.gypsumturn.model.ViewVersion

class FleetAuditTest : AnnotationSpec() {
    private val pool = Pool(PoolId("plans"), PoolRole.SERVING, AvailabilityBudget(1))
    private val otherPool = Pool(PoolId("quotes"), PoolRole.SERVING, AvailabilityBudget(1))
    private val reboot = Reservation(ReservationPurpose.REBOOT)

    private fun member(number: Int, state: InstanceState, reservation: Reservation? = null, memberPool: Pool = pool) =
        Mutation.PutInstance(
            Instance(
                InstanceId("i$number"),
                memberPool.id,
                FailureDomain(RegionId("r"), DataCentreId("d"), RackId("k")),
                Address("127.0.0.1", 1),
                Capacity(1_000, 1_024),
                slots = 8,
                connections = 64,
                state = state,
                reservation = reservation,
            ),
        )

    private fun log(vararg steps: List<Mutation>): List<Change> {
        val start = listOf(Mutation.PutPool(pool), Mutation.PutPool(otherPool)) +
            (1..3).map { member(it, InstanceState.SERVING) }
        return (listOf(start) + steps).mapIndexed { index, mutations ->
            Change(ViewVersion(index + 1L), OperationId("op$index"), OperatorId("ana"), 0, "", mutations)
        }
    }

    @Test
    fun `only a planned absence that exceeds the budget is a breach`() {
        val first = listOf(member(1, InstanceState.DRAINING, reboot))
        auditChanges(log(first)).breaches.size shouldBe 0
        auditChanges(
            log(first, listOf(member(2, InstanceState.DRAINING, reboot))),
        ).breaches.single().unavailable shouldBe
            2
    }

    @Test
    fun `a planned absence after a loss is a breach, and the loss alone is not`() {
        val loss = listOf(member(1, InstanceState.LOST))
        auditChanges(log(loss, listOf(member(2, InstanceState.LOST)))).breaches.size shouldBe 0
        auditChanges(log(loss, listOf(member(2, InstanceState.DRAINING, reboot)))).breaches.size shouldBe 1
    }

    @Test
    fun `the audit counts moves between pools and reboots`() {
        val steps = arrayOf(
            listOf(member(1, InstanceState.DRAINED, reboot)),
            listOf(member(1, InstanceState.REBOOTING, reboot)),
            listOf(member(1, InstanceState.WARMING, memberPool = otherPool)),
        )
        val result = auditChanges(log(*steps))
        result.moves shouldBe 1
        result.reboots shouldBe 1
    }
}
