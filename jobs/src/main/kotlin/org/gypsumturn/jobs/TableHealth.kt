// Whether the table answers, and when to try it again. Tries of different processes are spread apart, so that they do
// not all come back at once after an outage.

package org.gypsumturn.jobs

import org.gypsumturn.model.NodeId

/** Keeps calls away from a table that does not answer. */
internal class TableHealth(private val self: NodeId, private val settings: JobOwnerSettings) {
    private var failures = 0
    private var nextTryMillis = Long.MIN_VALUE

    /** Whether the last call was answered. */
    val isUp: Boolean get() = failures == 0

    /** Whether the table may be called. */
    fun mayCall(nowMillis: Long): Boolean = nowMillis >= nextTryMillis

    fun answered() {
        failures = 0
        nextTryMillis = Long.MIN_VALUE
    }

    fun failed(nowMillis: Long) {
        val doubled = settings.tableRetryMillis shl failures.coerceAtMost(MAX_DOUBLINGS)
        val delay = doubled.coerceAtMost(settings.maxTableRetryMillis)
        val spread = Math.floorMod(self.hashCode() + failures, SPREAD_STEPS)
        failures++
        nextTryMillis = nowMillis + delay + delay * spread / SPREAD_STEPS / 2
    }

    private companion object {
        const val MAX_DOUBLINGS = 6
        const val SPREAD_STEPS = 16
    }
}
