// Decides when a wave halts because of failures. Failures that share a rack, a pool or a data centre suggest a common
// cause, so fewer of them halt the wave than of scattered ones.

package org.gypsumturn.fleet.wave

import org.gypsumturn.model.Instance
import org.gypsumturn.model.Wave

private const val FAILURES_IN_RACK = 2
private const val MIN_FAILURES_IN_GROUP = 3

/** Returns the reason why [wave] must halt, as a text for operators, or null if it may continue. */
internal fun haltReason(wave: Wave, progress: WaveProgress): String? {
    val failures = wave.failed.size
    return when {
        failures == 0 -> null
        progress.done.size < wave.canaries -> "canary ${wave.failed.last()} failed"
        failures >= wave.maxFailures -> "$failures instances failed, ${wave.maxFailures} halt the wave"
        else -> correlatedFailures(progress.failed)
    }
}

private fun correlatedFailures(failed: List<Instance>): String? {
    groupWithFailures(failed, FAILURES_IN_RACK) { it.domain.rack }?.let { return "failures share rack $it" }
    val majority = maxOf(MIN_FAILURES_IN_GROUP, failed.size / 2 + 1)
    groupWithFailures(failed, majority) { it.pool }?.let { return "failures share pool $it" }
    return groupWithFailures(failed, majority) { it.domain.dataCentre }?.let { "failures share data centre $it" }
}

private fun <T> groupWithFailures(failed: List<Instance>, atLeast: Int, group: (Instance) -> T): T? =
    failed.groupingBy(group).eachCount().entries.firstOrNull { it.value >= atLeast }?.key
