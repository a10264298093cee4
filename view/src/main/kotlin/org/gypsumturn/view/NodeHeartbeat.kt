// Heartbeats of the system's own nodes, which they exchange through the table. A heartbeat states the version that the
// node has in force and its work on instances that are being drained. A node whose heartbeat has not changed for longer
// than the lapse time does not count as live.

package org.gypsumturn.view

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.model.map
import org.gypsumturn.ports.RowKey
import org.gypsumturn.ports.TableStore
import org.gypsumturn.ports.Transaction
import org.gypsumturn.ports.Write

/**
 * Load of a pool as seen by one node.
 *
 * @property queued requests that wait at the node
 * @property running requests that the node has sent to instances of the pool and that have not ended
 * @property finished requests that have ended since the node started
 */
@Serializable
public data class PoolLoad(
    public val pool: PoolId,
    public val queued: Int,
    public val running: Int,
    public val finished: Long = 0,
)

/**
 * Heartbeat of a node.
 *
 * @property version version of the view that the node has in force
 * @property count number of the heartbeat; increases so that each heartbeat changes the row
 * @property busy instances out of service on which the node still has running requests or jobs
 * @property quarantined workers that fail the tasks they start, as detected by the node that owns their pool
 */
@Serializable
public data class NodeHeartbeat(
    public val node: NodeId,
    public val version: ViewVersion,
    public val count: Long,
    public val busy: List<InstanceId> = emptyList(),
    public val load: List<PoolLoad> = emptyList(),
    public val quarantined: List<InstanceId> = emptyList(),
)

/** Stores the heartbeats of all nodes, one row for each node. Calls block for at most [timeoutMillis]. */
public class NodeHeartbeatStore(private val table: TableStore, private val timeoutMillis: Long) {
    /** Replaces the node's previous heartbeat by [heartbeat]. */
    public fun write(heartbeat: NodeHeartbeat): Verdict<Unit> {
        val write = Write(keyOf(heartbeat.node), json.encodeToString(heartbeat))
        return table.commit(Transaction(emptyList(), listOf(write)), timeoutMillis).map { }
    }

    /** Removes the heartbeats of [nodes]. */
    public fun remove(nodes: List<NodeId>): Verdict<Unit> {
        val writes = nodes.map { Write(keyOf(it), null) }
        return table.commit(Transaction(emptyList(), writes), timeoutMillis).map { }
    }

    /** Reads the heartbeats of all nodes, at most [MAX_NODES]. */
    public fun readAll(): Verdict<List<HeartbeatRow>> = table.scan(PREFIX, null, MAX_NODES, timeoutMillis).map { rows ->
        rows.mapNotNull { row ->
            row.value?.let { HeartbeatRow(json.decodeFromString<NodeHeartbeat>(it), row.revision) }
        }
    }

    private fun keyOf(node: NodeId) = RowKey(PREFIX + node.value)

    private companion object {
        const val PREFIX = "node/"
        const val MAX_NODES = 1_000
        val json = Json { ignoreUnknownKeys = true }
    }
}

/** A heartbeat as read from the table, with the revision of its row. */
public data class HeartbeatRow(public val heartbeat: NodeHeartbeat, public val revision: Revision)

/**
 * A heartbeat, and the time at which its reader last saw it change.
 *
 * @property changedAtMillis time on the reader's own monotonic clock; clocks of different nodes are never compared
 */
public data class ObservedHeartbeat(
    public val heartbeat: NodeHeartbeat,
    public val revision: Revision,
    public val changedAtMillis: Long,
)

/**
 * The latest heartbeats, as observed by one reader over time.
 *
 * @property readAtMillis time of the latest reading on the reader's own clock; null before the first reading
 */
public data class HeartbeatObservations(
    public val byNode: Map<NodeId, ObservedHeartbeat> = emptyMap(),
    public val readAtMillis: Long? = null,
) {
    /**
     * The observations after [rows] were read at [nowMillis].
     *
     * If the previous reading is longer ago than [maxGapMillis], changes may have been missed, and every heartbeat
     * counts as changed now. Otherwise an outage of the table would make live nodes count as lapsed.
     */
    public fun afterReading(
        nowMillis: Long,
        rows: List<HeartbeatRow>,
        maxGapMillis: Long = DEFAULT_MAX_GAP_MILLIS,
    ): HeartbeatObservations {
        val isContinuous = readAtMillis != null && nowMillis - readAtMillis <= maxGapMillis
        val observed = rows.associate { row ->
            val known = byNode[row.heartbeat.node]
            val isUnchanged = known != null && isContinuous && known.revision == row.revision
            val changedAt = if (isUnchanged) known.changedAtMillis else nowMillis
            row.heartbeat.node to ObservedHeartbeat(row.heartbeat, row.revision, changedAt)
        }
        return HeartbeatObservations(observed, nowMillis)
    }

    /** The nodes of [view] whose heartbeat was seen to change within the last [lapseMillis]. */
    public fun liveNodes(nowMillis: Long, view: FleetView, lapseMillis: Long): Set<NodeId> = view.nodes.keys
        .filter { id ->
            val observed = byNode[id]
            observed != null && nowMillis - observed.changedAtMillis <= lapseMillis
        }.toSet()

    /** The [liveNodes] that are control processes. */
    public fun liveControls(nowMillis: Long, view: FleetView, lapseMillis: Long): Set<NodeId> =
        liveNodes(nowMillis, view, lapseMillis).filter { view.nodes[it]?.role == NodeRole.CONTROL }.toSet()

    private companion object {
        const val DEFAULT_MAX_GAP_MILLIS = 2_000L
    }
}

/**
 * Whether a node may join or leave [view]. A majority of its nodes must have acknowledged the previous change of
 * membership.
 *
 * Majorities of two consecutive memberships then always share a node. Without this rule, nodes that lose the table at
 * the same time and hold an older membership could form a majority beside that of the newer membership.
 */
public fun mayChangeMembership(view: FleetView, heartbeats: List<NodeHeartbeat>): Boolean {
    val acknowledged = heartbeats.count { it.node in view.nodes && it.version >= view.membershipVersion }
    return view.nodes.isEmpty() || acknowledged * 2 > view.nodes.size
}
