// Reports which nodes have a version of the view in force, and why the other nodes do not.

package org.gypsumturn.control.admin

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Node
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.schema.admin.GetRolloutReply
import org.gypsumturn.schema.admin.NodeRollout
import org.gypsumturn.view.HeartbeatObservations

/**
 * The roll-out of [version], as seen at [nowMillis] of the observer's monotonic clock. The lease of a node counts as
 * expired once its heartbeat has not changed for [lapseMillis].
 */
internal fun rolloutOf(
    nowMillis: Long,
    view: FleetView,
    observations: HeartbeatObservations,
    version: ViewVersion,
    lapseMillis: Long,
): GetRolloutReply {
    val nodes =
        view.nodes.values
            .sortedBy { it.id }
            .map { rolloutOf(nowMillis, it, observations, version, lapseMillis) }
    return GetRolloutReply
        .newBuilder()
        .setVersion(version.value)
        .setInForceEverywhere(nodes.isNotEmpty() && nodes.all { it.inForce })
        .addAllNodes(nodes)
        .build()
}

private fun rolloutOf(
    nowMillis: Long,
    node: Node,
    observations: HeartbeatObservations,
    version: ViewVersion,
    lapseMillis: Long,
): NodeRollout {
    val observed = observations.byNode[node.id]
    val silentMillis = observed?.let { nowMillis - it.changedAtMillis } ?: 0
    val inForce = observed != null && observed.heartbeat.version >= version
    val reason =
        when {
            inForce -> ""
            observed == null -> "has not been heard of yet"
            silentMillis > lapseMillis -> "silent for $silentMillis ms; its lease has run out and it takes no new work"
            else -> "has version ${observed.heartbeat.version} in force"
        }
    return NodeRollout
        .newBuilder()
        .setNode(node.id.value)
        .setRole(node.role.name)
        .setDataCentre(node.dataCentre.value)
        .setVersion(observed?.heartbeat?.version?.value ?: 0)
        .setInForce(inForce)
        .setReason(reason)
        .setLastSeenMillisAgo(silentMillis)
        .build()
}
