// The instances that the settings ask for: their names, where they stand, and what they hold.

package org.gypsumturn.standin

import org.gypsumturn.model.Address
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.ports.ListedInstance
import org.gypsumturn.ports.ListedState

/** A simulated instance before it has a port. */
internal data class PlannedInstance(val id: InstanceId, val domain: FailureDomain)

/**
 * The instances of [groups]: spread over [dataCentres] one by one, within each into racks of equal size. Racks of
 * different kinds of instances have different names through [kind].
 */
internal fun planInstances(
    groups: Groups,
    kind: String,
    region: RegionId,
    dataCentres: List<String>,
): List<PlannedInstance> {
    val names = groups.groups.flatMap { group -> (1..group.count).map { "${group.name}-$it" } }
    return names.mapIndexed { index, name ->
        val dataCentre = dataCentres[index % dataCentres.size]
        val rack = index / dataCentres.size / groups.instancesPerRack + 1
        val domain = FailureDomain(region, DataCentreId(dataCentre), RackId("$dataCentre-$kind-$rack"))
        PlannedInstance(InstanceId(name), domain)
    }
}

/** The list's entry for an executor at [address]. */
internal fun StandinOptions.listedExecutor(planned: PlannedInstance, address: Address): ListedInstance = ListedInstance(
    planned.id,
    planned.domain,
    address,
    executors.capacity,
    slots,
    connections,
    ListedState.LIVE,
    bootCount = 1,
)

/** The list's entry for a worker: it has no port of its own, and is reached through the platform. */
internal fun StandinOptions.listedWorker(planned: PlannedInstance): ListedInstance = ListedInstance(
    planned.id,
    planned.domain,
    Address(address.host, 0),
    workers.capacity,
    slots = 0,
    connections = 0,
    ListedState.LIVE,
    bootCount = 1,
)
