// The jobs that the holder knows: which of them have ended, which occurrences are in memory, and which progress is to
// be stored. The number of tasks in memory is bounded; jobs beyond the bound wait without their tasks.

package org.gypsumturn.batch.schedule

import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.QueueId
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.applyProgress
import org.gypsumturn.batch.state.progressRecordOf
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Revision

/**
 * A change of the progress of [job] that is to be stored as change number [changeNumber], if the stored row still has
 * [revision].
 */
public class ProgressChange(
    public val job: JobState,
    public val changeNumber: Long,
    public val revision: Revision,
    public val record: ProgressRecord,
)

/**
 * Jobs known in the term that [epoch] numbers. [onWaitingTasks] is called for each job that may have new tasks to
 * start. The runs of each job are counted in [usage].
 */
internal class JobRegistry(
    private val epoch: Epoch,
    private val usage: WorkspaceUsage = WorkspaceUsage(),
    private val maxProgressBytes: Int = SchedulerSettings.DEFAULT_MAX_PROGRESS_BYTES,
    private val onWaitingTasks: (JobState) -> Unit,
) {
    private val jobsById = HashMap<JobId, JobState>()
    private val changedJobs = LinkedHashSet<JobState>()
    private var lastChangeNumber = 0L

    /** Jobs that have not ended, by queue. */
    private val activeJobsByQueue = HashMap<QueueId, MutableSet<JobState>>()

    /** Repeated jobs that have not ended. The first ones are the next to get memory for an occurrence. */
    private val repeatingJobs = LinkedHashMap<JobState, RemainingOccurrences>()
    private val mutableActiveJobs = LinkedHashSet<JobState>()

    /** Jobs whose tasks are added once there are fewer others in memory, in the order in which they arrived. */
    private val deferredJobs = LinkedHashSet<JobState>()
    private var tasksInMemory = 0L

    /** Jobs that have not ended. */
    val active: Set<JobState> get() = mutableActiveJobs

    /** All jobs in memory, including ended ones whose state is still kept. */
    val all: Collection<JobState> get() = jobsById.values

    /** Whether progress of a job is to be stored. */
    val hasChanges: Boolean get() = changedJobs.isNotEmpty()

    operator fun get(id: JobId): JobState? = jobsById[id]

    fun activeIn(queue: QueueId): Set<JobState> = activeJobsByQueue[queue].orEmpty()

    /** Adds [job] without its tasks. [neverStarted] tells that no earlier holder can have started any of them. */
    fun add(nowMillis: Long, job: BatchJob, revision: Revision, neverStarted: Boolean): JobState {
        val first = if (neverStarted) 1L else epoch.value * SchedulerSettings.ATTEMPTS_PER_EPOCH + 1
        val state = JobState(job, nowMillis, first, job.workspace?.let(usage::counterOf))
        state.revision = revision
        state.onTaskCountChanged = { tasksInMemory += it }
        jobsById[job.id] = state
        return state
    }

    /** Applies the stored [progress] of [state], and adds its tasks as far as memory allows unless it has ended. */
    fun begin(nowMillis: Long, state: JobState, progress: ProgressRecord?) {
        progress?.let { applyProgress(state, it, nowMillis) }
        if (state.phase.ended) {
            state.endedMillis = nowMillis
            return
        }
        mutableActiveJobs += state
        activeJobsByQueue.getOrPut(state.job.queue) { LinkedHashSet() } += state
        if (state.job.repeats > 0) repeatingJobs[state] = RemainingOccurrences(state)
        onWaitingTasks(state)
        if (state.job.repeats == 0 && 0 !in state.occurrences) deferredJobs += state
        addDeferredOccurrences()
    }

    /** Records that [job] has ended in [phase]. */
    fun end(nowMillis: Long, job: JobState, phase: JobPhase) {
        job.phase = phase
        job.endedMillis = nowMillis
        mutableActiveJobs -= job
        repeatingJobs -= job
        deferredJobs -= job
        activeJobsByQueue[job.job.queue]?.remove(job)
        markChanged(job)
    }

    /** Marks the progress of [job] as changed and returns the number of the change. */
    fun markChanged(job: JobState): Long {
        job.latestChangeNumber = ++lastChangeNumber
        changedJobs += job
        return job.latestChangeNumber
    }

    /** Removes and returns at most [limit] changes that are to be stored. */
    fun takeChanges(limit: Int): List<ProgressChange> {
        val taken = changedJobs.take(limit)
        changedJobs -= taken.toSet()
        return taken.map { ProgressChange(it, it.latestChangeNumber, it.revision, progressRecordOf(it)) }
    }

    /** Queues [changes] again, as [BatchScheduler.returnChanges] tells. */
    fun returnChanges(changes: List<ProgressChange>, storedRevisionOf: (JobId) -> Revision?) {
        changes.forEach { change ->
            storedRevisionOf(change.job.job.id)?.let { change.job.revision = it }
            if (change.job.storedChangeNumber < change.job.latestChangeNumber) changedJobs += change.job
        }
    }

    /** Removes and returns at most [limit] ended jobs that were kept for longer than [keptMillis] and are stored. */
    fun takeExpired(nowMillis: Long, keptMillis: Long, limit: Int): List<JobState> {
        val expired = jobsById.values.asSequence()
            .filter {
                it.phase.ended && it.storedChangeNumber >= it.latestChangeNumber &&
                    nowMillis - it.endedMillis > keptMillis
            }
            .take(limit)
            .toList()
        expired.forEach { jobsById.remove(it.job.id) }
        return expired
    }

    /** Whether the tasks of a further occurrence of [job] may be kept in memory. */
    private fun hasMemoryFor(job: JobState): Boolean =
        tasksInMemory + job.job.tasksPerOccurrence <= SchedulerSettings.MAX_TASKS_IN_MEMORY

    /**
     * Whether a further occurrence of [job] may be placed and stored with those in memory. Long-running ones do not
     * end, so that others can't wait for them.
     */
    private fun hasPlaceFor(job: JobState): Boolean = job.longRunning || job.occurrences.isEmpty() ||
        (
            job.occurrences.size < SchedulerSettings.MAX_OCCURRENCES_IN_MEMORY &&
                job.progressSize.mayBeUnderWay(job.occurrences.size + 1, maxProgressBytes.toLong())
            )

    private fun addDeferredOccurrences() {
        deferredJobs.filter(::hasMemoryFor).forEach { job ->
            if (!hasMemoryFor(job)) return@forEach
            deferredJobs -= job
            if (0 !in job.occurrences) job.addOccurrence(0, job.acceptedMillis)
            onWaitingTasks(job)
        }
    }

    /** Adds at most one occurrence of each job, if one is due at [wallMillis], in milliseconds since 1970. */
    fun addDueOccurrences(nowMillis: Long, wallMillis: Long) {
        addDeferredOccurrences()
        val extended = repeatingJobs.filter { (job, remaining) ->
            hasMemoryFor(job) && hasPlaceFor(job) && addDueOccurrence(nowMillis, wallMillis, job, remaining)
        }
        repeatingJobs.keys.removeAll(extended.keys)
        repeatingJobs += extended
    }

    private fun addDueOccurrence(
        nowMillis: Long,
        wallMillis: Long,
        job: JobState,
        remaining: RemainingOccurrences,
    ): Boolean {
        val number = remaining.next() ?: return false
        val dueWallMillis = job.job.startAtMillis + number * job.job.intervalMillis
        if (dueWallMillis > wallMillis) return false
        job.addOccurrence(number, nowMillis + dueWallMillis - wallMillis)
        onWaitingTasks(job)
        return true
    }
}
