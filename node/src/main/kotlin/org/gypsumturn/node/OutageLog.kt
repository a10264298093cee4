// One line when something is lost and one when it is back, however often it is tried meanwhile.

package org.gypsumturn.node

import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

/** Writes [lost] with the reason, and [regained], both with [fields]. */
internal class OutageLog(
    private val lost: String,
    private val regained: String,
    private vararg val fields: Pair<String, Any?>,
) {
    private var isLost = false

    /** Takes in how a try went; [more] is written too. Returns whether it shows the end of an outage. */
    fun note(verdict: Verdict<*>, vararg more: Pair<String, Any?>): Boolean {
        val failure = verdict.failureOrNull()
        val isBack = failure == null && isLost
        if (failure != null && !isLost) logEvent(lost, *fields, *more, "why" to failure.message)
        if (isBack) logEvent(regained, *fields, *more)
        isLost = failure != null
        return isBack
    }
}
