// The functions of the rest of the entry that the dispatch thread calls.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.EntryMetrics
import org.gypsumturn.entry.ledger.LedgerCommand
import org.gypsumturn.entry.target.TargetExchange
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.request.SlotReport
import org.gypsumturn.view.Readiness

/**
 * The functions of the rest of the entry that the dispatch thread calls.
 *
 * @property self the name of this entry in the fleet view
 * @property view returns the fleet view in force
 * @property readiness returns whether this entry may take new work
 * @property send starts an exchange with a target
 * @property record queues a command for the intent ledger; returns false if its queue is full
 * @property post queues an input for the dispatch thread; callable from any thread, and never drops it
 * @property sendSlotReport sends a slot report to all other entries
 * @property maxRecordedBytes largest body of an answer that is recorded, in bytes
 * @property nowMillis monotonic clock
 * @property epochMillis wall clock, in milliseconds since the epoch
 */
internal class DispatchPorts(
    val self: NodeId,
    val view: () -> FleetView,
    val readiness: () -> Readiness,
    val send: (TargetExchange) -> Unit,
    val record: (LedgerCommand) -> Boolean,
    val post: (DispatchInput) -> Unit,
    val sendSlotReport: (SlotReport) -> Unit,
    val metrics: EntryMetrics,
    val maxRecordedBytes: Int,
    val nowMillis: () -> Long,
    val epochMillis: () -> Long,
)
