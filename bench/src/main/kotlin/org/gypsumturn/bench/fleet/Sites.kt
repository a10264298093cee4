// Defines the fleets that the experiments run on: the present fleets of both users, and a fleet of the target's size.

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
internal const val SLOTS_PER_INSTANCE = 8

/**
 * The shape of a fleet: its pools, its failure domains and the weights of its costs.
 *
 * @property groupSize number of consecutive pools that form a group; the last pool of each group is the spare pool
 * @property rackSize number of instances in a rack
 */
internal data class Site(
    val name: String,
    val poolSizes: List<Int>,
    val groupSize: Int,
    val dataCentres: Int,
    val rackSize: Int,
    val weights: CapacityWeights,
) {
    val instanceCount: Int get() = poolSizes.sum()
}

private const val PROCESSORS_MILLI = 16_000L
private const val MEMORY_MIB = 32_768L
private const val LATE_HOUR_COST = 50.0

internal val LONE_STAR = Site("lone-star", listOf(7, 6, 8, 7, 7), 5, 3, 4, CapacityWeights(4.0, 0.25, LATE_HOUR_COST))
internal val BRINDLEY = Site("brindley", listOf(7, 6, 8, 7, 7), 5, 3, 4, CapacityWeights(0.5, 2.0, LATE_HOUR_COST))

/** A fleet of the target's kind: [instances] instances in [pools] pools over 14 data centres. */
internal fun targetSite(instances: Int = 6_200, pools: Int = 217): Site = Site(
    "target-$instances",
    List(pools) { instances / pools + if (it < instances % pools) 1 else 0 },
    groupSize = 5,
    dataCentres = 14,
    rackSize = 10,
    weights = CapacityWeights(1.0, 1.0, LATE_HOUR_COST),
)

internal fun poolId(index: Int): PoolId = PoolId("pool-$index")

/** The view of this site with all its instances in service and last maintained at [nowMillis]. */
internal fun Site.initialView(nowMillis: Long, maxUnavailableOf: (Int) -> Int = { maxOf(2, it / 10) }): FleetView {
    val pools = poolSizes.mapIndexed { index, size ->
        val role = if (index % groupSize == groupSize - 1) PoolRole.SPARE else PoolRole.SERVING
        Pool(poolId(index), role, AvailabilityBudget(maxUnavailableOf(size)), minInstances = 1)
    }
    var nextNumber = 0
    val instances = poolSizes.flatMapIndexed { index, size ->
        List(size) { createInstance(nextNumber++, poolId(index)) }
    }
    return FleetView().afterCommand(FleetCommand.ApplyConfiguration(pools = pools, instances = instances), nowMillis)
}

/** Creates instance [number] in [pool]. Instances with consecutive numbers are in different data centres. */
internal fun Site.createInstance(number: Int, pool: PoolId): Instance {
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
        Capacity(PROCESSORS_MILLI, MEMORY_MIB),
        SLOTS_PER_INSTANCE,
        connections = 64,
    )
}

/** The view after [command] if it is accepted, otherwise this view. */
internal fun FleetView.afterCommand(command: FleetCommand, nowMillis: Long): FleetView {
    val decision = decideCommand(this, command, nowMillis) as? CommandDecision.Accepted ?: return this
    return afterDecision(decision, nowMillis)
}

internal fun FleetView.afterDecision(decision: CommandDecision.Accepted, nowMillis: Long): FleetView {
    if (decision.mutations.isEmpty()) return this
    val next = version.next()
    return apply(
        Change(next, OperationId("op-$next"), BENCH_OPERATOR, nowMillis, decision.summary, decision.mutations),
    )
}

private val BENCH_OPERATOR = OperatorId("bench")
