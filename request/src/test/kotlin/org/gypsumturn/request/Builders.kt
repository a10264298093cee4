// Builders for test data of the dispatcher tests.

package org.gypsumturn.request

import kotlinx.collections.immutable.toPersistentMap
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.Priority
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Service
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.Team
import org.gypsumturn.model.TeamId

internal val POOL = PoolId("quotes")
internal val SERVICE = ServiceId("quotes")
internal val SELF = NodeId("e0")

internal fun instance(
    name: String,
    slots: Int = 8,
    state: InstanceState = InstanceState.SERVING,
    dataCentre: String = "dc1",
): Instance = Instance(
    id = InstanceId(name),
    pool = POOL,
    domain = FailureDomain(RegionId("r"), DataCentreId(dataCentre), RackId("k")),
    address = Address("127.0.0.1", 1),
    capacity = Capacity.ZERO,
    slots = slots,
    connections = 64,
    state = state,
)

internal fun viewOf(
    vararg instances: Instance,
    teams: List<Team> = emptyList(),
    nodes: List<String> = listOf(SELF.value),
    service: Service = Service(SERVICE, POOL),
): FleetView = FleetView(
    pools = mapOf(POOL to Pool(POOL, PoolRole.SERVING, AvailabilityBudget(1))).toPersistentMap(),
    services = mapOf(SERVICE to service).toPersistentMap(),
    teams = teams.associateBy { it.id }.toPersistentMap(),
    instances = instances.associateBy { it.id }.toPersistentMap(),
    nodes = nodes.map { entryNode(it) }.associateBy { it.id }.toPersistentMap(),
)

private fun entryNode(name: String) =
    Node(NodeId(name), NodeRole.ENTRY, RegionId("r"), DataCentreId("dc1"), Address("127.0.0.1", 1))

internal fun arrived(
    id: Long,
    priority: Priority = Priority.NORMAL,
    team: String? = null,
    key: String? = null,
    idempotent: Boolean = key == null,
    deadlineMillis: Long = 10_000,
): RequestEvent.Arrived = RequestEvent.Arrived(
    ArrivedRequest(
        id = RequestId(id),
        service = SERVICE,
        team = team?.let { TeamId(it) },
        priority = priority,
        key = key?.let { IdempotencyKey(it) },
        idempotent = idempotent,
        deadlineMillis = deadlineMillis,
        sizeBytes = 100,
    ),
)

internal fun dispatcher(view: FleetView, settings: DispatchSettings = DispatchSettings()): RequestDispatcher {
    val dispatcher = RequestDispatcher(settings, SELF, seed = 1)
    dispatcher.handle(0, RequestEvent.ViewChanged(view))
    return dispatcher
}

internal fun List<RequestEffect>.sends(): List<RequestEffect.Send> = filterIsInstance<RequestEffect.Send>()

internal fun List<RequestEffect>.replies(): List<RequestEffect.Reply> = filterIsInstance<RequestEffect.Reply>()
