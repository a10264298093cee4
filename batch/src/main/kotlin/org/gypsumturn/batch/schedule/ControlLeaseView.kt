// What the scheduler knows of the control lease: whether it is valid, and up to which time no later holder can have
// acted. A holder goes on for some time after its lease has lapsed, and a later one may be at work meanwhile.

package org.gypsumturn.batch.schedule

import org.gypsumturn.model.Epoch

/** The control lease of the term that [epoch] numbers, as of the last scheduling pass. */
internal class ControlLeaseView(private val epoch: Epoch, private val log: DecisionLog) {
    /** Time since the lease lapsed; negative while it is valid. */
    var overdueMillis = -1L
        private set

    /** Whether no other process can be the holder. */
    val isValid: Boolean get() = overdueMillis < 0

    private var lapsedMillis = 0L

    /**
     * The latest time until [nowMillis] at which no later holder can have acted. What this holder has granted, and what
     * is known of its predecessors, is complete only up to then: a later holder may have extended leases since.
     */
    fun soleHolderMillis(nowMillis: Long): Long = nowMillis - maxOf(0, overdueMillis)

    /** Records that at [nowMillis] the lease has lapsed for [overdueMillis], which is negative while it is valid. */
    fun update(nowMillis: Long, overdueMillis: Long) {
        val wasValid = isValid
        this.overdueMillis = overdueMillis
        when {
            wasValid && !isValid -> {
                lapsedMillis = nowMillis
                log("control lease lapsed", arrayOf("epoch" to epoch, "overdue_ms" to overdueMillis))
            }

            !wasValid && isValid ->
                log("control lease valid again", arrayOf("epoch" to epoch, "after_ms" to nowMillis - lapsedMillis))
        }
    }
}
