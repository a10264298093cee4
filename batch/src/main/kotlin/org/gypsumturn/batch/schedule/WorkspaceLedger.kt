// Counts what each workspace has running on all executors, and holds back the starts that its cap does not allow. The
// count is in the memory of the holder of the control lease. A new holder learns it from the reports of the executors.
// Until each of them has reported, the tasks that it has not found count as running: a count that began at zero would
// let every workspace start its whole cap once more.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Workspace
import org.gypsumturn.batch.model.WorkspaceDirectory
import org.gypsumturn.batch.state.CapacityCounter
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.StepState
import org.gypsumturn.batch.workspace.WorkspaceStatus
import org.gypsumturn.batch.workspace.WorkspaceUse
import org.gypsumturn.batch.workspace.capAllows
import org.gypsumturn.model.WorkspaceId

/** Counters of the capacity that the runs of each workspace hold. */
internal class WorkspaceUsage {
    private val counters = HashMap<WorkspaceId, CapacityCounter>()

    fun counterOf(id: WorkspaceId): CapacityCounter = counters.getOrPut(id, ::CapacityCounter)

    fun heldBy(id: WorkspaceId): ResourceAmounts = counters[id]?.held ?: ResourceAmounts.NONE
}

/** Decides under the caps of the workspaces. Their use is that of [usage] and of runs that no job needs any more. */
internal class WorkspaceLedger(
    private val usage: WorkspaceUsage,
    private val jobs: JobRegistry,
    private val registry: ExecutorRegistry,
    private val queues: KnownQueues,
    private val recovery: TakeoverRecovery,
    private val log: DecisionLog,
) {
    /** When the cap of a workspace last held back a start, for those that are held back. */
    private val heldBackMillis = HashMap<WorkspaceId, Long>()
    private var refreshedMillis = 0L

    /** Workspaces that a configuration removes stay known, since they may have unfinished jobs. */
    private val workspaces = HashMap<WorkspaceId, Workspace>()
    private var unwanted: Map<WorkspaceId, ResourceAmounts> = emptyMap()
    private var unconfirmed: Map<WorkspaceId, ResourceAmounts> = emptyMap()

    /** Whether workspaces share the pools. */
    val isActive: Boolean get() = workspaces.isNotEmpty()

    /** Puts the caps and weights of [directory] in force; null leaves the known ones. */
    fun configure(directory: WorkspaceDirectory?) {
        directory?.all?.associateByTo(workspaces) { it.id }
    }

    operator fun get(id: WorkspaceId): Workspace? = workspaces[id]

    /** The capacity that workspace [id] uses, as far as it was known at the last [refresh]. */
    fun useOf(id: WorkspaceId): WorkspaceUse = WorkspaceUse(
        usage.heldBy(id) + (unwanted[id] ?: ResourceAmounts.NONE),
        unconfirmed[id] ?: ResourceAmounts.NONE,
    )

    /** Whether the cap of the workspace of [step] allows [count] more of its tasks, which must start together. */
    fun allowsStart(step: StepState, count: Int = 1): Boolean {
        val workspace = step.job.job.workspace?.let(workspaces::get) ?: return true
        val isAllowed = capAllows(workspace.cap, useOf(workspace.id), step.reservedSize, count)
        if (!isAllowed && heldBackMillis.put(workspace.id, refreshedMillis) == null) {
            log("workspace held back", fieldsOf(workspace))
        }
        return isAllowed
    }

    private fun fieldsOf(workspace: Workspace): Array<Pair<String, Any?>> {
        val use = useOf(workspace.id)
        return arrayOf(
            "workspace" to workspace.id,
            "held" to use.held,
            "unconfirmed" to use.unconfirmed,
            "cap" to workspace.cap,
        )
    }

    /** The state of all workspaces. */
    fun status(): List<WorkspaceStatus> {
        val waiting = HashMap<WorkspaceId, Int>()
        jobs.active.forEach { job -> job.job.workspace?.let { waiting.merge(it, waitingTasks(job), Int::plus) } }
        return workspaces.values.map {
            WorkspaceStatus(it, useOf(it.id), waiting[it.id] ?: 0, it.id in heldBackMillis)
        }
    }

    private fun waitingTasks(job: JobState): Int = job.occurrences.values.sumOf { occurrence ->
        occurrence.steps.filter(occurrence::isReady).sumOf { it.unstartedCount }
    }

    /** Counts anew what is not counted run by run. Must be called before each placement. */
    fun refresh(nowMillis: Long) {
        if (!isActive) return
        refreshedMillis = nowMillis
        val released = heldBackMillis.filterValues { nowMillis - it > HELD_BACK_MILLIS }.keys
        released.mapNotNull(workspaces::get).forEach { log("workspace released", fieldsOf(it)) }
        heldBackMillis -= released.toSet()
        unwanted = unwantedRuns()
        unconfirmed = if (recovery.isActive) unconfirmedTasks() else emptyMap()
    }

    private fun unwantedRuns(): Map<WorkspaceId, ResourceAmounts> {
        val sums = HashMap<WorkspaceId, ResourceAmounts>(0)
        registry.executors.values.filter { it.hasUnwantedRuns }.flatMap { it.unwantedRunSizes.entries }
            .forEach { (run, size) ->
                jobs[run.task.job]?.job?.workspace?.let { sums.merge(it, size, ResourceAmounts::plus) }
            }
        return sums
    }

    /**
     * Upper bound on what the workspaces have running without this holder's knowledge: all tasks that an earlier
     * holder may have started, but not more than the executors hold that have not reported yet.
     */
    private fun unconfirmedTasks(): Map<WorkspaceId, ResourceAmounts> {
        val sums = HashMap<WorkspaceId, ResourceAmounts>()
        jobs.all.filter { it.firstAttempt > 1 }.forEach { job ->
            job.job.workspace?.let { sums.merge(it, unconfirmedTasks(job), ResourceAmounts::plus) }
        }
        val room = awaitedCapacity() ?: return sums
        return sums.mapValues { (_, size) -> size.atMost(room) }
    }

    private fun unconfirmedTasks(job: JobState): ResourceAmounts = when {
        job.phase == JobPhase.COMPLETED -> ResourceAmounts.NONE

        // Runs of a job that was cancelled or has failed may not have been stopped yet. Its tasks are not in memory.
        job.phase.ended || job.occurrences.isEmpty() ->
            job.job.steps.fold(ResourceAmounts.NONE) { sum, step -> sum + step.reservedSize * step.count }

        isRecovered(job) -> ResourceAmounts.NONE

        else -> job.occurrences.values.flatMap { it.steps }.fold(ResourceAmounts.NONE) { sum, step ->
            sum + step.reservedSize * step.unstartedCount
        }
    }

    private fun isRecovered(job: JobState) =
        queues[job.job.queue]?.let { recovery.isOverFor(it.id, it.pool) } ?: !recovery.isActive

    private fun awaitedCapacity(): ResourceAmounts? {
        val awaited = recovery.awaitedExecutors ?: return null
        return awaited.fold(ResourceAmounts.NONE) { sum, id ->
            val executor = registry.executors[id]?.takeIf { it.listed } ?: return null
            sum + executor.record.capacity
        }
    }

    private companion object {
        /** A workspace is held back until its cap has allowed all starts for so long. */
        const val HELD_BACK_MILLIS = 1_000L
    }
}
