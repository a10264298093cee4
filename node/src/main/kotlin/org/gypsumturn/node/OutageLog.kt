// Logs outages: one line when calls begin to fail and one when they succeed again, however many fail in between.

package org.gypsumturn.node

import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/**
 * Logs the outages of one service that is called.
 *
 * @param lostEvent name of the event that starts an outage; it is logged with the reason
 * @param regainedEvent name of the event that ends an outage
 * @param fields fields of both events
 */
internal class OutageLog(
    private val lostEvent: String,
    private val regainedEvent: String,
    private vararg val fields: Pair<String, Any?>,
) {
    private var isInOutage = false

    /** Records the result of a call. Events have [moreFields] too. Returns whether [verdict] ends an outage. */
    fun recordResult(verdict: Verdict<*>, vararg moreFields: Pair<String, Any?>): Boolean {
        val failure = verdict.failureOrNull()
        val hasEnded = failure == null && isInOutage
        if (failure != null && !isInOutage) logEvent(lostEvent, *fields, *moreFields, "why" to failure.message)
        if (hasEnded) logEvent(regainedEvent, *fields, *moreFields)
        isInOutage = failure != null
        return hasEnded
    }
}
