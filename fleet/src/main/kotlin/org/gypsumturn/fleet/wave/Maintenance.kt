// Automatic maintenance: starts a wave for a pool early enough that each of its instances is rebooted within the
// maintenance period. The id of a wave is derived from the view, so control processes that race start each wave once.

package org.gypsumturn.fleet.wave

import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.command.isAvailable
import org.gypsumturn.fleet.command.isUnfinished
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveId
import org.gypsumturn.model.WaveState

private const val HOUR_MILLIS = 3_600_000L
private const val DAY_MILLIS = 24 * HOUR_MILLIS

/**
 * Settings of automatic maintenance.
 *
 * @property leadMillis how long before the end of its period an instance may be rebooted
 * @property maxConcurrentWaves largest number of automatic waves that run at once
 * @property retryHaltedAfterMillis time from the start of an automatic wave after which, if halted, it is replaced
 * @property canaries see [Wave.canaries]
 * @property maxFailures see [Wave.maxFailures]
 * @property rebootTimeoutMillis see [Wave.rebootTimeoutMillis]
 */
public data class MaintenanceSettings(
    public val leadMillis: Long = 5 * DAY_MILLIS,
    public val maxConcurrentWaves: Int = 16,
    public val retryHaltedAfterMillis: Long = DAY_MILLIS,
    public val canaries: Int = 1,
    public val maxFailures: Int = 2,
    public val rebootTimeoutMillis: Long = 900_000,
)

private const val WAVE_PREFIX = "maintenance-"

/**
 * Returns the commands that keep every instance rebooted within [periodMillis] at [nowMillis]: a wave for each pool
 * most of whose instances are due now or soon, and a single reboot for an instance that missed the wave of its pool.
 */
public fun planMaintenance(
    view: FleetView,
    nowMillis: Long,
    periodMillis: Long,
    settings: MaintenanceSettings = MaintenanceSettings(),
): List<FleetCommand> {
    val dueBefore = nowMillis - periodMillis + settings.leadMillis
    val due = view.instances.values.filter { it.maintainedAtMillis <= dueBefore && it.isAvailable }
    val replacedWaves = haltedWavesToReplace(view, nowMillis, settings)
    val covered = view.waves.values.filter { it.isUnfinished && it.id !in replacedWaves }.flatMap { it.pools }.toSet()
    val sizes = view.instances.values.groupingBy { it.pool }.eachCount()
    val dueSoonCounts = view.instances.values
        .filter { it.maintainedAtMillis <= dueBefore + settings.leadMillis }
        .groupingBy { it.pool }
        .eachCount()
    val byPool = due.groupBy { it.pool }.filterKeys { it !in covered }
    val (poolsForWave, poolsWithStragglers) =
        byPool.entries.partition { (dueSoonCounts[it.key] ?: 0) * 2 > (sizes[it.key] ?: 0) }
    val freeWaveSlots = settings.maxConcurrentWaves - runningWaveCount(view)
    val waves = poolsForWave.sortedBy { entry -> entry.value.minOf { it.maintainedAtMillis } }
        .take(maxOf(0, freeWaveSlots))
        .map { FleetCommand.StartWave(maintenanceWave(view, it.key, it.value, settings)) }
    val reboots = poolsWithStragglers.mapNotNull { rebootStraggler(it.value, nowMillis) }
    return replacedWaves.map { FleetCommand.AbortWave(it, view.waves[it]?.revision) } + waves + reboots
}

private val Wave.isAutomatic: Boolean get() = id.value.startsWith(WAVE_PREFIX)

private fun runningWaveCount(view: FleetView): Int =
    view.waves.values.count { it.isAutomatic && it.state == WaveState.RUNNING }

/** Returns the halted automatic waves that a new wave replaces. The new wave starts with a canary again. */
private fun haltedWavesToReplace(view: FleetView, nowMillis: Long, settings: MaintenanceSettings): List<WaveId> =
    view.waves.values
        .filter { it.isAutomatic && it.state == WaveState.HALTED }
        .filter { nowMillis - it.startedAtMillis >= settings.retryHaltedAfterMillis }
        .map { it.id }

private fun maintenanceWave(view: FleetView, pool: PoolId, due: List<Instance>, settings: MaintenanceSettings): Wave {
    val oldestDay = due.minOf { it.maintainedAtMillis } / DAY_MILLIS
    val name = "$WAVE_PREFIX$pool-$oldestDay"
    val attempt = view.waves.keys.count { it.value.startsWith("$name-") }
    return Wave(
        WaveId("$name-$attempt"),
        listOf(pool),
        canaries = settings.canaries,
        maxFailures = settings.maxFailures,
        rebootTimeoutMillis = settings.rebootTimeoutMillis,
        reason = "automatic maintenance",
    )
}

/** Reboots one due instance of a pool at a time, and none within an hour of its last change of state. */
private fun rebootStraggler(due: List<Instance>, nowMillis: Long): FleetCommand? = due
    .filter { nowMillis - it.stateSinceMillis >= HOUR_MILLIS }
    .minByOrNull { it.maintainedAtMillis }
    ?.let { FleetCommand.RebootInstance(it.id, null, it.revision) }
