// Reads the beats of all nodes at short intervals, and tells which control processes may own pools of jobs.

package org.gypsumturn.control.fleet

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.view.HeartbeatObservations
import org.gypsumturn.view.NodeHeartbeatStore

/**
 * Reads [beats], one [step] at a time, from one thread; what it saw may be read from any thread.
 *
 * @param maxGapMillis time between two readings beyond which nobody's silence is held against it
 */
internal class BeatWatch(private val beats: NodeHeartbeatStore, private val maxGapMillis: Long) {
    @Volatile
    private var observations = HeartbeatObservations()

    /** The latest beats of all nodes. */
    fun observations(): HeartbeatObservations = observations

    /** Reads the beats once. */
    fun step(monotonicMillis: Long) {
        val read = beats.readAll().valueOrNull() ?: return
        observations = observations.afterReading(monotonicMillis, read, maxGapMillis)
    }

    /**
     * The control processes of [view] whose beat changed in the [lapseMillis] before the last reading. Ages end with
     * that reading, so a pause of this process, or a table that is down, makes no other process look dead.
     */
    fun owners(view: FleetView, lapseMillis: Long): Set<NodeId> {
        val last = observations
        return last.liveControls(last.readAtMillis ?: 0, view, lapseMillis)
    }
}
