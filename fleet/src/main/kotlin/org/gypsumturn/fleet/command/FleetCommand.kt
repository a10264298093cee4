// Commands of operators and control processes, and the decisions on them. A command is decided against one view, at one
// time, and results in the mutations of one change or in a typed refusal.

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

/** A requested change. `expected` is the revision that the caller has seen, or null to accept any revision. */
public sealed interface FleetCommand {
    /** Puts and removes several records in one change, which is checked as a whole. */
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

    public data class PutPool(public val pool: Pool, public val expected: ViewVersion?) : FleetCommand

    /** Removes a pool, which must have no members, inbound instances, services or unfinished waves. */
    public data class DeletePool(public val id: PoolId, public val expected: ViewVersion?) : FleetCommand

    public data class SetBudget(
        public val pool: PoolId,
        public val budget: AvailabilityBudget,
        public val expected: ViewVersion?,
    ) : FleetCommand

    public data class PutService(public val service: Service, public val expected: ViewVersion?) : FleetCommand

    public data class DeleteService(public val id: ServiceId, public val expected: ViewVersion?) : FleetCommand

    public data class PutTeam(public val team: Team, public val expected: ViewVersion?) : FleetCommand

    public data class DeleteTeam(public val id: TeamId, public val expected: ViewVersion?) : FleetCommand

    public data class AddInstance(public val instance: Instance) : FleetCommand

    /** Removes an instance that is lost, leaving or drained by an operator. */
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

    /** Returns a draining or drained instance to service. Releases the reservation, also that of a lost instance. */
    public data class ReturnInstance(public val id: InstanceId, public val expected: ViewVersion?) : FleetCommand

    /** Records the next [state] of an instance as seen by a control process. The last state of a move sets the pool. */
    public data class AdvanceInstance(
        public val id: InstanceId,
        public val state: InstanceState,
        public val expected: ViewVersion,
    ) : FleetCommand

    public data class StartWave(public val wave: Wave) : FleetCommand

    public data class PauseWave(public val id: WaveId, public val expected: ViewVersion?) : FleetCommand

    /** Resumes a paused or halted wave, which then tries its failed instances again. */
    public data class ResumeWave(public val id: WaveId, public val expected: ViewVersion?) : FleetCommand

    /** Ends a wave before all of its instances are rebooted. */
    public data class AbortWave(public val id: WaveId, public val expected: ViewVersion?) : FleetCommand

    /** Records the progress of a wave, as observed by a control process. */
    public data class RecordWave(public val wave: Wave, public val expected: ViewVersion) : FleetCommand

    /** Adds or replaces a node, a process of the system itself. */
    public data class JoinNode(public val node: Node) : FleetCommand

    /** Removes nodes that no longer run. Unknown ids are ignored. */
    public data class RemoveNodes(public val ids: List<NodeId>) : FleetCommand
}

/** A problem with one field of a command. */
public data class FieldProblem(public val field: String, public val problem: String)

/** The decision on a command. */
public sealed interface CommandDecision {
    /** The command is allowed and results in [mutations], an empty list if it changes nothing. */
    public data class Accepted(public val mutations: List<Mutation>, public val summary: String) : CommandDecision

    /** The command is malformed or would leave the fleet inconsistent. */
    public data class Invalid(public val problems: List<FieldProblem>) : CommandDecision

    /** The command names a record that does not exist. */
    public data class NotFound(public val what: String) : CommandDecision

    /** The record has changed since the revision that the command expects. */
    public data class Conflict(public val what: String, public val current: ViewVersion) : CommandDecision

    /** Taking the instance out of service would exceed an availability budget. */
    public data class BudgetExhausted(public val pool: PoolId, public val detail: String) : CommandDecision

    /** The record's state does not allow the command. */
    public data class WrongState(public val detail: String) : CommandDecision
}
