// Tests that a configuration is checked as a whole and does not change the state of an instance.

package org.gypsumturn.fleet.command

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.fleet.PRINT
import org.gypsumturn.fleet.PROOF
import org.gypsumturn.fleet.applied
import org.gypsumturn.fleet.decide
import org.gypsumturn.fleet.fleetOf
import org.gypsumturn.fleet.get
import org.gypsumturn.fleet.id
import org.gypsumturn.fleet.instance
import org.gypsumturn.fleet.pool
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Service
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.ViewVersion

internal class ConfigurationDecisionTest : AnnotationSpec() {
    private val fleet = fleetOf(listOf(pool(PRINT), pool(PROOF)), size = 3)

    @Test
    fun `every problem of a configuration is reported at once`() {
        val command = FleetCommand.ApplyConfiguration(
            pools = listOf(pool(PRINT, maxUnavailable = -1).copy(minInstances = 5, maxInstances = 4)),
            services = listOf(Service(ServiceId("quotes"), PoolId("nowhere"), timeoutMillis = 0)),
            instances = listOf(
                instance(PRINT, 9),
                instance(PRINT, 9).copy(pool = PROOF),
                instance(PRINT, 0).copy(pool = PROOF),
            ),
            removePools = listOf(PROOF),
        )
        val decision = fleet.decide(command).shouldBeInstanceOf<CommandDecision.Invalid>()
        decision.problems.map { it.field } shouldContainExactlyInAnyOrder listOf(
            "pools[print].minInstances",
            "pools[print].budget.maxUnavailable",
            "services[quotes].pool",
            "services[quotes].timeoutMillis",
            "instances[print-9].pool",
            "instances[print-9]",
            "instances[print-0].pool",
            "instances[print-0].pool",
            "removePools[proof]",
        )
    }

    @Test
    fun `a configuration that names a draining instance keeps its state and reservation`() {
        val draining = fleet.applied(FleetCommand.DrainInstance(id(PRINT, 0), null))
        val moved = instance(PRINT, 0).copy(slots = 16, state = InstanceState.SERVING)
        val after = draining.applied(FleetCommand.ApplyConfiguration(instances = listOf(moved)))
        after.get(id(PRINT, 0)).state shouldBe InstanceState.DRAINING
        after.get(id(PRINT, 0)).reservation shouldBe draining.get(id(PRINT, 0)).reservation
        after.get(id(PRINT, 0)).slots shouldBe 16
    }

    @Test
    fun `a configuration that is already in force changes nothing`() {
        val command = FleetCommand.ApplyConfiguration(
            pools = listOf(pool(PRINT)),
            instances = listOf(instance(PRINT, 0)),
        )
        fleet.decide(command).shouldBeInstanceOf<CommandDecision.Accepted>().mutations.shouldBeEmpty()
    }

    @Test
    fun `a command with an outdated expected revision is a conflict that names the current one`() {
        val command = FleetCommand.ApplyConfiguration(expectedVersion = ViewVersion(0))
        fleet.decide(command) shouldBe CommandDecision.Conflict("view", fleet.version)
        val put = FleetCommand.PutPool(pool(PRINT), ViewVersion.NONE)
        fleet.decide(put) shouldBe CommandDecision.Conflict("pool print", fleet.version)
    }

    @Test
    fun `a pool can be removed in one change with the service that uses it, but not before the service`() {
        val quotes = Service(ServiceId("quotes"), PoolId("empty"))
        val withService = fleet.applied(
            FleetCommand.ApplyConfiguration(pools = listOf(pool(PoolId("empty"))), services = listOf(quotes)),
        )
        withService.decide(
            FleetCommand.DeletePool(PoolId("empty"), null),
        ).shouldBeInstanceOf<CommandDecision.WrongState>()
        val both = FleetCommand.ApplyConfiguration(
            removePools = listOf(PoolId("empty")),
            removeServices = listOf(quotes.id),
        )
        val accepted = withService.decide(both).shouldBeInstanceOf<CommandDecision.Accepted>()
        accepted.mutations shouldBe listOf(Mutation.RemoveService(quotes.id), Mutation.RemovePool(PoolId("empty")))
    }

    @Test
    fun `a pool cannot be deleted while an instance moves into it`() {
        val empty = fleet.applied(FleetCommand.PutPool(pool(PoolId("empty")), ViewVersion.NONE))
        val moving = empty.applied(FleetCommand.MoveInstance(id(PRINT, 0), PoolId("empty"), null))
        moving.decide(FleetCommand.DeletePool(PoolId("empty"), null)).shouldBeInstanceOf<CommandDecision.WrongState>()
    }
}
