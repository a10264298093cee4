// Runs a maintenance wave in virtual time, with reboots that take their time and sometimes never return.

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
private const val LIMIT_MILLIS = 7 * DAY_MILLIS
private const val WAVE_START_MILLIS = 100 * DAY_MILLIS

/** Says which steps a wave takes next. */
internal typealias WavePlanner = (view: FleetView, wave: Wave, nowMillis: Long) -> List<FleetCommand>

/**
 * What became of a wave.
 *
 * @property rollOutMillis time until it was over
 * @property failed instances that its reboots lost
 */
internal data class WaveOutcome(val state: WaveState, val rollOutMillis: Long, val rebooted: Int, val failed: Int)

internal class WaveRun(
    site: Site,
    private val planner: WavePlanner,
    private val failurePart: Double,
    private val maxFailures: Int,
    seed: Long,
    private val audit: BudgetAudit,
) {
    private val random = RandomSource.XO_SHI_RO_256_PP.create(seed)
    private var view = site.view(WAVE_START_MILLIS - DAY_MILLIS)
    private val lossesPerTick = site.instances * LOSSES_PER_INSTANCE_AND_TICK
    private val endsAtMillis = HashMap<InstanceId, Long>()
    private val everFailed = HashSet<InstanceId>()
    private val id = WaveId("wave")

    fun run(): WaveOutcome {
        var now = WAVE_START_MILLIS
        val wave = Wave(id, view.pools.keys.sorted(), maxFailures = maxFailures)
        view = view.accept(FleetCommand.StartWave(wave), now)
        while (wave().state == WaveState.RUNNING && now < WAVE_START_MILLIS + LIMIT_MILLIS) {
            now += WAVE_TICK_MILLIS
            if (random.nextDouble() < lossesPerTick) {
                lose(view.instances.values.elementAt(random.nextInt(view.instances.size)), now)
            }
            view.instances.values.filter { it.state != InstanceState.SERVING }.forEach { progress(it, now) }
            (planReservationSteps(view, now) + planner(view, wave(), now)).forEach { submit(it, now) }
        }
        val rebooted = progressOf(view, wave()).done.size
        return WaveOutcome(wave().state, now - WAVE_START_MILLIS, rebooted, everFailed.size)
    }

    private fun wave(): Wave = view.waves.getValue(id)

    private fun submit(command: FleetCommand, now: Long) {
        val after = view.accept(command, now)
        audit.check(view, after, touchedBy(command))
        view = after
    }

    private fun lose(instance: Instance, now: Long) {
        submit(FleetCommand.AdvanceInstance(instance.id, InstanceState.LOST, instance.revision), now)
    }

    private fun progress(instance: Instance, now: Long) {
        if (instance.id in everFailed && instance.state == InstanceState.REBOOTING) return
        val since = instance.stateSinceMillis
        val ends = endsAtMillis.getOrPut(instance.id) { since + durationOf(instance.state) }
        if (now < ends) return
        endsAtMillis.remove(instance.id)
        val next = when (instance.state) {
            InstanceState.DRAINING -> InstanceState.DRAINED
            InstanceState.REBOOTING -> if (fails(instance)) return else InstanceState.WARMING
            InstanceState.WARMING -> InstanceState.SERVING
            InstanceState.LOST -> if (instance.id in everFailed) return else InstanceState.WARMING
            else -> return
        }
        submit(FleetCommand.AdvanceInstance(instance.id, next, instance.revision), now)
    }

    /** A reboot that fails leaves the instance silent; the planner has to notice. */
    private fun fails(instance: Instance): Boolean {
        val failed = random.nextDouble() < failurePart
        if (failed) everFailed += instance.id
        return failed
    }

    private fun durationOf(state: InstanceState): Long {
        val mean = when (state) {
            InstanceState.DRAINING -> DRAIN_MEAN_MILLIS
            InstanceState.REBOOTING -> REBOOT_MEAN_MILLIS
            InstanceState.WARMING -> WARM_MEAN_MILLIS
            else -> REPAIR_MILLIS
        }
        return (mean * (0.7 + 0.6 * random.nextDouble())).toLong()
    }
}

/** The instances that a command names. */
internal fun touchedBy(command: FleetCommand): List<InstanceId> = when (command) {
    is FleetCommand.AdvanceInstance -> listOf(command.id)
    is FleetCommand.RebootInstance -> listOf(command.id)
    is FleetCommand.ReturnInstance -> listOf(command.id)
    is FleetCommand.RemoveInstance -> listOf(command.id)
    is FleetCommand.AddInstance -> listOf(command.instance.id)
    else -> emptyList()
}

/** The real planner. */
internal val PLANNED_WAVE: WavePlanner = { view, wave, now -> planWave(view, wave, now).map { it.command } }

/** One instance at a time. */
internal val ONE_BY_ONE: WavePlanner = { view, wave, now ->
    planWave(view, wave.copy(maxParallel = 1), now).map { restored(it.command, wave) }
}

/** A baseline plans with other settings than the wave was started with, and must not record them. */
private fun restored(command: FleetCommand, wave: Wave): FleetCommand {
    if (command !is FleetCommand.RecordWave) return command
    val recorded = command.wave
    return command.copy(wave = wave.copy(state = recorded.state, reason = recorded.reason, failed = recorded.failed))
}

/**
 * An operator's rule: a tenth of each pool at once, but at least one instance, and the next tenth when all are back.
 * It has no canary and does not halt.
 */
internal val TENTHS: WavePlanner = { view, wave, now ->
    val progress = progressOf(view, wave)
    val carriedOn = planWave(view, wave.copy(maxFailures = Int.MAX_VALUE, canaries = 0, maxParallel = 1), now)
        .map { restored(it.command, wave) }
        .filter { it !is FleetCommand.RebootInstance && !(it is FleetCommand.RecordWave && isHalt(it)) }
    val batch = if (progress.inWork.isEmpty()) progress.candidates.groupBy { it.pool }.values else emptyList()
    val starts = batch.flatMap { members ->
        val size = view.membersOf(members.first().pool).size
        members.sortedBy { it.id }.take(maxOf(1, size / 10))
    }.map { FleetCommand.RebootInstance(it.id, wave.id, it.revision) }
    carriedOn + starts
}

private fun isHalt(command: FleetCommand.RecordWave): Boolean = command.wave.state == WaveState.HALTED
