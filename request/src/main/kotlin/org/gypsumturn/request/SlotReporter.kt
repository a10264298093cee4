// Decides when this entry sends a slot report to the other entries, and writes the report.

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
    private var lastReportMillis = Long.MIN_VALUE / 2
    private var sequence = 0L
    private var lastPeerDemandMillis = Long.MIN_VALUE / 2

    /** Records whether the report of another entry shows demand. */
    fun recordPeerReport(nowMillis: Long, report: SlotReport) {
        val waits = report.queuedByPool.values.any { it.total > 0 }
        if (waits || report.useByInstance.values.any { it.inUse > 0 }) lastPeerDemandMillis = nowMillis
    }

    /** The next report, or null if the interval since the last one has not passed. */
    fun nextReport(nowMillis: Long, pools: Map<PoolId, PoolState>): SlotReport? {
        if (nowMillis - lastReportMillis < intervalMillis(nowMillis, pools)) return null
        lastReportMillis = nowMillis
        sequence++
        val queued = pools.mapValues { (_, pool) ->
            QueuedCount(pool.queue.size, pool.queue.sizeOf(Priority.URGENT))
        }
        val use = targets.eligibleByPool().values.flatten()
            .associate { it.id to SlotUse(chooser.limit(nowMillis, it), it.inUse) }
            .filterValues { it.granted > 0 || it.inUse > 0 }
        return SlotReport(self, sequence, queued, use)
    }

    // While any entry has demand, reports are frequent so that the grants follow the demand quickly. Otherwise reports
    // only show that this entry is alive. Running requests count as demand like queued ones, because the grants depend
    // on both.
    private fun intervalMillis(nowMillis: Long, pools: Map<PoolId, PoolState>): Long {
        val waits = pools.values.any { it.queue.size > 0 }
        val hasDemand = waits || targets.eligibleByPool().values.any { members -> members.any { it.inUse > 0 } }
        val heardDemand = nowMillis - lastPeerDemandMillis <= settings.peerLapseMillis
        return if (hasDemand || heardDemand) settings.peerReportIntervalMillis else settings.idleReportIntervalMillis
    }
}
