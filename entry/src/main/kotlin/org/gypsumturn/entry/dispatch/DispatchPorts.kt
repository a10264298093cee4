// What the dispatch thread needs from the rest of the entry.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.EntryMetrics
import org.gypsumturn.entry.ledger.LedgerOrder
import org.gypsumturn.entry.target.TargetExchange
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.request.SlotReport
import org.gypsumturn.view.Readiness

/**
 * What the dispatch thread needs from the rest of the entry.
 *
 * @property view the view in force
 * @property readiness whether new work may be taken
 * @property send starts an exchange
 * @property record hands an order to the ledger; false if its ring is full
 * @property post hands an input to the dispatch thread from another thread; it is never lost
 * @property tellPeers passes a slot report to all entries
 * @property maxRecordedBytes largest body of an answer that is recorded
 */
internal class DispatchPorts(
    val self: NodeId,
    val view: () -> FleetView,
    val readiness: () -> Readiness,
    val send: (TargetExchange) -> Unit,
    val record: (LedgerOrder) -> Boolean,
    val post: (DispatchInput) -> Unit,
    val tellPeers: (SlotReport) -> Unit,
    val metrics: EntryMetrics,
    val maxRecordedBytes: Int,
    val nowMillis: () -> Long,
    val epochMillis: () -> Long,
)
