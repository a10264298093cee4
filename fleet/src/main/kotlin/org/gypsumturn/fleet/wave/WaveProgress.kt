// How far a wave has come, worked out from the view alone. An instance counts as rebooted by a wave if it came back
// from any reboot since the wave started, so waves that overlap do not reboot an instance once each.

package org.gypsumturn.fleet.wave

import org.gypsumturn.fleet.command.isAvailable
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.ReservationPurpose
import org.gypsumturn.model.Wave

/**
 * The instances of a wave, each in one group.
 *
 * @property inWork hold a reservation of this wave
 * @property done rebooted since the wave started
 * @property failed recorded as failed and not retried
 * @property candidates serve and are still to be rebooted
 * @property waiting out of service for a short while for another reason; the wave waits for them
 * @property skipped lost, leaving, or held by an operator; the wave ends without them
 */
public data class WaveProgress(
    public val inWork: List<Instance>,
    public val done: List<Instance>,
    public val failed: List<Instance>,
    public val candidates: List<Instance>,
    public val waiting: List<Instance>,
    public val skipped: List<Instance>,
) {
    /** Whether nothing is left to do. */
    public val isComplete: Boolean get() = inWork.isEmpty() && candidates.isEmpty() && waiting.isEmpty()
}

private enum class WaveGroup { IN_WORK, DONE, FAILED, CANDIDATE, WAITING, SKIPPED }

/** The progress of [wave] in [view]; one pass over all instances. */
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
