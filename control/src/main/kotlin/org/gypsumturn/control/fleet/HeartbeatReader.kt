// Reads the heartbeats of all nodes, and determines from them which control processes are live and may own pools of
// jobs.

package org.gypsumturn.control.fleet

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.view.HeartbeatObservations
import org.gypsumturn.view.NodeHeartbeatStore

/**
 * Reads the heartbeats in [heartbeatStore]. One thread calls [readHeartbeats]; any thread may call the other functions.
 *
 * @param maxGapMillis longest time between two readings for which an unchanged heartbeat counts as unchanged; after a
 *   longer time, every heartbeat counts as changed
 */
internal class HeartbeatReader(private val heartbeatStore: NodeHeartbeatStore, private val maxGapMillis: Long) {
    @Volatile
    private var observations = HeartbeatObservations()

    /** The latest heartbeats of all nodes. */
    fun observations(): HeartbeatObservations = observations

    /** Reads the heartbeats once. If the table does not answer, the previous observations stay. */
    fun readHeartbeats(monotonicMillis: Long) {
        val rows = heartbeatStore.readAll().valueOrNull() ?: return
        observations = observations.afterReading(monotonicMillis, rows, maxGapMillis)
    }

    /**
     * The control processes of [view] whose heartbeat changed within [lapseMillis] before the latest reading. Ages are
     * relative to that reading, so a pause of this process, or a table that is down, makes no other process count as
     * dead.
     */
    fun eligibleOwners(view: FleetView, lapseMillis: Long): Set<NodeId> {
        val latest = observations
        return latest.liveControls(latest.readAtMillis ?: 0, view, lapseMillis)
    }
}
