// Holds back starts of tasks while the knowledge of jobs is too old to tell which of them have been cancelled, or that
// of the executors' entries is too old to tell which executors drain.

package org.gypsumturn.batch.schedule

import org.gypsumturn.model.Epoch

/**
 * Whether starts are held back in the term that [epoch] numbers, as of the last scheduling pass. [maxJobsAgeMillis]
 * bounds how long ago a cancellation that is not known may have been acknowledged, and [maxExecutorsAgeMillis] how long
 * ago an entry that is not known may have been stored.
 */
internal class StartHold(
    private val epoch: Epoch,
    private val maxJobsAgeMillis: Long,
    private val maxExecutorsAgeMillis: Long,
    private val log: DecisionLog,
) {
    private var sinceMillis: Long? = null

    /** Whether no task may be started. */
    val isActive: Boolean get() = sinceMillis != null

    /**
     * Decides at [nowMillis] by [knowledge], and by the time [executorsAsOfMillis] up to which the executors' entries
     * are known. In an outage of the whole store no entry can be stored either. Logs only when the decision changes.
     */
    fun update(nowMillis: Long, knowledge: JobKnowledge, executorsAsOfMillis: Long) {
        val mayStart = knowledge.allowsStarts(nowMillis, maxJobsAgeMillis) &&
            knowledge.allowsStartsByEntries(nowMillis, executorsAsOfMillis, maxExecutorsAgeMillis)
        val since = sinceMillis
        if (!mayStart && since == null) {
            sinceMillis = nowMillis
            log(
                "starts held back",
                arrayOf(
                    "epoch" to epoch,
                    "jobs_age_ms" to knowledge.ageMillis(nowMillis),
                    "executors_age_ms" to nowMillis - executorsAsOfMillis,
                    "store_answered_ms" to nowMillis - knowledge.storeAnsweredMillis,
                ),
            )
        } else if (mayStart && since != null) {
            sinceMillis = null
            log("starts go on", arrayOf("epoch" to epoch, "held_ms" to nowMillis - since))
        }
    }
}
