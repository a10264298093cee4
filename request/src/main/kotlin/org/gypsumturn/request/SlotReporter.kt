// When this entry tells its peers its demand and slot use, and what.

package org.gypsumturn.request

import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Priority

/** Writes the slot reports of [self]. */
internal class SlotReporter(
    private val self: NodeId,
    private val settings: DispatchSettings,
    private val targets: TargetTable,
    private val chooser: TargetChooser,
) {
    private var lastMillis = Long.MIN_VALUE / 2
    private var sequence = 0L

    /** The next report, or null if the last one is too young. */
    fun next(nowMillis: Long, pools: Map<PoolId, PoolState>): SlotReport? {
        if (nowMillis - lastMillis < settings.peerReportIntervalMillis) return null
        lastMillis = nowMillis
        sequence++
        val queued = pools.mapValues { (_, pool) ->
            QueuedCount(pool.queue.size, pool.queue.sizeOf(Priority.URGENT))
        }
        val use = targets.eligibleByPool().values.flatten()
            .associate { it.id to SlotUse(chooser.limit(nowMillis, it), it.inUse) }
            .filterValues { it.granted > 0 || it.inUse > 0 }
        return SlotReport(self, sequence, queued, use)
    }
}
