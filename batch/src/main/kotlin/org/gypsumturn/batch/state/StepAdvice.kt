// Answers of the placement advisor about one step: which executors may run it, with which tickets, and until when.

package org.gypsumturn.batch.state

import org.gypsumturn.batch.port.Ticket
import org.gypsumturn.model.InstanceId

/** Advice of the placement advisor for one step. */
public class StepAdvice {
    private class HeldTicket(val text: String, val untilMillis: Long)

    private val tickets = HashMap<InstanceId, HeldTicket>()

    /** Executors that may run the step, whether or not their tickets are still valid. */
    public val allowedExecutors: Set<InstanceId> get() = tickets.keys

    /** Executors that may not run the step. The advisor never changes such an answer. */
    public val refusedExecutors: MutableSet<InstanceId> = HashSet()

    /** Whether a question about the step waits for its answer. */
    public var questionOpen: Boolean = false

    /** The advisor is not asked again before this time. */
    public var retryAtMillis: Long = 0

    /** Stores [ticket], which may be used until [untilMillis]. */
    public fun addTicket(ticket: Ticket, untilMillis: Long) {
        tickets[ticket.executor] = HeldTicket(ticket.text, untilMillis)
    }

    /** Returns the ticket for [executor], or null if there is none that is valid at [nowMillis]. */
    public fun ticket(nowMillis: Long, executor: InstanceId): String? =
        tickets[executor]?.takeIf { nowMillis < it.untilMillis }?.text

    /** Whether asking the advisor about [executor] may bring a ticket that is missing. */
    public fun mayAskAbout(nowMillis: Long, executor: InstanceId): Boolean =
        executor !in refusedExecutors && ticket(nowMillis, executor) == null

    /** Removes the ticket for [executor]. */
    public fun removeTicket(executor: InstanceId) {
        tickets.remove(executor)
    }
}
