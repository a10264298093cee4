// Plans the next steps of a maintenance wave from the view alone, so any control process can carry on a wave whose
// earlier process died. Each step is a command that is decided again against the latest view before it takes effect.

package org.gypsumturn.fleet.wave

import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.command.canReturn
import org.gypsumturn.fleet.command.isUnfinished
import org.gypsumturn.fleet.command.reservationsToRelease
import org.gypsumturn.fleet.command.usageOf
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveState

/** Largest number of serving instances that [pool] needs at any moment from `fromMillis` to `untilMillis`. */
public typealias DemandForecast = (pool: PoolId, fromMillis: Long, untilMillis: Long) -> Int

/** A command that carries a wave on, and why. */
public data class WaveStep(public val command: FleetCommand, public val reason: String)

/**
 * Settings of the planner.
 *
 * @property forecastPatienceMillis age of a wave from which it no longer waits for demand to fall
 */
public data class WavePlanSettings(public val forecastPatienceMillis: Long = 2L * 24 * 3_600_000)

/** A forecast for pools without a known demand: the budget alone bounds the wave. */
public val NO_FORECAST: DemandForecast = { _, _, _ -> 0 }

/**
 * The next steps of [wave] at [nowMillis]; empty while it has to wait.
 *
 * The canaries are rebooted one by one before all others. Afterwards at most one more instance is out than has been
 * rebooted, within [Wave.maxParallel], the budgets and the [forecast], spread over racks and data centres.
 */
public fun planWave(
    view: FleetView,
    wave: Wave,
    nowMillis: Long,
    forecast: DemandForecast = NO_FORECAST,
    settings: WavePlanSettings = WavePlanSettings(),
): List<WaveStep> {
    val progress = progressOf(view, wave)
    val failures = overdueReboots(wave, progress, nowMillis).ifEmpty { stuckDrains(wave, progress, nowMillis) }
    val halt = haltReason(wave, progress)
    return when {
        wave.state != WaveState.RUNNING ->
            overdueReboots(wave, progress, nowMillis) + returnsOf(progress.inWork, "wave is ${wave.state}")

        failures.isNotEmpty() -> failures

        halt != null -> halt(wave, progress, halt)

        progress.isComplete -> listOf(finish(wave, progress))

        else -> {
            val room = WaveRoom(view, wave, progress, nowMillis, forecast, settings)
            rebootsOf(view, progress, nowMillis) + startsOf(wave, room.select())
        }
    }
}

/** The unfinished waves of [view], the earliest first. */
public fun unfinishedWaves(view: FleetView): List<Wave> =
    view.waves.values.filter { it.isUnfinished }.sortedWith(compareBy<Wave> { it.startedAtMillis }.thenBy { it.id })

/** A reboot or warm-up that takes too long counts as lost, which also records the failure in the wave. */
private fun overdueReboots(wave: Wave, progress: WaveProgress, nowMillis: Long): List<WaveStep> = progress.inWork
    .filter { it.state == InstanceState.REBOOTING || it.state == InstanceState.WARMING }
    .filter { nowMillis - it.stateSinceMillis > wave.rebootTimeoutMillis }
    .map {
        val lost = FleetCommand.AdvanceInstance(it.id, InstanceState.LOST, it.revision)
        WaveStep(lost, "${it.state} for more than ${wave.rebootTimeoutMillis} ms")
    }

/** A drain that does not end is given up, and counts as a failure so that the wave does not try it again at once. */
private fun stuckDrains(wave: Wave, progress: WaveProgress, nowMillis: Long): List<WaveStep> {
    val stuck = progress.inWork.filter { it.canReturn && nowMillis - it.stateSinceMillis > wave.rebootTimeoutMillis }
    if (stuck.isEmpty()) return emptyList()
    val reason = "${stuck.size} drains did not end"
    val failed = wave.copy(failed = (wave.failed + stuck.map { it.id }).distinct(), reason = reason)
    return listOf(WaveStep(FleetCommand.RecordWave(failed, wave.revision), reason)) + returnsOf(stuck, reason)
}

private fun returnsOf(instances: List<Instance>, reason: String): List<WaveStep> = instances
    .filter { it.canReturn }
    .map { WaveStep(FleetCommand.ReturnInstance(it.id, it.revision), reason) }

private fun halt(wave: Wave, progress: WaveProgress, reason: String): List<WaveStep> {
    val halted = wave.copy(state = WaveState.HALTED, reason = reason)
    return listOf(WaveStep(FleetCommand.RecordWave(halted, wave.revision), reason)) +
        returnsOf(progress.inWork, reason)
}

private fun finish(wave: Wave, progress: WaveProgress): WaveStep {
    val reason = "${progress.done.size} rebooted, ${progress.failed.size} failed, ${progress.skipped.size} skipped"
    return WaveStep(
        FleetCommand.RecordWave(wave.copy(state = WaveState.FINISHED, reason = reason), wave.revision),
        reason,
    )
}

/** Drained instances go on to reboot unless losses ask for them back. */
private fun rebootsOf(view: FleetView, progress: WaveProgress, nowMillis: Long): List<WaveStep> {
    val drained = progress.inWork.filter { it.state == InstanceState.DRAINED }
    val released = drained.map { it.pool }.distinct().flatMap { releasedIn(view, it, nowMillis) }.toSet()
    return drained.filter { it.id !in released }.map {
        WaveStep(FleetCommand.AdvanceInstance(it.id, InstanceState.REBOOTING, it.revision), "drained")
    }
}

private fun releasedIn(view: FleetView, pool: PoolId, nowMillis: Long): List<InstanceId> {
    val budget = view.pools[pool]?.budget ?: return emptyList()
    return reservationsToRelease(usageOf(view, pool), budget, nowMillis)
}

private fun startsOf(wave: Wave, selected: List<Instance>): List<WaveStep> = selected.map {
    WaveStep(FleetCommand.RebootInstance(it.id, wave.id, it.revision), "next in wave ${wave.id}")
}
