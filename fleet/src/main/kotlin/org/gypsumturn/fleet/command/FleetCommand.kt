// What operators and the control processes ask of the fleet, and how a request is decided: against one view, at one
// time, into the mutations of one change or a typed refusal.

package org.gypsumturn.fleet.command

import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.Node
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Service
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.Team
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveId

/** A change that is asked for. `expected` is the revision that the asker saw, or null where it has no expectation. */
public sealed interface FleetCommand {
    /** Several records as one change, checked as a whole. */
    public data class ApplyConfiguration(
        public val pools: List<Pool> = emptyList(),
        public val services: List<Service> = emptyList(),
        public val teams: List<Team> = emptyList(),
        public val instances: List<Instance> = emptyList(),
        public val removePools: List<PoolId> = emptyList(),
        public val removeServices: List<ServiceId> = emptyList(),
        public val removeTeams: List<TeamId> = emptyList(),
        public val expectedVersion: ViewVersion? = null,
    ) : FleetCommand

    /** Adds or replaces a pool. */
    public data class PutPool(public val pool: Pool, public val expected: ViewVersion?) : FleetCommand

    /** Removes a pool without members and services. */
    public data class DeletePool(public val id: PoolId, public val expected: ViewVersion?) : FleetCommand

    /** Replaces a pool's budget. */
    public data class SetBudget(
        public val pool: PoolId,
        public val budget: AvailabilityBudget,
        public val expected: ViewVersion?,
    ) : FleetCommand

    /** Adds or replaces a service. */
    public data class PutService(public val service: Service, public val expected: ViewVersion?) : FleetCommand

    /** Removes a service. */
    public data class DeleteService(public val id: ServiceId, public val expected: ViewVersion?) : FleetCommand

    /** Adds or replaces a team. */
    public data class PutTeam(public val team: Team, public val expected: ViewVersion?) : FleetCommand

    /** Removes a team. */
    public data class DeleteTeam(public val id: TeamId, public val expected: ViewVersion?) : FleetCommand

    /** Adds an instance to a pool. */
    public data class AddInstance(public val instance: Instance) : FleetCommand

    /** Removes a drained, lost or leaving instance from the fleet. */
    public data class RemoveInstance(public val id: InstanceId, public val expected: ViewVersion?) : FleetCommand

    /** Takes an instance out of service within its pool's budget; it stays out until it is returned. */
    public data class DrainInstance(public val id: InstanceId, public val expected: ViewVersion?) : FleetCommand

    /** Drains an instance within its pool's budget in order to reboot it, for [wave] or for an operator. */
    public data class RebootInstance(
        public val id: InstanceId,
        public val wave: WaveId?,
        public val expected: ViewVersion?,
    ) : FleetCommand

    /** Drains an instance within its pool's budget in order to move it to [destination]. */
    public data class MoveInstance(
        public val id: InstanceId,
        public val destination: PoolId,
        public val expected: ViewVersion?,
    ) : FleetCommand

    /** Brings a draining or drained instance back into service and releases its reservation. */
    public data class ReturnInstance(public val id: InstanceId, public val expected: ViewVersion?) : FleetCommand

    /** Records the next [state] of an instance, as found by a control process. A move's last step changes the pool. */
    public data class AdvanceInstance(
        public val id: InstanceId,
        public val state: InstanceState,
        public val expected: ViewVersion,
    ) : FleetCommand

    /** Starts a wave. */
    public data class StartWave(public val wave: Wave) : FleetCommand

    /** Pauses a running wave. */
    public data class PauseWave(public val id: WaveId, public val expected: ViewVersion?) : FleetCommand

    /** Resumes a paused or halted wave. */
    public data class ResumeWave(public val id: WaveId, public val expected: ViewVersion?) : FleetCommand

    /** Ends a wave before all of its instances were rebooted. */
    public data class AbortWave(public val id: WaveId, public val expected: ViewVersion?) : FleetCommand

    /** Records a wave's progress, as its control process found it. */
    public data class RecordWave(public val wave: Wave, public val expected: ViewVersion) : FleetCommand

    /** Adds or replaces one of the system's nodes. */
    public data class JoinNode(public val node: Node) : FleetCommand

    /** Removes nodes that are gone. */
    public data class RemoveNodes(public val ids: List<NodeId>) : FleetCommand
}

/** A problem with one field of a command. */
public data class FieldProblem(public val field: String, public val problem: String)

/** How a command was decided. */
public sealed interface CommandDecision {
    /** The command is allowed and makes these mutations; none if it has no effect. */
    public data class Accepted(public val mutations: List<Mutation>, public val summary: String) : CommandDecision

    /** The command is malformed or would leave the fleet inconsistent. */
    public data class Invalid(public val problems: List<FieldProblem>) : CommandDecision

    /** The command names a record that does not exist. */
    public data class NotFound(public val what: String) : CommandDecision

    /** The record has changed since the revision that the command expects. */
    public data class Conflict(public val what: String, public val current: ViewVersion) : CommandDecision

    /** Taking the instance out would break an availability budget. */
    public data class BudgetExhausted(public val pool: PoolId, public val detail: String) : CommandDecision

    /** The record's state does not allow the command. */
    public data class WrongState(public val detail: String) : CommandDecision
}
