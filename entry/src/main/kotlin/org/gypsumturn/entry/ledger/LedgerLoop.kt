// The threads of the intent ledger: one commits rows, the other removes rows whose retention time is over.

package org.gypsumturn.entry.ledger

import org.gypsumturn.entry.EntryMetrics
import org.gypsumturn.ports.TableStore
import org.gypsumturn.runtime.duty.EventLoopThread

/**
 * Runs an [IntentLedger] on its own thread. Thread-safe.
 *
 * @param queueCapacity largest number of commands that may wait; a further one is refused
 */
internal class LedgerLoop(
    table: TableStore,
    settings: LedgerSettings,
    metrics: EntryMetrics,
    private val nowMillis: () -> Long,
    queueCapacity: Int,
) : AutoCloseable {
    private val ledger = IntentLedger(table, settings) { metrics.outcomesDropped.inc() }

    @Volatile
    private var ledgerIdle = true
    private val eventLoop =
        EventLoopThread<LedgerCommand>(
            "ledger",
            queueCapacity,
            maxOf(1, settings.lingerMillis),
            ::accept,
            ::processDue,
        )

    /** Whether the queue is empty and the ledger has nothing left to record. */
    val isIdle: Boolean get() = eventLoop.pendingEvents == 0 && ledgerIdle

    fun start() = eventLoop.start()

    /** Queues [command]. Returns false, and does not queue it, if the queue is full. */
    fun offer(command: LedgerCommand): Boolean = eventLoop.offer(command)

    override fun close() = eventLoop.close()

    private fun accept(command: LedgerCommand) {
        ledgerIdle = false
        ledger.accept(nowMillis(), command)
    }

    private fun processDue() {
        ledger.processDue(nowMillis())
        ledgerIdle = ledger.isIdle
    }
}

/**
 * Runs a [RetentionSweep] on its own thread: one page every [intervalMillis], as long as [mayRun] returns true.
 */
internal class RetentionSweepLoop(
    private val sweep: RetentionSweep,
    private val metrics: EntryMetrics,
    private val mayRun: () -> Boolean,
    private val epochMillis: () -> Long,
    intervalMillis: Long,
) : AutoCloseable {
    private val eventLoop = EventLoopThread<Unit>("retention", 2, intervalMillis, {}, ::sweepIfAllowed)

    fun start() = eventLoop.start()

    override fun close() = eventLoop.close()

    private fun sweepIfAllowed() {
        if (mayRun()) metrics.rowsSwept.inc(sweep.sweepPage(epochMillis()).toDouble())
    }
}
