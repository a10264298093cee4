// Simulates a maintenance wave in virtual time. Reboots take a random time, and some instances never return.

package org.gypsumturn.bench.fleet

import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.wave.planReservationSteps
import org.gypsumturn.fleet.wave.planWave
import org.gypsumturn.fleet.wave.progressOf
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveId
import org.gypsumturn.model.WaveState

internal const val WAVE_TICK_MILLIS = 15 * SECOND_MILLIS
internal const val DRAIN_MEAN_MILLIS = 30 * SECOND_MILLIS
internal const val REBOOT_MEAN_MILLIS = 240 * SECOND_MILLIS
internal const val WARM_MEAN_MILLIS = 60 * SECOND_MILLIS
private const val REPAIR_MILLIS = HOUR_MILLIS
private const val LOSSES_PER_INSTANCE_AND_TICK = 92.0 / 6_200 / (DAY_MILLIS / WAVE_TICK_MILLIS)
private const val MAX_WAVE_MILLIS = 7 * DAY_MILLIS
private const val WAVE_START_MILLIS = 100 * DAY_MILLIS

/** Returns the commands that a wave needs next. */
internal typealias WavePlanner = (view: FleetView, wave: Wave, nowMillis: Long) -> List<FleetCommand>

/**
 * The result of a simulated wave.
 *
 * @property rollOutMillis time until the wave ended or the simulation gave up
 * @property rebooted number of instances that the wave has finished
 * @property failed number of instances that did not return from a reboot
 */
internal data class WaveOutcome(val state: WaveState, val rollOutMillis: Long, val rebooted: Int, val failed: Int)

internal class WaveSimulation(
    site: Site,
    private val planner: WavePlanner,
    private val rebootFailureShare: Double,
    private val maxFailures: Int,
    seed: Long,
    private val audit: BudgetAudit,
) {
    private val random = RandomSource.XO_SHI_RO_256_PP.create(seed)
    private var view = site.initialView(WAVE_START_MILLIS - DAY_MILLIS)
    private val lossesPerTick = site.instanceCount * LOSSES_PER_INSTANCE_AND_TICK
    private val stateEndsAtMillis = HashMap<InstanceId, Long>()
    private val failedToReboot = HashSet<InstanceId>()
    private val waveId = WaveId("wave")

    fun run(): WaveOutcome {
        var now = WAVE_START_MILLIS
        val wave = Wave(waveId, view.pools.keys.sorted(), maxFailures = maxFailures)
        view = view.afterCommand(FleetCommand.StartWave(wave), now)
        while (currentWave().state == WaveState.RUNNING && now < WAVE_START_MILLIS + MAX_WAVE_MILLIS) {
            now += WAVE_TICK_MILLIS
            if (random.nextDouble() < lossesPerTick) {
                loseInstance(view.instances.values.elementAt(random.nextInt(view.instances.size)), now)
            }
            view.instances.values.filter { it.state != InstanceState.SERVING }.forEach { advanceInstance(it, now) }
            (planReservationSteps(view, now) + planner(view, currentWave(), now)).forEach { submit(it, now) }
        }
        val rebooted = progressOf(view, currentWave()).done.size
        return WaveOutcome(currentWave().state, now - WAVE_START_MILLIS, rebooted, failedToReboot.size)
    }

    private fun currentWave(): Wave = view.waves.getValue(waveId)

    private fun submit(command: FleetCommand, now: Long) {
        val after = view.afterCommand(command, now)
        audit.checkChange(view, after, instancesOf(command))
        view = after
    }

    private fun loseInstance(instance: Instance, now: Long) {
        submit(FleetCommand.AdvanceInstance(instance.id, InstanceState.LOST, instance.revision), now)
    }

    private fun advanceInstance(instance: Instance, now: Long) {
        if (instance.id in failedToReboot && instance.state == InstanceState.REBOOTING) return
        val since = instance.stateSinceMillis
        val endMillis = stateEndsAtMillis.getOrPut(instance.id) { since + randomDurationOf(instance.state) }
        if (now < endMillis) return
        stateEndsAtMillis.remove(instance.id)
        val next = when (instance.state) {
            InstanceState.DRAINING -> InstanceState.DRAINED
            InstanceState.REBOOTING -> if (rebootFails(instance)) return else InstanceState.WARMING
            InstanceState.WARMING -> InstanceState.SERVING
            InstanceState.LOST -> if (instance.id in failedToReboot) return else InstanceState.WARMING
            else -> return
        }
        submit(FleetCommand.AdvanceInstance(instance.id, next, instance.revision), now)
    }

    /** An instance whose reboot fails stays in its state without any report, so the planner has to detect it. */
    private fun rebootFails(instance: Instance): Boolean {
        val failed = random.nextDouble() < rebootFailureShare
        if (failed) failedToReboot += instance.id
        return failed
    }

    private fun randomDurationOf(state: InstanceState): Long {
        val mean = when (state) {
            InstanceState.DRAINING -> DRAIN_MEAN_MILLIS
            InstanceState.REBOOTING -> REBOOT_MEAN_MILLIS
            InstanceState.WARMING -> WARM_MEAN_MILLIS
            else -> REPAIR_MILLIS
        }
        return (mean * (0.7 + 0.6 * random.nextDouble())).toLong()
    }
}

/** The ids of the instances that [command] changes directly; empty for other kinds of commands. */
internal fun instancesOf(command: FleetCommand): List<InstanceId> = when (command) {
    is FleetCommand.AdvanceInstance -> listOf(command.id)
    is FleetCommand.RebootInstance -> listOf(command.id)
    is FleetCommand.ReturnInstance -> listOf(command.id)
    is FleetCommand.RemoveInstance -> listOf(command.id)
    is FleetCommand.AddInstance -> listOf(command.instance.id)
    else -> emptyList()
}

/** The planner that control processes use. */
internal val PRODUCTION_PLANNER: WavePlanner = { view, wave, now -> planWave(view, wave, now).map { it.command } }

/** A baseline that reboots one instance at a time. */
internal val ONE_BY_ONE_PLANNER: WavePlanner = { view, wave, now ->
    planWave(view, wave.copy(maxParallel = 1), now).map { withOriginalSettings(it.command, wave) }
}

/** Baselines plan with changed settings of the wave; this keeps the changed settings out of the recorded wave. */
private fun withOriginalSettings(command: FleetCommand, wave: Wave): FleetCommand {
    if (command !is FleetCommand.RecordWave) return command
    val recorded = command.wave
    return command.copy(wave = wave.copy(state = recorded.state, reason = recorded.reason, failed = recorded.failed))
}

/**
 * A baseline that follows an operator's rule: reboot a tenth of each pool at once, but at least one instance, and start
 * the next tenth when all of them have returned. It has no canary and does not halt.
 */
internal val TENTHS_PLANNER: WavePlanner = { view, wave, now ->
    val progress = progressOf(view, wave)
    val otherCommands = planWave(view, wave.copy(maxFailures = Int.MAX_VALUE, canaries = 0, maxParallel = 1), now)
        .map { withOriginalSettings(it.command, wave) }
        .filter { it !is FleetCommand.RebootInstance && !(it is FleetCommand.RecordWave && recordsHalt(it)) }
    val nextByPool = if (progress.inWork.isEmpty()) progress.candidates.groupBy { it.pool }.values else emptyList()
    val starts = nextByPool.flatMap { members ->
        val size = view.membersOf(members.first().pool).size
        members.sortedBy { it.id }.take(maxOf(1, size / 10))
    }.map { FleetCommand.RebootInstance(it.id, wave.id, it.revision) }
    otherCommands + starts
}

private fun recordsHalt(command: FleetCommand.RecordWave): Boolean = command.wave.state == WaveState.HALTED
