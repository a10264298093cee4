// Writes events to the log, one line for each. A line has the event's name as its message and the event's fields as
// key-value pairs.

package org.gypsumturn.node

import org.gypsumturn.batch.schedule.DecisionLog
import org.slf4j.LoggerFactory

private val logger = LoggerFactory.getLogger("gypsumturn")

/** Writes the events of the scheduler and of the machine order planner to the log. */
public val eventLog: DecisionLog = { event, fields ->
    if (logger.isInfoEnabled) {
        var line = logger.atInfo().setMessage(event)
        fields.forEach { (key, value) -> line = line.addKeyValue(key, value) }
        line.log()
    }
}

/**
 * Writes [event] with its [fields] to the log. Operators' tools match the names of events and the keys of fields, so
 * that neither may change.
 */
public fun logEvent(event: String, vararg fields: Pair<String, Any?>) {
    eventLog(event, fields)
}
