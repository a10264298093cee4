// The duty that owns pools of jobs: it runs the owner's rounds and tells which workers still hold tasks.

package org.gypsumturn.control.job

import org.gypsumturn.jobs.JobOwner
import org.gypsumturn.jobs.JobOwnerCounts
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.runtime.duty.EventLoopThread

/** What the last round left: the version that it worked with, and what it holds. */
internal data class JobRound(
    val version: ViewVersion = ViewVersion.NONE,
    val busyOutOfService: List<InstanceId> = emptyList(),
    val ownedPools: List<PoolId> = emptyList(),
    val quarantined: List<InstanceId> = emptyList(),
    val counts: JobOwnerCounts = JobOwnerCounts(0, 0, 0, 0, 0, isTableUp = true),
)

/** Runs [owner] every [stepMillis]. */
internal class JobDuty(
    private val owner: JobOwner,
    stepMillis: Long,
    private val view: () -> FleetView,
    private val isReady: () -> Boolean,
    private val liveControls: () -> Set<NodeId>,
    private val wallMillis: () -> Long,
) : AutoCloseable {
    private val duty = EventLoopThread<Unit>("jobs", RING_CAPACITY, stepMillis, {}, ::step)

    @Volatile
    private var round = JobRound()

    fun start() {
        duty.start()
    }

    /** The last round. */
    fun lastRound(): JobRound = round

    override fun close() {
        duty.close()
    }

    private fun step() {
        if (!isReady()) return
        val current = view()
        owner.step(wallMillis(), current, liveControls())
        val busy =
            owner.busyWorkers().filter { id ->
                val state = current.instances[id]?.state
                state == InstanceState.DRAINING || state == InstanceState.DRAINED || state == InstanceState.LEAVING
            }
        round = JobRound(current.version, busy.sorted(), owner.ownedPools(), owner.quarantinedWorkers(), owner.counts())
    }

    private companion object {
        const val RING_CAPACITY = 4
    }
}
