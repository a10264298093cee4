// What lasts of a job beside the job itself: its phase, which tasks are done, and which attempts have failed.
// Everything else can be read again from the executors.

package org.gypsumturn.batch.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.TaskName

private val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/**
 * Stored progress of a job.
 *
 * @property done numbers of the done tasks, by `occurrence.step`
 * @property failed attempts that failed, by `occurrence.step.index`
 * @property completed occurrences that are complete
 */
@Serializable
public data class ProgressRecord(
    public val phase: JobPhase = JobPhase.QUEUED,
    public val done: Map<String, List<Int>> = emptyMap(),
    public val failed: Map<String, List<Long>> = emptyMap(),
    public val completed: List<Int> = emptyList(),
) {
    /** The record as bytes. */
    public fun encode(): ByteArray = json.encodeToString(serializer(), this).encodeToByteArray()

    public companion object {
        /** The record that [bytes] hold; throws [IllegalArgumentException] where they hold none. */
        public fun decode(bytes: ByteArray): ProgressRecord =
            json.decodeFromString(serializer(), bytes.decodeToString())
    }
}

/** What is to be stored of [job]. An ended job needs its phase only. */
public fun progressOf(job: JobState): ProgressRecord {
    if (job.phase.ended) return ProgressRecord(job.phase)
    val done = HashMap<String, List<Int>>()
    val failed = HashMap<String, List<Long>>()
    for (occurrence in job.occurrences.values) {
        for (step in occurrence.steps) {
            val numbers = step.tasks.filter { it.done }.map { it.index }
            if (numbers.isNotEmpty()) done["${occurrence.number}.${step.index}"] = numbers
            step.tasks.filter { it.failedAttempts.isNotEmpty() }.forEach {
                failed["${occurrence.number}.${step.index}.${it.index}"] = it.failedAttempts.toList()
            }
        }
    }
    return ProgressRecord(job.phase, done, failed, job.completedOccurrences.toList())
}

/** Applies [record] to [job], whose occurrences are begun as far as the record names them. */
public fun applyProgress(job: JobState, record: ProgressRecord, nowMillis: Long) {
    job.phase = record.phase
    job.shownPhase = record.phase
    job.completedOccurrences += record.completed
    record.done.forEach { (place, numbers) ->
        val (occurrence, step) = place.split('.').map { it.toInt() }
        numbers.forEach { index ->
            val task = job.taskBegun(TaskName(job.job.id, occurrence, step, index), nowMillis)
            if (task != null && !task.done) {
                task.done = true
                task.step.doneCount++
            }
        }
    }
    record.failed.forEach { (place, attempts) ->
        val (occurrence, step, index) = place.split('.').map { it.toInt() }
        val task = job.taskBegun(TaskName(job.job.id, occurrence, step, index), nowMillis)
        if (task != null) {
            task.failedAttempts += attempts
            task.attempt = maxOf(task.attempt, attempts.max())
        }
    }
}

/** The task [name], with its occurrence begun. */
internal fun JobState.taskBegun(name: TaskName, nowMillis: Long): Task? {
    if (name.occurrence !in 0 until job.occurrences || name.occurrence in completedOccurrences) return null
    if (name.occurrence !in occurrences) begin(name.occurrence, nowMillis)
    return task(name)
}
