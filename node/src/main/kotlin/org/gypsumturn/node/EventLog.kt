// Decisions as lines of the log: one JSON object a line, with the event's name and its inputs.

package org.gypsumturn.node

import org.gypsumturn.batch.schedule.DecisionLog
import org.slf4j.LoggerFactory

private val logger = LoggerFactory.getLogger("gypsumturn")

/** Writes decisions to the log. */
public val eventLog: DecisionLog = { event, fields ->
    if (logger.isInfoEnabled) {
        var line = logger.atInfo().setMessage(event)
        fields.forEach { (key, value) -> line = line.addKeyValue(key, value) }
        line.log()
    }
}

/** Writes one event. */
public fun logEvent(event: String, vararg fields: Pair<String, Any?>) {
    eventLog(event, fields)
}
