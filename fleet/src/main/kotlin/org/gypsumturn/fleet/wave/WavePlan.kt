// Plans the next steps of a maintenance wave. The plan depends only on the view, so any control process can continue a
// wave after another one died. Each step is a command that is decided against the latest view before it takes effect.

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

/** Largest number of serving instances that `pool` needs at any time from `fromMillis` to `untilMillis`. */
public typealias DemandForecast = (pool: PoolId, fromMillis: Long, untilMillis: Long) -> Int

/** A command that advances a wave, and the reason for it. */
public data class WaveStep(public val command: FleetCommand, public val reason: String)

/**
 * Settings of [planWave].
 *
 * @property maxForecastWaitMillis time from the start of a wave after which it ignores the forecast and no longer waits
 *   for demand to fall
 */
public data class WavePlanSettings(public val maxForecastWaitMillis: Long = 2L * 24 * 3_600_000)

/** A forecast of no demand, with which only the budgets limit a wave. */
public val NO_FORECAST: DemandForecast = { _, _, _ -> 0 }

/**
 * Returns the next steps of [wave] at [nowMillis], an empty list while it has to wait.
 *
 * The canaries are rebooted first and one at a time. After them, the number of instances out of service at once is at
 * most one more than the number rebooted so far, within [Wave.maxParallel], the budgets and the [forecast]. They are
 * spread over racks and data centres.
 */
public fun planWave(
    view: FleetView,
    wave: Wave,
    nowMillis: Long,
    forecast: DemandForecast = NO_FORECAST,
    settings: WavePlanSettings = WavePlanSettings(),
): List<WaveStep> {
    val progress = progressOf(view, wave)
    val failures = overdueRebootSteps(wave, progress, nowMillis).ifEmpty { stuckDrainSteps(wave, progress, nowMillis) }
    val haltReason = haltReason(wave, progress)
    return when {
        wave.state != WaveState.RUNNING ->
            overdueRebootSteps(wave, progress, nowMillis) + returnSteps(progress.inWork, "wave is ${wave.state}")

        failures.isNotEmpty() -> failures

        haltReason != null -> haltSteps(wave, progress, haltReason)

        progress.isComplete -> listOf(finishStep(wave, progress))

        else -> {
            val selector = WaveInstanceSelector(view, wave, progress, nowMillis, forecast, settings)
            rebootSteps(view, progress, nowMillis) + drainSteps(wave, selector.select())
        }
    }
}

/** Returns the unfinished waves of [view], the earliest first. */
public fun unfinishedWaves(view: FleetView): List<Wave> =
    view.waves.values.filter { it.isUnfinished }.sortedWith(compareBy<Wave> { it.startedAtMillis }.thenBy { it.id })

/** Marks instances as lost whose reboot or warm-up takes too long. That also records the failure in the wave. */
private fun overdueRebootSteps(wave: Wave, progress: WaveProgress, nowMillis: Long): List<WaveStep> = progress.inWork
    .filter { it.state == InstanceState.REBOOTING || it.state == InstanceState.WARMING }
    .filter { nowMillis - it.stateSinceMillis > wave.rebootTimeoutMillis }
    .map {
        val lost = FleetCommand.AdvanceInstance(it.id, InstanceState.LOST, it.revision)
        WaveStep(lost, "${it.state} for more than ${wave.rebootTimeoutMillis} ms")
    }

/** Gives up drains that do not end. They count as failures, so that the wave does not start them again at once. */
private fun stuckDrainSteps(wave: Wave, progress: WaveProgress, nowMillis: Long): List<WaveStep> {
    val stuck = progress.inWork.filter { it.canReturn && nowMillis - it.stateSinceMillis > wave.rebootTimeoutMillis }
    if (stuck.isEmpty()) return emptyList()
    val reason = "${stuck.size} drains did not end"
    val failed = wave.copy(failed = (wave.failed + stuck.map { it.id }).distinct(), reason = reason)
    return listOf(WaveStep(FleetCommand.RecordWave(failed, wave.revision), reason)) + returnSteps(stuck, reason)
}

private fun returnSteps(instances: List<Instance>, reason: String): List<WaveStep> = instances
    .filter { it.canReturn }
    .map { WaveStep(FleetCommand.ReturnInstance(it.id, it.revision), reason) }

private fun haltSteps(wave: Wave, progress: WaveProgress, reason: String): List<WaveStep> {
    val halted = wave.copy(state = WaveState.HALTED, reason = reason)
    return listOf(WaveStep(FleetCommand.RecordWave(halted, wave.revision), reason)) +
        returnSteps(progress.inWork, reason)
}

private fun finishStep(wave: Wave, progress: WaveProgress): WaveStep {
    val reason = "${progress.done.size} rebooted, ${progress.failed.size} failed, ${progress.skipped.size} skipped"
    return WaveStep(
        FleetCommand.RecordWave(wave.copy(state = WaveState.FINISHED, reason = reason), wave.revision),
        reason,
    )
}

/** Reboots drained instances, except those whose reservations must be released because of losses. */
private fun rebootSteps(view: FleetView, progress: WaveProgress, nowMillis: Long): List<WaveStep> {
    val drained = progress.inWork.filter { it.state == InstanceState.DRAINED }
    val toRelease = drained.map { it.pool }.distinct().flatMap { reservationsToReleaseIn(view, it, nowMillis) }.toSet()
    return drained.filter { it.id !in toRelease }.map {
        WaveStep(FleetCommand.AdvanceInstance(it.id, InstanceState.REBOOTING, it.revision), "drained")
    }
}

private fun reservationsToReleaseIn(view: FleetView, pool: PoolId, nowMillis: Long): List<InstanceId> {
    val budget = view.pools[pool]?.budget ?: return emptyList()
    return reservationsToRelease(usageOf(view, pool), budget, nowMillis)
}

private fun drainSteps(wave: Wave, selected: List<Instance>): List<WaveStep> = selected.map {
    WaveStep(FleetCommand.RebootInstance(it.id, wave.id, it.revision), "next in wave ${wave.id}")
}
