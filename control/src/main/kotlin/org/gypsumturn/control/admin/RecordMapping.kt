// Maps between records of the model and messages of the administration API.

package org.gypsumturn.control.admin

import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.Change
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
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
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveId
import org.gypsumturn.schema.admin.Event
import org.gypsumturn.schema.admin.Capacity as CapacityMessage
import org.gypsumturn.schema.admin.FailureDomain as FailureDomainMessage
import org.gypsumturn.schema.admin.Instance as InstanceMessage
import org.gypsumturn.schema.admin.Pool as PoolMessage
import org.gypsumturn.schema.admin.Service as ServiceMessage
import org.gypsumturn.schema.admin.Team as TeamMessage
import org.gypsumturn.schema.admin.Wave as WaveMessage

/** Thrown for a malformed field of a request; the call then fails with [CallFailure.Malformed]. */
internal class MalformedFieldException(val field: String, problem: String) : IllegalArgumentException(problem)

internal inline fun <reified E : Enum<E>> parseEnum(field: String, text: String, default: E): E {
    if (text.isEmpty()) return default
    val values = enumValues<E>()
    return values.firstOrNull { it.name == text.uppercase() }
        ?: throw MalformedFieldException(field, "\"$text\" is not one of ${values.joinToString { it.name }}")
}

internal fun PoolMessage.toModel(): Pool = Pool(
    id = PoolId(id),
    role = parseEnum("role", role, PoolRole.SERVING),
    budget = AvailabilityBudget(maxUnavailable, maxUnavailablePerDataCentre.takeIf { it > 0 }),
    minInstances = minInstances,
    maxInstances = if (maxInstances == 0) Int.MAX_VALUE else maxInstances,
)

internal fun Pool.toMessage(view: FleetView): PoolMessage {
    val members = view.membersOf(id)
    val serving = members.count { it.state == InstanceState.SERVING }
    return PoolMessage
        .newBuilder()
        .setId(id.value)
        .setRole(role.name)
        .setMaxUnavailable(budget.maxUnavailable)
        .setMaxUnavailablePerDataCentre(budget.maxUnavailablePerDataCentre ?: 0)
        .setMinInstances(minInstances)
        .setMaxInstances(if (maxInstances == Int.MAX_VALUE) 0 else maxInstances)
        .setRevision(revision.value)
        .setMembers(members.size)
        .setServing(serving)
        .setUnavailable(members.size - serving)
        .build()
}

internal fun ServiceMessage.toModel(): Service {
    val defaults = Service(ServiceId(id), PoolId(pool))
    return defaults.copy(
        priority = parseEnum("priority", priority, defaults.priority),
        timeoutMillis = if (timeoutMillis == 0L) defaults.timeoutMillis else timeoutMillis,
        idempotent = idempotent,
        maxQueued = if (maxQueued == 0) defaults.maxQueued else maxQueued,
        maxAnswerBytes = if (maxAnswerBytes == 0) defaults.maxAnswerBytes else maxAnswerBytes,
    )
}

internal fun Service.toMessage(): ServiceMessage = ServiceMessage
    .newBuilder()
    .setId(id.value)
    .setPool(pool.value)
    .setPriority(priority.name)
    .setTimeoutMillis(timeoutMillis)
    .setIdempotent(idempotent)
    .setMaxQueued(maxQueued)
    .setMaxAnswerBytes(maxAnswerBytes)
    .setRevision(revision.value)
    .build()

internal fun TeamMessage.toModel(): Team = Team(
    id = TeamId(id),
    share = if (share == 0.0) 1.0 else share,
    jobQuota = if (hasJobQuota()) jobQuota.toModel() else null,
    maxRequestsInFlight = maxRequestsInFlight.takeIf { it > 0 },
)

internal fun Team.toMessage(): TeamMessage {
    val builder =
        TeamMessage
            .newBuilder()
            .setId(id.value)
            .setShare(share)
            .setMaxRequestsInFlight(maxRequestsInFlight ?: 0)
            .setRevision(revision.value)
    jobQuota?.let { builder.setJobQuota(it.toMessage()) }
    return builder.build()
}

internal fun CapacityMessage.toModel(): Capacity = Capacity(processorsMilli, memoryMib, accelerators)

internal fun Capacity.toMessage(): CapacityMessage = CapacityMessage
    .newBuilder()
    .setProcessorsMilli(processorsMilli)
    .setMemoryMib(memoryMib)
    .setAccelerators(accelerators)
    .build()

internal fun InstanceMessage.toModel(): Instance = Instance(
    id = InstanceId(id),
    pool = PoolId(pool),
    domain = FailureDomain(RegionId(domain.region), DataCentreId(domain.dataCentre), RackId(domain.rack)),
    address = Address(host, port),
    capacity = capacity.toModel(),
    slots = slots,
    connections = connections,
)

internal fun Instance.toMessage(): InstanceMessage = InstanceMessage
    .newBuilder()
    .setId(id.value)
    .setPool(pool.value)
    .setDomain(
        FailureDomainMessage
            .newBuilder()
            .setRegion(domain.region.value)
            .setDataCentre(domain.dataCentre.value)
            .setRack(domain.rack.value),
    ).setHost(address.host)
    .setPort(address.port)
    .setCapacity(capacity.toMessage())
    .setSlots(slots)
    .setConnections(connections)
    .setState(state.name)
    .setStateSinceMillis(stateSinceMillis)
    .setMaintainedAtMillis(maintainedAtMillis)
    .setReservation(
        reservation?.let {
            "${it.purpose}${it.wave?.let { wave -> " for $wave" }.orEmpty()}"
        }.orEmpty(),
    )
    .setRevision(revision.value)
    .build()

internal fun WaveMessage.toModel(): Wave {
    val defaults = Wave(WaveId(id), poolsList.map(::PoolId))
    return defaults.copy(
        canaries = canaries,
        maxParallel = if (maxParallel == 0) defaults.maxParallel else maxParallel,
        maxFailures = if (maxFailures == 0) defaults.maxFailures else maxFailures,
        rebootTimeoutMillis = if (rebootTimeoutMillis == 0L) defaults.rebootTimeoutMillis else rebootTimeoutMillis,
    )
}

internal fun Wave.toMessage(view: FleetView): WaveMessage = WaveMessage
    .newBuilder()
    .setId(id.value)
    .addAllPools(pools.map { it.value })
    .setCanaries(canaries)
    .setMaxParallel(if (maxParallel == Int.MAX_VALUE) 0 else maxParallel)
    .setMaxFailures(maxFailures)
    .setRebootTimeoutMillis(rebootTimeoutMillis)
    .setState(state.name)
    .setReason(reason)
    .setStartedAtMillis(startedAtMillis)
    .addAllDone(done.map { it.value })
    .addAllFailed(failed.map { it.value })
    .setTotal(view.instances.values.count { it.pool in pools })
    .setRevision(revision.value)
    .build()

internal fun Change.toEvent(): Event = Event
    .newBuilder()
    .setVersion(version.value)
    .setOperationId(operation.value)
    .setOperator(operator.value)
    .setAtMillis(atMillis)
    .setSummary(summary)
    .build()
