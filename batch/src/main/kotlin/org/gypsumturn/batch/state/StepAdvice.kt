// What the advisor has said about a step: which executors may run it, with which tickets, and until when.

package org.gypsumturn.batch.state

import org.gypsumturn.batch.port.Ticket
import org.gypsumturn.model.InstanceId

/** Advice for one step. */
public class StepAdvice {
    private class Held(val text: String, val untilMillis: Long)

    private val tickets = HashMap<InstanceId, Held>()

    /** Executors that may run the step, whether or not their tickets are still valid. */
    public val allowed: Set<InstanceId> get() = tickets.keys

    /** Executors that may not run it; that does not change. */
    public val refused: MutableSet<InstanceId> = HashSet()

    /** Whether a question is under way. */
    public var asking: Boolean = false

    /** Not asked again before this time. */
    public var retryMillis: Long = 0

    /** Keeps [ticket], which is valid until [untilMillis]. */
    public fun allow(ticket: Ticket, untilMillis: Long) {
        tickets[ticket.executor] = Held(ticket.text, untilMillis)
    }

    /** The ticket for [executor] where it holds a valid one. */
    public fun ticket(nowMillis: Long, executor: InstanceId): String? =
        tickets[executor]?.takeIf { nowMillis < it.untilMillis }?.text

    /** Whether asking about [executor] may bring a ticket that is not held. */
    public fun isOpen(nowMillis: Long, executor: InstanceId): Boolean =
        executor !in refused && ticket(nowMillis, executor) == null

    /** Drops the ticket for [executor]. */
    public fun forget(executor: InstanceId) {
        tickets.remove(executor)
    }
}
