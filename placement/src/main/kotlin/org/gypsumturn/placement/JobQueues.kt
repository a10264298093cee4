// Waiting jobs of a pool: a queue for each priority and team. Within a queue the turn of a job is the time of its
// acceptance plus a multiple of its expected run time, so short jobs go first and long ones still get their turn.

package org.gypsumturn.placement

import org.gypsumturn.model.JobId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId
import java.util.TreeMap

/** The waiting jobs of one pool. Adding and removing a job takes logarithmic time. */
internal class JobQueues {
    private data class Turn(val atMillis: Long, val id: JobId) : Comparable<Turn> {
        override fun compareTo(other: Turn): Int = compareValuesBy(this, other, { it.atMillis }, { it.id })
    }

    private class Entry(val job: WaitingJob, val turn: Turn)

    private val byPriority = Priority.entries.associateWith { HashMap<TeamId, TreeMap<Turn, WaitingJob>>() }
    private val byId = HashMap<JobId, Entry>()

    val size: Int get() = byId.size

    /** Adds [job], whose turn comes at [turnMillis]. */
    fun add(job: WaitingJob, turnMillis: Long) {
        remove(job.spec.id)
        val turn = Turn(turnMillis, job.spec.id)
        byId[job.spec.id] = Entry(job, turn)
        byPriority.getValue(job.spec.priority).getOrPut(job.spec.team) { TreeMap() }[turn] = job
    }

    fun remove(id: JobId): WaitingJob? {
        val entry = byId.remove(id) ?: return null
        val teams = byPriority.getValue(entry.job.spec.priority)
        val queue = teams.getValue(entry.job.spec.team)
        queue.remove(entry.turn)
        if (queue.isEmpty()) teams.remove(entry.job.spec.team)
        return entry.job
    }

    fun isEmpty(priority: Priority): Boolean = byPriority.getValue(priority).isEmpty()

    /** Teams with jobs of [priority]. */
    fun teams(priority: Priority): Set<TeamId> = byPriority.getValue(priority).keys

    /** The first [max] jobs of [team] at [priority]. */
    fun heads(priority: Priority, team: TeamId, max: Int): List<WaitingJob> =
        byPriority.getValue(priority)[team]?.values?.take(max).orEmpty()

    /** Heads of all queues of [priority]. */
    fun first(priority: Priority): List<WaitingJob> = byPriority.getValue(priority).values.map { it.firstEntry().value }
}
