// Converts slot reports to and from the messages that entries send each other.

package org.gypsumturn.entry.peer

import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.request.QueuedCount
import org.gypsumturn.request.SlotReport
import org.gypsumturn.schema.peer.ShareSlotsReply
import org.gypsumturn.schema.peer.ShareSlotsRequest
import org.gypsumturn.schema.peer.SlotDemand
import org.gypsumturn.schema.peer.SlotUse
import org.gypsumturn.request.SlotUse as ReportedUse

/** Converts slot reports to and from their messages. */
internal object SlotMessages {
    fun toRequest(report: SlotReport): ShareSlotsRequest = ShareSlotsRequest
        .newBuilder()
        .setNode(report.node.value)
        .setSequence(report.sequence)
        .addAllDemands(demands(report))
        .addAllUses(uses(report))
        .build()

    fun toReply(report: SlotReport): ShareSlotsReply = ShareSlotsReply
        .newBuilder()
        .setNode(report.node.value)
        .setSequence(report.sequence)
        .addAllDemands(demands(report))
        .addAllUses(uses(report))
        .build()

    fun toReport(request: ShareSlotsRequest): SlotReport =
        toReport(request.node, request.sequence, request.demandsList, request.usesList)

    fun toReport(reply: ShareSlotsReply): SlotReport =
        toReport(reply.node, reply.sequence, reply.demandsList, reply.usesList)

    private fun toReport(node: String, sequence: Long, demands: List<SlotDemand>, uses: List<SlotUse>) = SlotReport(
        NodeId(node),
        sequence,
        demands.associate { PoolId(it.pool) to QueuedCount(it.queued, it.urgentQueued) },
        uses.associate { InstanceId(it.instance) to ReportedUse(it.granted, it.inUse) },
    )

    private fun demands(report: SlotReport): List<SlotDemand> = report.queuedByPool.map { (pool, queued) ->
        SlotDemand
            .newBuilder()
            .setPool(pool.value)
            .setQueued(queued.total)
            .setUrgentQueued(queued.urgent)
            .build()
    }

    private fun uses(report: SlotReport): List<SlotUse> = report.useByInstance.map { (instance, use) ->
        SlotUse
            .newBuilder()
            .setInstance(instance.value)
            .setGranted(use.granted)
            .setInUse(use.inUse)
            .build()
    }
}
