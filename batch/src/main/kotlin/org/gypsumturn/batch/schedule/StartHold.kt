// Holds back starts of tasks while the knowledge of jobs is too old to tell which of them have been cancelled.

package org.gypsumturn.batch.schedule

import org.gypsumturn.model.Epoch

/**
 * Whether starts are held back in the term that [epoch] numbers, as of the last scheduling pass. [maxAgeMillis] bounds
 * how long ago a cancellation that is not known may have been acknowledged.
 */
internal class StartHold(private val epoch: Epoch, private val maxAgeMillis: Long, private val log: DecisionLog) {
    private var sinceMillis: Long? = null

    /** Whether no task may be started. */
    val isActive: Boolean get() = sinceMillis != null

    /** Decides at [nowMillis] by [knowledge]. Logs only when the decision changes. */
    fun update(nowMillis: Long, knowledge: JobKnowledge) {
        val mayStart = knowledge.allowsStarts(nowMillis, maxAgeMillis)
        val since = sinceMillis
        if (!mayStart && since == null) {
            sinceMillis = nowMillis
            log(
                "starts held back",
                arrayOf(
                    "epoch" to epoch,
                    "jobs_age_ms" to knowledge.ageMillis(nowMillis),
                    "store_answered_ms" to nowMillis - knowledge.storeAnsweredMillis,
                ),
            )
        } else if (mayStart && since != null) {
            sinceMillis = null
            log("starts go on", arrayOf("epoch" to epoch, "held_ms" to nowMillis - since))
        }
    }
}
