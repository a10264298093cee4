// Carries the fleet on: drains that are complete, reboots, warm-ups, losses, waves, moves, and nodes that are gone. One
// control process does so at a time; two that overlap are harmless, since each command is conditional on what it saw.

package org.gypsumturn.control.fleet

import org.gypsumturn.fleet.command.CommandDecision
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.wave.planMaintenance
import org.gypsumturn.fleet.wave.planReservationSteps
import org.gypsumturn.fleet.wave.planWave
import org.gypsumturn.fleet.wave.unfinishedWaves
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ownerOf
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.peer.ChangeHeader
import org.gypsumturn.peer.ChangeOutcome
import org.gypsumturn.ports.InstanceList
import org.gypsumturn.ports.InstanceListing
import org.gypsumturn.view.DrainProgress
import org.gypsumturn.view.HeartbeatObservations
import org.gypsumturn.view.NodeHeartbeatStore
import org.gypsumturn.view.decideDrainProgress
import org.gypsumturn.view.mayChangeMembership
import org.slf4j.LoggerFactory
import java.util.UUID

/** Times of fleet upkeep, in milliseconds. */
internal data class UpkeepSettings(
    val lapseMillis: Long,
    val warmMillis: Long,
    val lostMillis: Long,
    val maintenancePeriodMillis: Long,
    val platformTimeoutMillis: Long,
)

/** The present time: [monotonicMillis] for intervals within this process, [wallMillis] for what is recorded. */
internal data class Now(val monotonicMillis: Long, val wallMillis: Long)

/** Carries the fleet on, one [step] at a time, from one thread. */
internal class FleetUpkeep(
    private val self: NodeId,
    private val view: () -> FleetView,
    private val commands: FleetCommands,
    private val beats: NodeHeartbeatStore,
    private val watch: BeatWatch,
    private val platform: InstanceList,
    private val rebooter: Rebooter,
    private val capacity: CapacityPlan,
    private val settings: UpkeepSettings,
) {
    private val observations: HeartbeatObservations
        get() = watch.observations()
    private var listing: InstanceListing? = null
    private var missing = MissingSince()
    private var nextListingAtMillis = 0L

    /** Does one round. */
    fun step(now: Now) {
        val live = observations.liveControls(now.monotonicMillis, view(), settings.lapseMillis)
        if (ownerOf(DUTY, live) != self) {
            missing = MissingSince()
            capacity.reset()
            return
        }
        readListing(now)
        // Where one command cannot be carried out for want of the table, the others cannot either.
        commandsFor(now).take(MAX_COMMANDS_PER_STEP).all { run(now, it) }
    }

    private fun readListing(now: Now) {
        if (now.monotonicMillis < nextListingAtMillis) return
        nextListingAtMillis = now.monotonicMillis + READ_PAUSE_MILLIS
        val read = platform.list(settings.platformTimeoutMillis).valueOrNull()
        listing = read
        missing = if (read == null) MissingSince() else missing.updated(now.monotonicMillis, view(), read)
    }

    private fun commandsFor(now: Now): List<FleetCommand> {
        val current = view()
        val wall = now.wallMillis
        val failing = quarantined(now, current)
        val listed =
            listing?.let { decideListed(now.monotonicMillis, current, it, missing, failing, settings.lostMillis) }
        val waves = unfinishedWaves(current).flatMap { planWave(current, it, wall) }.map { it.command }
        val period = settings.maintenancePeriodMillis
        val maintenance = if (period > 0) planMaintenance(current, wall, period) else emptyList()
        return listed.orEmpty() + current.instances.values.mapNotNull { advance(now, current, it) } +
            planReservationSteps(current, wall) + waves + maintenance +
            capacity.moves(now, current, observations) + removeLapsed(now, current)
    }

    // Only live owners' words count: a quarantine ends with the process that decided it.
    private fun quarantined(now: Now, current: FleetView): Set<InstanceId> {
        val live = observations.liveNodes(now.monotonicMillis, current, settings.lapseMillis)
        return live.flatMap { observations.byNode[it]?.heartbeat?.quarantined.orEmpty() }.toSet()
    }

    private fun advance(now: Now, current: FleetView, instance: Instance): FleetCommand? {
        val next =
            when (instance.state) {
                InstanceState.DRAINING -> InstanceState.DRAINED.takeIf { isDrained(now, current, instance) }
                InstanceState.REBOOTING -> InstanceState.WARMING.takeIf { isRebooted(now, instance) }
                InstanceState.WARMING -> InstanceState.SERVING.takeIf { isWarm(now, instance) }
                else -> null
            }
        return next?.let { FleetCommand.AdvanceInstance(instance.id, it, instance.revision) }
    }

    private fun isDrained(now: Now, current: FleetView, instance: Instance): Boolean {
        val longestRequestMillis =
            current.services.values
                .filter { it.pool == instance.pool }
                .maxOfOrNull { it.timeoutMillis } ?: 0
        val lapse = settings.lapseMillis + longestRequestMillis
        val progress =
            decideDrainProgress(now.monotonicMillis, current, observations, instance.id, instance.revision, lapse)
        if (progress != DrainProgress.Complete) LOG.debug("drain of {}: {}", instance.id, progress)
        return progress == DrainProgress.Complete
    }

    private fun isRebooted(now: Now, instance: Instance): Boolean =
        listing?.let { rebooter.isBack(now.monotonicMillis, instance, it) } ?: false

    private fun isWarm(now: Now, instance: Instance): Boolean =
        now.wallMillis - instance.stateSinceMillis >= settings.warmMillis

    // One node at a time, and only with a majority: nodes that are cut off together stay members, so that they know
    // themselves to be a minority.
    private fun removeLapsed(now: Now, current: FleetView): List<FleetCommand> {
        val live = observations.liveNodes(now.monotonicMillis, current, settings.lapseMillis * LAPSES_UNTIL_REMOVED)
        val lapsed = current.nodes.keys.filter { it !in live && it in observations.byNode }
        val told = observations.byNode.values.map { it.heartbeat }
        val mayRemove = live.size * 2 > current.nodes.size && mayChangeMembership(current, told)
        if (!mayRemove) return emptyList()
        return lapsed.sorted().take(1).map { FleetCommand.RemoveNodes(listOf(it)) }
    }

    private fun run(now: Now, command: FleetCommand): Boolean {
        val header = ChangeHeader(OperationId("upkeep-${UUID.randomUUID()}"), OperatorId(self.value), now.wallMillis)
        val result = commands.run(header, command)
        if (result is Verdict.Ran) ended(command, result.value)
        if (result !is Verdict.Ran) LOG.warn("command {} was not carried out: {}", command, result)
        return result is Verdict.Ran
    }

    private fun ended(command: FleetCommand, outcome: ChangeOutcome<CommandDecision>) {
        when (outcome) {
            is ChangeOutcome.Refused -> LOG.info("command {} was refused: {}", command, outcome.refusal)
            is ChangeOutcome.Made -> if (command is FleetCommand.RemoveNodes) beats.remove(command.ids)
        }
    }

    private companion object {
        const val DUTY = "fleet-upkeep"
        const val READ_PAUSE_MILLIS = 500L
        const val MAX_COMMANDS_PER_STEP = 32
        const val LAPSES_UNTIL_REMOVED = 2
        val LOG = LoggerFactory.getLogger(FleetUpkeep::class.java)
    }
}
