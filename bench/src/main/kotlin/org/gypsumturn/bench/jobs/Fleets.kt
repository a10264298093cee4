// The fleets that the job experiments use: the two current deployments and the target size.

package org.gypsumturn.bench.jobs

import kotlinx.collections.immutable.persistentMapOf
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.ViewVersion

/** The size of a fleet; [worker] is the capacity of each worker without accelerators. */
internal data class FleetSize(
    val name: String,
    val workers: Int,
    val pools: Int,
    val teams: Int,
    val dataCentres: Int,
    val worker: Capacity,
    val accelerators: Int = 0,
) {
    /** Capacity of a worker. The workers with the lowest numbers have four accelerators each. */
    fun capacityOf(number: Int): Capacity {
        val remaining = accelerators - number * ACCELERATORS_PER_WORKER
        return worker.copy(accelerators = remaining.coerceIn(0, ACCELERATORS_PER_WORKER))
    }

    /** A fleet of the same kind with [count] workers. */
    fun scaledTo(count: Int): FleetSize = copy(
        name = "$name, $count workers",
        workers = count,
        pools = (pools * count / workers).coerceAtLeast(1),
        accelerators = (accelerators.toLong() * count / workers).toInt(),
    )

    companion object {
        const val ACCELERATORS_PER_WORKER = 4
        const val WORKERS_PER_RACK = 4
        val LONE_STAR = FleetSize("Lone Star", 35, 1, 5, 3, Capacity(64_000, 131_072))
        val BRINDLEY = FleetSize("Brindley", 35, 1, 5, 3, Capacity(16_000, 32_768))
        val TARGET = FleetSize("target", 6_200, 217, 63, 14, Capacity(32_000, 65_536), 9_400)
    }
}

internal fun poolOf(number: Int): PoolId = PoolId("pool-$number")

internal fun workerOf(number: Int): InstanceId = InstanceId("worker-$number")

/** The view of a fleet of this size in which all workers are serving. */
internal fun viewOf(size: FleetSize): FleetView {
    val pools = (0 until size.pools).map { Pool(poolOf(it), PoolRole.WORKING, AvailabilityBudget(2)) }
    val instances = (0 until size.workers).map { instanceOf(size, it) }
    return FleetView(
        ViewVersion(1),
        pools = persistentMapOf<PoolId, Pool>().putAll(pools.associateBy { it.id }),
        instances = persistentMapOf<InstanceId, Instance>().putAll(instances.associateBy { it.id }),
    )
}

private fun instanceOf(size: FleetSize, number: Int): Instance {
    val rack = number / FleetSize.WORKERS_PER_RACK
    val dataCentre = rack % size.dataCentres
    val domain = FailureDomain(RegionId("region-0"), DataCentreId("dc-$dataCentre"), RackId("rack-$rack"))
    val pool = poolOf(number % size.pools)
    return Instance(workerOf(number), pool, domain, Address("127.0.0.1", 1), size.capacityOf(number), 8, 64)
}
