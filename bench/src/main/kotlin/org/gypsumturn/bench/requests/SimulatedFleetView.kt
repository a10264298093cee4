// Builds the executors of a simulation and the fleet view that its entries receive.

package org.gypsumturn.bench.requests

import kotlinx.collections.immutable.toPersistentMap
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Service
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.ViewVersion

private const val CONNECTIONS = 64
private const val MAX_QUEUED = 1_000
private val REGION = RegionId("r1")
private val ADDRESS = Address("127.0.0.1", 1)

internal fun serviceName(service: Int): String = "service-$service"

internal fun nodeName(index: Int): NodeId = NodeId("entry-$index")

/** Creates all executors of [scenario]. */
internal fun createExecutors(scenario: Scenario): List<Executor> =
    scenario.executorsPerService.flatMapIndexed { service, count ->
        (0 until count).map { Executor(InstanceId("executor-$service-$it"), service, it % scenario.dataCentres) }
    }

/** The view of a fleet of [executors]. Those in [outOfService] are leaving and take no new requests. */
internal fun viewOf(
    scenario: Scenario,
    executors: Collection<Executor>,
    outOfService: Set<InstanceId> = emptySet(),
    version: Long = 1,
): FleetView = FleetView(
    version = ViewVersion(version),
    pools = scenario.executorsPerService.indices.map { pool(it) }.associateBy { it.id }.toPersistentMap(),
    services = scenario.executorsPerService.indices.map { service(it) }.associateBy { it.id }.toPersistentMap(),
    instances = executors.map { instance(it, it.id in outOfService) }.associateBy { it.id }.toPersistentMap(),
    nodes = (0 until scenario.entries).map { node(it) }.associateBy { it.id }.toPersistentMap(),
)

private fun pool(service: Int) = Pool(PoolId(serviceName(service)), PoolRole.SERVING, AvailabilityBudget(1))

private fun service(service: Int) =
    Service(ServiceId(serviceName(service)), PoolId(serviceName(service)), maxQueued = MAX_QUEUED)

private fun instance(executor: Executor, isOut: Boolean) = Instance(
    id = executor.id,
    pool = PoolId(serviceName(executor.service)),
    domain = FailureDomain(REGION, DataCentreId("dc${executor.dataCentre}"), RackId("rack-${executor.id}")),
    address = ADDRESS,
    capacity = Capacity.ZERO,
    slots = SLOTS_PER_EXECUTOR,
    connections = CONNECTIONS,
    state = if (isOut) InstanceState.LEAVING else InstanceState.SERVING,
)

private fun node(index: Int) = Node(nodeName(index), NodeRole.ENTRY, REGION, DataCentreId("dc${index % 3}"), ADDRESS)
