// Waiting jobs of a pool: a queue for each priority and team, in the order of acceptance. Adding and removing a job
// takes constant time, so that a wave of cancellations is cheap.

package org.gypsumturn.placement

import org.gypsumturn.model.JobId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId

/** The waiting jobs of one pool. */
internal class JobQueues {
    private val byPriority = Priority.entries.associateWith { HashMap<TeamId, LinkedHashMap<JobId, WaitingJob>>() }
    private val byId = HashMap<JobId, WaitingJob>()

    val size: Int get() = byId.size

    fun add(job: WaitingJob) {
        remove(job.spec.id)
        byId[job.spec.id] = job
        byPriority.getValue(job.spec.priority).getOrPut(job.spec.team) { LinkedHashMap() }[job.spec.id] = job
    }

    fun remove(id: JobId): WaitingJob? {
        val job = byId.remove(id) ?: return null
        val teams = byPriority.getValue(job.spec.priority)
        val queue = teams.getValue(job.spec.team)
        queue.remove(id)
        if (queue.isEmpty()) teams.remove(job.spec.team)
        return job
    }

    operator fun contains(id: JobId): Boolean = id in byId

    fun isEmpty(priority: Priority): Boolean = byPriority.getValue(priority).isEmpty()

    /** Teams with jobs of [priority]. */
    fun teams(priority: Priority): Set<TeamId> = byPriority.getValue(priority).keys

    /** The first [max] jobs of [team] at [priority]. */
    fun heads(priority: Priority, team: TeamId, max: Int): List<WaitingJob> =
        byPriority.getValue(priority)[team]?.values?.take(max).orEmpty()

    /** Heads of all queues of [priority]. */
    fun oldest(priority: Priority): List<WaitingJob> = byPriority.getValue(priority).values.map { it.values.first() }
}
