// The event loop of the job owner: runs its rounds and publishes which workers out of service still run tasks.

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

/**
 * State of the job owner after a round.
 *
 * @property version version of the view that the round used
 * @property busyOutOfService workers that are draining, drained or leaving and still run tasks of owned pools
 * @property quarantined workers of owned pools that fail the tasks they start
 */
internal data class JobRoundResult(
    val version: ViewVersion = ViewVersion.NONE,
    val busyOutOfService: List<InstanceId> = emptyList(),
    val ownedPools: List<PoolId> = emptyList(),
    val quarantined: List<InstanceId> = emptyList(),
    val counts: JobOwnerCounts = JobOwnerCounts(0, 0, 0, 0, 0, isTableUp = true),
)

/** Runs a round of [owner] every [stepMillis] while [isReady] returns true. */
internal class JobOwnerLoop(
    private val owner: JobOwner,
    stepMillis: Long,
    private val view: () -> FleetView,
    private val isReady: () -> Boolean,
    private val liveControls: () -> Set<NodeId>,
    private val wallMillis: () -> Long,
) : AutoCloseable {
    private val eventLoop = EventLoopThread<Unit>("jobs", QUEUE_CAPACITY, stepMillis, {}, ::runRound)

    @Volatile
    private var roundResult = JobRoundResult()

    fun start() {
        eventLoop.start()
    }

    /** The state after the latest round. */
    fun lastRound(): JobRoundResult = roundResult

    override fun close() {
        eventLoop.close()
    }

    private fun runRound() {
        if (!isReady()) return
        val current = view()
        owner.step(wallMillis(), current, liveControls())
        val busyOutOfService =
            owner.busyWorkers().filter { id ->
                val state = current.instances[id]?.state
                state == InstanceState.DRAINING || state == InstanceState.DRAINED || state == InstanceState.LEAVING
            }
        roundResult =
            JobRoundResult(
                current.version,
                busyOutOfService.sorted(),
                owner.ownedPools(),
                owner.quarantinedWorkers(),
                owner.counts(),
            )
    }

    private companion object {
        const val QUEUE_CAPACITY = 4
    }
}
