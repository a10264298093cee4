// Creates the simulated instances from the settings: names, data centres and racks, and entries in the instance list.

package org.gypsumturn.standin

import org.gypsumturn.model.Address
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.ports.ListedInstance
import org.gypsumturn.ports.ListedState

/** Name and failure domain of a simulated instance. Its port is known only after it has started. */
internal data class PlannedInstance(val id: InstanceId, val domain: FailureDomain)

/**
 * Plans the instances of [groups]. Successive instances go to successive [dataCentres], and each data centre fills one
 * rack after another. The names of the racks contain [kind], so executors and workers never share a rack.
 */
internal fun planInstances(
    groups: InstanceGroups,
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

/** Entry in the instance list for an executor that listens on [address]. */
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

/** Entry in the instance list for a worker. Its port is 0, because workers are called through the platform. */
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
