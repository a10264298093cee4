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
    private var peerDemandAtMillis = Long.MIN_VALUE / 2

    /** Notes whether a peer has demand. */
    fun heard(nowMillis: Long, report: SlotReport) {
        val waits = report.queuedByPool.values.any { it.total > 0 }
        if (waits || report.useByInstance.values.any { it.inUse > 0 }) peerDemandAtMillis = nowMillis
    }

    /** The next report, or null if the last one is too young. */
    fun next(nowMillis: Long, pools: Map<PoolId, PoolState>): SlotReport? {
        if (nowMillis - lastMillis < intervalMillis(nowMillis, pools)) return null
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

    // Grants have to follow demand quickly, wherever it is; without any, reports only show that this entry is alive.
    // Requests under way are demand like those that wait: the grants are divided by both.
    private fun intervalMillis(nowMillis: Long, pools: Map<PoolId, PoolState>): Long {
        val waits = pools.values.any { it.queue.size > 0 }
        val hasDemand = waits || targets.eligibleByPool().values.any { members -> members.any { it.inUse > 0 } }
        val heardDemand = nowMillis - peerDemandAtMillis <= settings.peerLapseMillis
        return if (hasDemand || heardDemand) settings.peerReportIntervalMillis else settings.quietReportIntervalMillis
    }
}
