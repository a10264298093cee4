// What each node of the system tells the others through the table: the version that it has in force, and what it still
// does on instances that are being drained. A node whose beat does not change for longer than the lapse counts as gone.

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

/** Requests that wait and run at one node for a pool, and all that have [finished] since the node started. */
@Serializable
public data class PoolLoad(
    public val pool: PoolId,
    public val queued: Int,
    public val running: Int,
    public val finished: Long = 0,
)

/**
 * What a node tells.
 *
 * @property busy instances out of service on which the node still has requests or jobs under way
 * @property quarantined workers that fail what they start, as found by the node that owns their pool
 */
@Serializable
public data class NodeBeat(
    public val node: NodeId,
    public val version: ViewVersion,
    public val count: Long,
    public val busy: List<InstanceId> = emptyList(),
    public val load: List<PoolLoad> = emptyList(),
    public val quarantined: List<InstanceId> = emptyList(),
)

/** Writes and reads beats. */
public class NodeBeats(private val table: TableStore, private val timeoutMillis: Long) {
    /** Writes [beat] over the node's earlier one. */
    public fun write(beat: NodeBeat): Verdict<Unit> {
        val write = Write(keyOf(beat.node), json.encodeToString(beat))
        return table.commit(Transaction(emptyList(), listOf(write)), timeoutMillis).map { }
    }

    /** Removes the beats of [nodes]. */
    public fun remove(nodes: List<NodeId>): Verdict<Unit> {
        val writes = nodes.map { Write(keyOf(it), null) }
        return table.commit(Transaction(emptyList(), writes), timeoutMillis).map { }
    }

    /** All beats, with the revision of each row. */
    public fun readAll(): Verdict<List<ReadBeat>> = table.scan(PREFIX, null, MAX_NODES, timeoutMillis).map { rows ->
        rows.mapNotNull { row ->
            row.value?.let { ReadBeat(json.decodeFromString<NodeBeat>(it), row.revision) }
        }
    }

    private fun keyOf(node: NodeId) = RowKey(PREFIX + node.value)

    private companion object {
        const val PREFIX = "node/"
        const val MAX_NODES = 1_000
        val json = Json { ignoreUnknownKeys = true }
    }
}

/** A beat as read from the table. */
public data class ReadBeat(public val beat: NodeBeat, public val revision: Revision)

/**
 * A beat, and the time on the reader's own clock at which it was first seen to have changed.
 * Nodes' clocks are never compared.
 */
public data class ObservedBeat(
    public val beat: NodeBeat,
    public val revision: Revision,
    public val changedAtMillis: Long,
)

/**
 * Beats as observed by one node over time.
 *
 * @property readAtMillis time of the last reading on the reader's own clock, or null before the first
 */
public data class BeatObservations(
    public val byNode: Map<NodeId, ObservedBeat> = emptyMap(),
    public val readAtMillis: Long? = null,
) {
    /**
     * These observations after [beats] were read at [nowMillis]. When the last reading is longer ago than
     * [maxGapMillis], the reader missed changes, so every beat counts as changed now: a node is silent only as long as
     * somebody listened.
     */
    public fun updated(
        nowMillis: Long,
        beats: List<ReadBeat>,
        maxGapMillis: Long = DEFAULT_MAX_GAP_MILLIS,
    ): BeatObservations {
        val listened = readAtMillis != null && nowMillis - readAtMillis <= maxGapMillis
        val observed = beats.associate { read ->
            val known = byNode[read.beat.node]
            val isUnchanged = known != null && listened && known.revision == read.revision
            val changedAt = if (isUnchanged) known.changedAtMillis else nowMillis
            read.beat.node to ObservedBeat(read.beat, read.revision, changedAt)
        }
        return BeatObservations(observed, nowMillis)
    }

    /** Nodes of [view] whose beat changed within [lapseMillis]. */
    public fun liveNodes(nowMillis: Long, view: FleetView, lapseMillis: Long): Set<NodeId> = view.nodes.keys
        .filter { id ->
            val observed = byNode[id]
            observed != null && nowMillis - observed.changedAtMillis <= lapseMillis
        }.toSet()

    /** The control processes among [liveNodes]. */
    public fun liveControls(nowMillis: Long, view: FleetView, lapseMillis: Long): Set<NodeId> =
        liveNodes(nowMillis, view, lapseMillis).filter { view.nodes[it]?.role == NodeRole.CONTROL }.toSet()

    private companion object {
        const val DEFAULT_MAX_GAP_MILLIS = 2_000L
    }
}

/**
 * Whether a node may join or leave [view]: a majority of its nodes must have acknowledged the change of nodes before.
 *
 * Two majorities of consecutive memberships then always share a node, so nodes that lost the table together, and hold
 * an older membership, can never be a majority beside the newer one.
 */
public fun mayChangeMembership(view: FleetView, beats: List<NodeBeat>): Boolean {
    val acknowledged = beats.count { it.node in view.nodes && it.version >= view.membershipVersion }
    return view.nodes.isEmpty() || acknowledged * 2 > view.nodes.size
}
