// Decides in which pools waiting tasks are placed: those in which capacity or waiting tasks have changed, and from time
// to time all. Tasks that an earlier holder may have started wait until the recovery of their pool is over.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.state.Occurrence
import org.gypsumturn.model.PoolId

/** Passes the waiting tasks of [jobs] to [starter], pool by pool. */
internal class WaitingTaskPlacer(
    private val jobs: JobRegistry,
    private val queues: KnownQueues,
    private val rosters: PoolRosters,
    private val recovery: TakeoverRecovery,
    private val starter: TaskStarter,
) {
    private var configuration: FleetConfiguration? = null
    private var lastPlacementMillis = 0L
    private var executorsAsOfMillis = Long.MIN_VALUE / 2

    /** Pools whose free capacity or waiting tasks have changed since tasks were last placed there. */
    private val stalePools = HashSet<PoolId>()
    private var allPoolsStale = true

    fun configure(configuration: FleetConfiguration) {
        this.configuration = configuration
        allPoolsStale = true
    }

    /** Records that everything that was stored of the executors' entries until [asOfMillis] is known. */
    fun onExecutorsRead(asOfMillis: Long) {
        executorsAsOfMillis = asOfMillis
    }

    /** Lets waiting tasks be placed on the executors of [pool] in the next pass. */
    fun markPoolStale(pool: PoolId) {
        stalePools += pool
    }

    /** Starts waiting tasks. Considers only jobs and executors that were known at [knownMillis]. */
    fun placeWaitingTasks(nowMillis: Long, knownMillis: Long) {
        if (nowMillis - lastPlacementMillis > PLACEMENT_INTERVAL_MILLIS) allPoolsStale = true
        if (configuration == null || (!allPoolsStale && stalePools.isEmpty())) return
        val waiting = HashMap<PoolId, MutableList<WaitingStep>>()
        queues.values.filter { allPoolsStale || it.pool in stalePools }.forEach { queue ->
            val steps = waitingSteps(nowMillis, knownMillis, queue)
            if (steps.isNotEmpty() && rosters.admits(queue.pool, queue.id)) {
                waiting.getOrPut(queue.pool) { ArrayList() } += steps
            }
        }
        if (allPoolsStale) lastPlacementMillis = nowMillis
        allPoolsStale = false
        stalePools.clear()
        waiting.filterKeys { hasKnownCapacity(nowMillis, it) }
            .forEach { (pool, steps) -> starter.placePool(nowMillis, knownMillis, pool, steps) }
    }

    /**
     * Whether the capacities of the executors of [pool] are known well enough to start tasks there. Executors that do
     * not check for themselves whether a run fits must not be filled by capacities that may have changed since.
     */
    private fun hasKnownCapacity(nowMillis: Long, pool: PoolId): Boolean =
        configuration?.pools?.get(pool)?.checksAdmission != false ||
            nowMillis - executorsAsOfMillis <= MAX_CAPACITY_AGE_MILLIS

    private fun waitingSteps(nowMillis: Long, knownMillis: Long, queue: Queue): List<WaitingStep> =
        jobs.activeIn(queue.id)
            .filter { job -> job.firstAttempt == 1L || recovery.isOverFor(queue.id, queue.pool) }
            .filter { job -> job.acceptedMillis <= knownMillis && !job.isGivenUp }
            .flatMap { job -> job.occurrences.values }
            .flatMap { occurrence -> waitingSteps(nowMillis, queue, occurrence) }

    private fun waitingSteps(nowMillis: Long, queue: Queue, occurrence: Occurrence): List<WaitingStep> =
        occurrence.steps
            .filter { step -> step.hasWaitingTask(nowMillis) && occurrence.isReady(step) }
            .map { step -> WaitingStep(queue, occurrence, step) }

    private companion object {
        /** Age of the executors' entries from which on their capacities are not relied on. */
        const val MAX_CAPACITY_AGE_MILLIS = 3_000L

        /**
         * Longest time between two placements. Some executors become usable again by the passing of time alone, without
         * an event.
         */
        const val PLACEMENT_INTERVAL_MILLIS = 100L
    }
}
