// Repeats of a key whose first request still runs somewhere. Their rows are read together, at intervals.

package org.gypsumturn.entry.ledger

import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.Row
import org.gypsumturn.ports.TableStore

/** A repeat and the row that was found for it; null if it has waited long enough. */
internal class SeenRepeat(val order: LedgerOrder.Intent, val row: Row?)

/** Repeats that wait for an outcome. Not thread-safe; blocks on [table]. */
internal class RepeatQueue(private val table: TableStore, private val settings: LedgerSettings) {
    private val untilMillis = LinkedHashMap<LedgerOrder.Intent, Long>()
    private var nextLookMillis = 0L

    /** Whether nothing waits. */
    val isEmpty: Boolean get() = untilMillis.isEmpty()

    /** Lets [order] wait; false if it has waited long enough. A repeat that is added again keeps its end. */
    fun add(nowMillis: Long, order: LedgerOrder.Intent): Boolean {
        if (untilMillis.isEmpty()) nextLookMillis = nowMillis + settings.repeatPollMillis
        val latest = minOf(order.deadlineMillis - REPLY_MARGIN_MILLIS, nowMillis + settings.repeatWaitMillis)
        val until = untilMillis.getOrPut(order) { latest }
        if (nowMillis < until) return true
        untilMillis.remove(order)
        return false
    }

    /** Reads the rows of all repeats, if it is time; the result is to be judged, or added again. */
    fun look(nowMillis: Long): List<SeenRepeat> {
        val over = untilMillis.filterValues { it <= nowMillis }.keys.toList()
        over.forEach { untilMillis.remove(it) }
        val ended = over.map { SeenRepeat(it, null) }
        if (untilMillis.isEmpty() || nowMillis < nextLookMillis) return ended
        nextLookMillis = nowMillis + settings.repeatPollMillis
        return ended + untilMillis.keys.chunked(settings.maxGroupRows).flatMap(::read)
    }

    /** Forgets [order], whose outcome is known. */
    fun remove(order: LedgerOrder.Intent) {
        untilMillis.remove(order)
    }

    private fun read(orders: List<LedgerOrder.Intent>): List<SeenRepeat> {
        val rows = table.read(orders.map { it.key }.distinct(), settings.storeTimeoutMillis)
        if (rows !is Verdict.Ran) return emptyList()
        val byKey = rows.value.associateBy { it.key }
        return orders.map { SeenRepeat(it, byKey.getValue(it.key)) }
    }

    private companion object {
        const val REPLY_MARGIN_MILLIS = 50L
    }
}
