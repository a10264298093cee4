// Tracks whether the table answers, with a backoff after failures. The delay varies with the process, so that the
// processes do not all call the table at the same time after an outage.

package org.gypsumturn.jobs

import org.gypsumturn.model.NodeId

/** Backoff for calls to a table that does not answer. */
internal class TableHealth(private val self: NodeId, private val settings: JobOwnerSettings) {
    private var failures = 0
    private var nextTryMillis = Long.MIN_VALUE

    /** Whether the last call was answered. */
    val isUp: Boolean get() = failures == 0

    /** Whether the delay after the last failure is over, so that the table may be called. */
    fun mayCall(nowMillis: Long): Boolean = nowMillis >= nextTryMillis

    fun onAnswer() {
        failures = 0
        nextTryMillis = Long.MIN_VALUE
    }

    fun onFailure(nowMillis: Long) {
        val doubled = settings.tableRetryMillis shl failures.coerceAtMost(MAX_DOUBLINGS)
        val delay = doubled.coerceAtMost(settings.maxTableRetryMillis)
        val spreadSteps = Math.floorMod(self.hashCode() + failures, SPREAD_STEPS)
        failures++
        nextTryMillis = nowMillis + delay + delay * spreadSteps / SPREAD_STEPS / 2
    }

    private companion object {
        const val MAX_DOUBLINGS = 6
        const val SPREAD_STEPS = 16
    }
}
