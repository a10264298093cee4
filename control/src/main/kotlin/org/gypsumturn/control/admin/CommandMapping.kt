// Maps requests of the administration API that change the fleet to fleet commands.

package org.gypsumturn.control.admin

import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.WaveId
import org.gypsumturn.schema.admin.ApplyConfigurationRequest
import org.gypsumturn.schema.admin.Mutating
import org.gypsumturn.schema.admin.SetBudgetRequest

/** The revision that the caller expects the object to have; null if the change is unconditional. */
internal fun Mutating.expected(): ViewVersion? = expectedRevision.takeIf { it > 0 }?.let(::ViewVersion)

internal fun SetBudgetRequest.toCommand(): FleetCommand = FleetCommand.SetBudget(
    PoolId(pool),
    AvailabilityBudget(maxUnavailable, maxUnavailablePerDataCentre.takeIf { it > 0 }),
    header.expected(),
)

internal fun ApplyConfigurationRequest.toCommand(): FleetCommand = FleetCommand.ApplyConfiguration(
    pools = poolsList.map { it.toModel() },
    services = servicesList.map { it.toModel() },
    teams = teamsList.map { it.toModel() },
    instances = instancesList.map { it.toModel() },
    removePools = removePoolsList.map(::PoolId),
    removeServices = removeServicesList.map(::ServiceId),
    removeTeams = removeTeamsList.map(::TeamId),
    expectedVersion = header.expected(),
)

internal fun instanceCommand(
    instance: String,
    header: Mutating,
    command: (InstanceId, ViewVersion?) -> FleetCommand,
): FleetCommand = command(InstanceId(instance), header.expected())

internal fun waveCommand(
    wave: String,
    header: Mutating,
    command: (WaveId, ViewVersion?) -> FleetCommand,
): FleetCommand = command(WaveId(wave), header.expected())
