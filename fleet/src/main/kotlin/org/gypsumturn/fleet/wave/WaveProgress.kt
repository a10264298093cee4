// Derives the progress of a wave from the view. An instance counts as done if it came back from any reboot since the
// wave started, so that overlapping waves do not reboot the same instance twice.

package org.gypsumturn.fleet.wave

import org.gypsumturn.fleet.command.isAvailable
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.ReservationPurpose
import org.gypsumturn.model.Wave

/**
 * The instances of a wave, each in exactly one group.
 *
 * @property inWork instances that are reserved for this wave
 * @property done instances that were rebooted since the wave started
 * @property failed instances that the wave has recorded as failed and does not try again
 * @property candidates instances that serve and must still be rebooted
 * @property waiting instances that are out of service for another reason for a short time; the wave waits for them
 * @property skipped instances that are lost, leaving or drained by an operator; the wave ends without them
 */
public data class WaveProgress(
    public val inWork: List<Instance>,
    public val done: List<Instance>,
    public val failed: List<Instance>,
    public val candidates: List<Instance>,
    public val waiting: List<Instance>,
    public val skipped: List<Instance>,
) {
    /** Whether no instance is left to reboot or to wait for. */
    public val isComplete: Boolean get() = inWork.isEmpty() && candidates.isEmpty() && waiting.isEmpty()
}

private enum class WaveGroup { IN_WORK, DONE, FAILED, CANDIDATE, WAITING, SKIPPED }

/** Returns the progress of [wave] in [view], in one pass over all instances. */
public fun progressOf(view: FleetView, wave: Wave): WaveProgress {
    val pools = wave.pools.toSet()
    val failed = wave.failed.toSet()
    val groups = view.instances.values
        .filter { it.pool in pools || it.reservation?.wave == wave.id }
        .groupBy { instance ->
            when {
                instance.reservation?.wave == wave.id -> WaveGroup.IN_WORK
                instance.id in failed -> WaveGroup.FAILED
                instance.maintainedAtMillis >= wave.startedAtMillis -> WaveGroup.DONE
                else -> groupOfRemaining(instance)
            }
        }
    return WaveProgress(
        groups[WaveGroup.IN_WORK].orEmpty(),
        groups[WaveGroup.DONE].orEmpty(),
        groups[WaveGroup.FAILED].orEmpty(),
        groups[WaveGroup.CANDIDATE].orEmpty(),
        groups[WaveGroup.WAITING].orEmpty(),
        groups[WaveGroup.SKIPPED].orEmpty(),
    )
}

private fun groupOfRemaining(instance: Instance): WaveGroup = when {
    instance.isAvailable -> WaveGroup.CANDIDATE
    instance.state == InstanceState.LOST || instance.state == InstanceState.LEAVING -> WaveGroup.SKIPPED
    instance.reservation?.purpose == ReservationPurpose.OPERATOR_DRAIN -> WaveGroup.SKIPPED
    else -> WaveGroup.WAITING
}
