// Advances the state of the fleet: completes drains, requests reboots, ends warm-ups, marks lost instances, runs
// maintenance waves and capacity moves, and removes dead nodes from the view. One control process at a time does so.
// Two that overlap do no harm, since each command is conditional on the state that it was planned for.

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

/**
 * Times of the fleet reconciler, in milliseconds.
 *
 * @property lapseMillis time without a heartbeat after which a node no longer counts as live
 * @property warmMillis time for which a returned instance warms up
 * @property lostMillis time missing from the platform's list after which an instance counts as lost
 * @property maintenancePeriodMillis period within which each instance is rebooted once; 0 plans no maintenance
 * @property platformTimeoutMillis deadline of a call to the platform
 */
internal data class FleetReconcilerSettings(
    val lapseMillis: Long,
    val warmMillis: Long,
    val lostMillis: Long,
    val maintenancePeriodMillis: Long,
    val platformTimeoutMillis: Long,
)

/** The current time: [monotonicMillis] for intervals within this process, [wallMillis] for times that are stored. */
internal data class CurrentTime(val monotonicMillis: Long, val wallMillis: Long)

/**
 * Advances the state of the fleet in rounds, while [self] is the owner of [OWNERSHIP_KEY] among the live control
 * processes. Not thread-safe.
 */
internal class FleetReconciler(
    private val self: NodeId,
    private val view: () -> FleetView,
    private val commandRunner: FleetCommandRunner,
    private val heartbeatStore: NodeHeartbeatStore,
    private val heartbeatReader: HeartbeatReader,
    private val instanceList: InstanceList,
    private val rebooter: Rebooter,
    private val capacityPlanner: CapacityPlanner,
    private val settings: FleetReconcilerSettings,
) {
    private val observations: HeartbeatObservations
        get() = heartbeatReader.observations()
    private var listing: InstanceListing? = null
    private var missingInstances = MissingInstances()
    private var nextListingAtMillis = 0L

    /** Runs one round. Blocks while the table and the platform are called. */
    fun step(now: CurrentTime) {
        val live = observations.liveControls(now.monotonicMillis, view(), settings.lapseMillis)
        if (ownerOf(OWNERSHIP_KEY, live) != self) {
            missingInstances = MissingInstances()
            capacityPlanner.reset()
            return
        }
        readListing(now)
        // A command that cannot run means that the table does not answer, so the others would not run either.
        planCommands(now).take(MAX_COMMANDS_PER_STEP).all { runCommand(now, it) }
    }

    private fun readListing(now: CurrentTime) {
        if (now.monotonicMillis < nextListingAtMillis) return
        nextListingAtMillis = now.monotonicMillis + LISTING_INTERVAL_MILLIS
        val read = instanceList.list(settings.platformTimeoutMillis).valueOrNull()
        listing = read
        missingInstances =
            if (read == null) MissingInstances() else missingInstances.afterListing(now.monotonicMillis, view(), read)
    }

    private fun planCommands(now: CurrentTime): List<FleetCommand> {
        val current = view()
        val wallMillis = now.wallMillis
        val quarantinedIds = quarantinedWorkers(now, current)
        val listingCommands =
            listing?.let {
                decideListingCommands(
                    now.monotonicMillis,
                    current,
                    it,
                    missingInstances,
                    quarantinedIds,
                    settings.lostMillis,
                )
            }
        val waveCommands = unfinishedWaves(current).flatMap { planWave(current, it, wallMillis) }.map { it.command }
        val periodMillis = settings.maintenancePeriodMillis
        val maintenance = if (periodMillis > 0) planMaintenance(current, wallMillis, periodMillis) else emptyList()
        return listingCommands.orEmpty() + current.instances.values.mapNotNull { advanceInstance(now, current, it) } +
            planReservationSteps(current, wallMillis) + waveCommands + maintenance +
            capacityPlanner.planMoves(now, current, observations) + removeLapsedNodes(now, current)
    }

    // Only the heartbeats of live nodes count, so a quarantine ends when the process that decided on it dies.
    private fun quarantinedWorkers(now: CurrentTime, current: FleetView): Set<InstanceId> {
        val live = observations.liveNodes(now.monotonicMillis, current, settings.lapseMillis)
        return live.flatMap { observations.byNode[it]?.heartbeat?.quarantined.orEmpty() }.toSet()
    }

    private fun advanceInstance(now: CurrentTime, current: FleetView, instance: Instance): FleetCommand? {
        val next =
            when (instance.state) {
                InstanceState.DRAINING -> InstanceState.DRAINED.takeIf { isDrained(now, current, instance) }
                InstanceState.REBOOTING -> InstanceState.WARMING.takeIf { ensureRebooted(now, instance) }
                InstanceState.WARMING -> InstanceState.SERVING.takeIf { isWarm(now, instance) }
                else -> null
            }
        return next?.let { FleetCommand.AdvanceInstance(instance.id, it, instance.revision) }
    }

    private fun isDrained(now: CurrentTime, current: FleetView, instance: Instance): Boolean {
        val longestRequestMillis =
            current.services.values
                .filter { it.pool == instance.pool }
                .maxOfOrNull { it.timeoutMillis } ?: 0
        val drainLapseMillis = settings.lapseMillis + longestRequestMillis
        val progress =
            decideDrainProgress(
                now.monotonicMillis,
                current,
                observations,
                instance.id,
                instance.revision,
                drainLapseMillis,
            )
        if (progress != DrainProgress.Complete) LOG.debug("drain of instance {} incomplete: {}", instance.id, progress)
        return progress == DrainProgress.Complete
    }

    private fun ensureRebooted(now: CurrentTime, instance: Instance): Boolean =
        listing?.let { rebooter.ensureRebooted(now.monotonicMillis, instance, it) } ?: false

    private fun isWarm(now: CurrentTime, instance: Instance): Boolean =
        now.wallMillis - instance.stateSinceMillis >= settings.warmMillis

    // Removes one node at a time, and only while a majority of nodes is live. Nodes that are cut off together stay
    // members, so that they can tell that they are a minority.
    private fun removeLapsedNodes(now: CurrentTime, current: FleetView): List<FleetCommand> {
        val live = observations.liveNodes(now.monotonicMillis, current, settings.lapseMillis * LAPSES_UNTIL_REMOVED)
        val lapsed = current.nodes.keys.filter { it !in live && it in observations.byNode }
        val heartbeats = observations.byNode.values.map { it.heartbeat }
        val mayRemove = live.size * 2 > current.nodes.size && mayChangeMembership(current, heartbeats)
        if (!mayRemove) return emptyList()
        return lapsed.sorted().take(1).map { FleetCommand.RemoveNodes(listOf(it)) }
    }

    private fun runCommand(now: CurrentTime, command: FleetCommand): Boolean {
        val header = ChangeHeader(OperationId("upkeep-${UUID.randomUUID()}"), OperatorId(self.value), now.wallMillis)
        val result = commandRunner.run(header, command)
        if (result is Verdict.Ran) handleOutcome(command, result.value)
        if (result !is Verdict.Ran) LOG.warn("fleet command {} was not carried out: {}", command, result)
        return result is Verdict.Ran
    }

    private fun handleOutcome(command: FleetCommand, outcome: ChangeOutcome<CommandDecision>) {
        when (outcome) {
            is ChangeOutcome.Refused -> LOG.info("fleet command {} was refused: {}", command, outcome.refusal)
            is ChangeOutcome.Made -> if (command is FleetCommand.RemoveNodes) heartbeatStore.remove(command.ids)
        }
    }

    private companion object {
        /** Key that assigns the fleet to one of the live control processes. */
        const val OWNERSHIP_KEY = "fleet-upkeep"
        const val LISTING_INTERVAL_MILLIS = 500L
        const val MAX_COMMANDS_PER_STEP = 32
        const val LAPSES_UNTIL_REMOVED = 2
        val LOG = LoggerFactory.getLogger(FleetReconciler::class.java)
    }
}
