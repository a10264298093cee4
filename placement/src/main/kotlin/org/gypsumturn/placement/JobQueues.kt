// The waiting jobs of a pool: one queue for each priority and team. A queue is ordered by the time of acceptance plus a
// multiple of the expected run time, so short jobs go first and long ones are not starved.

package org.gypsumturn.placement

import org.gypsumturn.model.JobId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import java.util.TreeMap

/** The waiting jobs of one pool. Adding and removing a job takes logarithmic time. */
internal class JobQueues {
    private data class QueuePosition(val orderMillis: Long, val id: JobId) : Comparable<QueuePosition> {
        override fun compareTo(other: QueuePosition): Int = compareValuesBy(this, other, { it.orderMillis }, { it.id })
    }

    private class QueuedJob(val job: WaitingJob, val position: QueuePosition)

    private val byPriority = Priority.entries.associateWith { HashMap<TeamId, TreeMap<QueuePosition, WaitingJob>>() }
    private val byId = HashMap<JobId, QueuedJob>()

    val size: Int get() = byId.size

    /** Adds [job] to its queue, ordered by [orderMillis]; lower values go first. */
    fun add(job: WaitingJob, orderMillis: Long) {
        remove(job.spec.id)
        val position = QueuePosition(orderMillis, job.spec.id)
        byId[job.spec.id] = QueuedJob(job, position)
        byPriority.getValue(job.spec.priority).getOrPut(job.spec.team) { TreeMap() }[position] = job
    }

    fun remove(id: JobId): WaitingJob? {
        val queued = byId.remove(id) ?: return null
        val teams = byPriority.getValue(queued.job.spec.priority)
        val queue = teams.getValue(queued.job.spec.team)
        queue.remove(queued.position)
        if (queue.isEmpty()) teams.remove(queued.job.spec.team)
        return queued.job
    }

    fun isEmpty(priority: Priority): Boolean = byPriority.getValue(priority).isEmpty()

    /** Teams with waiting jobs of [priority]. */
    fun teams(priority: Priority): Set<TeamId> = byPriority.getValue(priority).keys

    /** The first [max] jobs of [team] at [priority]. */
    fun firstJobs(priority: Priority, team: TeamId, max: Int): List<WaitingJob> =
        byPriority.getValue(priority)[team]?.values?.take(max).orEmpty()

    /** The first job of each queue of [priority]. */
    fun queueHeads(priority: Priority): List<WaitingJob> =
        byPriority.getValue(priority).values.map { it.firstEntry().value }
}
