// Automatic maintenance: starts a wave for a pool in time for each of its instances to be rebooted within the period.
// The names of the waves follow from the view, so control processes that race start a wave once.

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
 * @property leadMillis time before an instance is due at which its maintenance may start
 * @property maxConcurrentWaves largest number of automatic waves in work at once
 * @property retryHaltedAfterMillis age of a halted automatic wave at which it is replaced by a new one
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
 * The commands that keep every instance maintained within [periodMillis] at [nowMillis]: a wave for a pool most of
 * whose instances are due now or soon, and a single reboot for a straggler that was away when its pool's wave ran.
 */
public fun dueForMaintenance(
    view: FleetView,
    nowMillis: Long,
    periodMillis: Long,
    settings: MaintenanceSettings = MaintenanceSettings(),
): List<FleetCommand> {
    val dueBefore = nowMillis - periodMillis + settings.leadMillis
    val due = view.instances.values.filter { it.maintainedAtMillis <= dueBefore && it.isAvailable }
    val retries = retriedWaves(view, nowMillis, settings)
    val covered = view.waves.values.filter { it.isUnfinished && it.id !in retries }.flatMap { it.pools }.toSet()
    val sizes = view.instances.values.groupingBy { it.pool }.eachCount()
    val near = view.instances.values
        .filter { it.maintainedAtMillis <= dueBefore + settings.leadMillis }
        .groupingBy { it.pool }
        .eachCount()
    val byPool = due.groupBy { it.pool }.filterKeys { it !in covered }
    val (whole, stragglers) = byPool.entries.partition { (near[it.key] ?: 0) * 2 > (sizes[it.key] ?: 0) }
    val free = settings.maxConcurrentWaves - runningWaves(view)
    val waves = whole.sortedBy { entry -> entry.value.minOf { it.maintainedAtMillis } }
        .take(maxOf(0, free))
        .map { FleetCommand.StartWave(waveOf(view, it.key, it.value, settings)) }
    val reboots = stragglers.mapNotNull { straggler(it.value, nowMillis) }
    return retries.map { FleetCommand.AbortWave(it, view.waves[it]?.revision) } + waves + reboots
}

private val Wave.isAutomatic: Boolean get() = id.value.startsWith(WAVE_PREFIX)

private fun runningWaves(view: FleetView): Int =
    view.waves.values.count { it.isAutomatic && it.state == WaveState.RUNNING }

/** A halted automatic wave makes way for a new one, which begins with a canary again. */
private fun retriedWaves(view: FleetView, nowMillis: Long, settings: MaintenanceSettings): List<WaveId> =
    view.waves.values
        .filter { it.isAutomatic && it.state == WaveState.HALTED }
        .filter { nowMillis - it.startedAtMillis >= settings.retryHaltedAfterMillis }
        .map { it.id }

private fun waveOf(view: FleetView, pool: PoolId, due: List<Instance>, settings: MaintenanceSettings): Wave {
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

/** One straggler of a pool at a time, and not within an hour of its return. */
private fun straggler(due: List<Instance>, nowMillis: Long): FleetCommand? = due
    .filter { nowMillis - it.stateSinceMillis >= HOUR_MILLIS }
    .minByOrNull { it.maintainedAtMillis }
    ?.let { FleetCommand.RebootInstance(it.id, null, it.revision) }
