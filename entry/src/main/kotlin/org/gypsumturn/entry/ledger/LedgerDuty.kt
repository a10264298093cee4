// The threads of the intent ledger: one that commits, one that sweeps rows whose retention time is over.

package org.gypsumturn.entry.ledger

import org.gypsumturn.entry.EntryMetrics
import org.gypsumturn.ports.TableStore
import org.gypsumturn.runtime.duty.EventLoopThread

/**
 * Runs an [IntentLedger] on a thread of its own.
 *
 * @param ringCapacity orders that may wait; an order beyond is refused
 */
internal class LedgerDuty(
    table: TableStore,
    settings: LedgerSettings,
    metrics: EntryMetrics,
    private val nowMillis: () -> Long,
    ringCapacity: Int,
) : AutoCloseable {
    private val ledger = IntentLedger(table, settings) { metrics.outcomesDropped.inc() }

    @Volatile
    private var nothingWaits = true
    private val duty =
        EventLoopThread<LedgerOrder>(
            "ledger",
            ringCapacity,
            maxOf(1, settings.lingerMillis),
            ::accept,
            ::advance,
        )

    /** Whether everything that was handed over is recorded. */
    val settled: Boolean get() = duty.pendingEvents == 0 && nothingWaits

    /** Starts the thread. */
    fun start() = duty.start()

    /** Hands [order] over; false if there is no room. */
    fun offer(order: LedgerOrder): Boolean = duty.offer(order)

    override fun close() = duty.close()

    private fun accept(order: LedgerOrder) {
        nothingWaits = false
        ledger.accept(nowMillis(), order)
    }

    private fun advance() {
        ledger.advance(nowMillis())
        nothingWaits = ledger.settled
    }
}

/**
 * Runs a [RetentionSweep] on a thread of its own, a step every [intervalMillis], while [mayRun].
 */
internal class SweepDuty(
    private val sweep: RetentionSweep,
    private val metrics: EntryMetrics,
    private val mayRun: () -> Boolean,
    private val epochMillis: () -> Long,
    intervalMillis: Long,
) : AutoCloseable {
    private val duty = EventLoopThread<Unit>("retention", 2, intervalMillis, {}, ::step)

    /** Starts the thread. */
    fun start() = duty.start()

    override fun close() = duty.close()

    private fun step() {
        if (mayRun()) metrics.rowsSwept.inc(sweep.step(epochMillis()).toDouble())
    }
}
