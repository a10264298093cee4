// The fleets that the experiments run on: both users' sizes of today and the target's.

package org.gypsumturn.bench.fleet

import org.gypsumturn.fleet.capacity.CapacityWeights
import org.gypsumturn.fleet.command.CommandDecision
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.command.decideCommand
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Change
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId

internal const val SECOND_MILLIS = 1_000L
internal const val MINUTE_MILLIS = 60 * SECOND_MILLIS
internal const val HOUR_MILLIS = 60 * MINUTE_MILLIS
internal const val DAY_MILLIS = 24 * HOUR_MILLIS
internal const val SLOTS = 8

/** A fleet's shape: sizes of its pools, the last of each [groupSize] being a spare pool, and its failure domains. */
internal data class Site(
    val name: String,
    val poolSizes: List<Int>,
    val groupSize: Int,
    val dataCentres: Int,
    val rackSize: Int,
    val weights: CapacityWeights,
) {
    val instances: Int get() = poolSizes.sum()
}

private const val CAPACITY_MILLI = 16_000L
private const val MEMORY_MIB = 32_768L
private const val LATE_COST = 50.0

internal val LONE_STAR = Site("lone-star", listOf(7, 6, 8, 7, 7), 5, 3, 4, CapacityWeights(4.0, 0.25, LATE_COST))
internal val BRINDLEY = Site("brindley", listOf(7, 6, 8, 7, 7), 5, 3, 4, CapacityWeights(0.5, 2.0, LATE_COST))

/** The target's fleet: [instances] instances in [pools] pools over 14 data centres. */
internal fun targetSite(instances: Int = 6_200, pools: Int = 217): Site = Site(
    "target-$instances",
    List(pools) { instances / pools + if (it < instances % pools) 1 else 0 },
    groupSize = 5,
    dataCentres = 14,
    rackSize = 10,
    weights = CapacityWeights(1.0, 1.0, LATE_COST),
)

internal fun poolId(index: Int): PoolId = PoolId("pool-$index")

/** The site as a view, all instances in service and maintained at [nowMillis]. */
internal fun Site.view(nowMillis: Long, budgetOf: (Int) -> Int = { maxOf(2, it / 10) }): FleetView {
    val pools = poolSizes.mapIndexed { index, size ->
        val role = if (index % groupSize == groupSize - 1) PoolRole.SPARE else PoolRole.SERVING
        Pool(poolId(index), role, AvailabilityBudget(budgetOf(size)), minInstances = 1)
    }
    var next = 0
    val instances = poolSizes.flatMapIndexed { index, size -> List(size) { instanceOf(next++, poolId(index)) } }
    return FleetView().accept(FleetCommand.ApplyConfiguration(pools = pools, instances = instances), nowMillis)
}

/** Instance [number] stands in a rack of its data centre; neighbours by number stand in different data centres. */
internal fun Site.instanceOf(number: Int, pool: PoolId): Instance {
    val dataCentre = number % dataCentres
    val rack = number / dataCentres / rackSize
    return Instance(
        InstanceId("i-$number"),
        pool,
        FailureDomain(
            RegionId("region-${dataCentre % 6}"),
            DataCentreId("dc-$dataCentre"),
            RackId("dc-$dataCentre-rack-$rack"),
        ),
        Address("10.${number / 62_500}.${number / 250 % 250}.${number % 250 + 1}", 8080),
        Capacity(CAPACITY_MILLI, MEMORY_MIB),
        SLOTS,
        connections = 64,
    )
}

/** The view after [command] if it is accepted, else this view. */
internal fun FleetView.accept(command: FleetCommand, nowMillis: Long): FleetView {
    val decision = decideCommand(this, command, nowMillis) as? CommandDecision.Accepted ?: return this
    return changed(decision, nowMillis)
}

internal fun FleetView.changed(decision: CommandDecision.Accepted, nowMillis: Long): FleetView {
    if (decision.mutations.isEmpty()) return this
    val next = version.next()
    return apply(
        Change(next, OperationId("op-$next"), BENCH, nowMillis, decision.summary, decision.mutations),
    )
}

private val BENCH = OperatorId("bench")
