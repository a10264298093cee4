// Stored progress of a job: its phase, the tasks that are done, the attempts that failed, and those under which their
// executor crashed or may have crashed. Everything else about a job can be learned again from the executors.

package org.gypsumturn.batch.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.TaskName
import java.util.Base64
import java.util.BitSet

/** Longer lists of numbers are stored as a set of bits. */
private const val MAX_LISTED_NUMBERS = 2_000

private val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/**
 * Stored progress of a job.
 *
 * @property done indices of the done tasks, by `occurrence.step`
 * @property failed numbers of the failed attempts, by `occurrence.step.index`
 * @property crashedAtStart numbers of the attempts whose executor crashed soon after their start, by
 * `occurrence.step.index`; likewise the next two
 * @property crashCleared numbers of the attempts whose executor crashed for another cause
 * @property unresolved numbers of the attempts that may have crashed their executor
 * @property completed numbers of the complete occurrences
 * @property doneBits the done tasks of steps of which many are done, by `occurrence.step`, as a set of bits in base64
 * @property completedBits the complete occurrences if these are many, likewise
 */
@Serializable
public data class ProgressRecord(
    public val phase: JobPhase = JobPhase.QUEUED,
    public val done: Map<String, List<Int>> = emptyMap(),
    public val failed: Map<String, List<Long>> = emptyMap(),
    public val completed: List<Int> = emptyList(),
    public val crashedAtStart: Map<String, List<Long>> = emptyMap(),
    public val crashCleared: Map<String, List<Long>> = emptyMap(),
    public val unresolved: Map<String, List<Long>> = emptyMap(),
    public val doneBits: Map<String, String> = emptyMap(),
    public val completedBits: String = "",
) {
    /** Encodes the record as the value of its row. */
    public fun encode(): ByteArray = json.encodeToString(serializer(), this).encodeToByteArray()

    public companion object {
        /**
         * Decodes a record from the value of its row; throws [IllegalArgumentException] if [bytes] are not an encoded
         * record.
         */
        public fun decode(bytes: ByteArray): ProgressRecord =
            json.decodeFromString(serializer(), bytes.decodeToString())
    }
}

/** Returns the progress of [job] that is to be stored. Of an ended job only the phase is kept. */
public fun progressRecordOf(job: JobState): ProgressRecord {
    if (job.phase.ended) return ProgressRecord(job.phase)
    val done = HashMap<String, List<Int>>()
    for (occurrence in job.occurrences.values) {
        for (step in occurrence.steps) {
            val numbers = step.tasks.filter { it.done }.map { it.index }
            if (numbers.isNotEmpty()) done["${occurrence.number}.${step.index}"] = numbers
        }
    }
    val (long, short) = done.entries.partition { it.value.size > MAX_LISTED_NUMBERS }
    val completed = job.completedOccurrences.toList()
    val hasManyCompleted = completed.size > MAX_LISTED_NUMBERS
    return ProgressRecord(
        job.phase,
        short.associate { it.key to it.value },
        attemptsByTask(job) { it.failedAttempts },
        if (hasManyCompleted) emptyList() else completed,
        attemptsByTask(job) { it.crashes.atStart },
        attemptsByTask(job) { it.crashes.cleared },
        attemptsByTask(job) { it.crashes.unresolved },
        long.associate { it.key to encodeBits(it.value) },
        if (hasManyCompleted) encodeBits(completed) else "",
    )
}

private fun encodeBits(numbers: List<Int>): String {
    val bits = BitSet()
    numbers.forEach(bits::set)
    return Base64.getEncoder().encodeToString(bits.toByteArray())
}

private fun decodeBits(text: String): List<Int> =
    BitSet.valueOf(Base64.getDecoder().decode(text)).stream().toArray().toList()

/**
 * The attempts that [attemptsOf] selects, by `occurrence.step.index` of their task. Tasks without any are left out, and
 * tasks that are done, since they are not started again.
 */
private fun attemptsByTask(job: JobState, attemptsOf: (Task) -> Set<Long>): Map<String, List<Long>> =
    job.occurrences.values.flatMap { it.steps }.flatMap { it.tasks }
        .filter { !it.done && attemptsOf(it).isNotEmpty() }
        .associate { "${it.step.occurrence}.${it.step.index}.${it.index}" to attemptsOf(it).toList() }

/** Applies the stored [record] to [job], and adds the occurrences that the record names. */
public fun applyProgress(job: JobState, record: ProgressRecord, nowMillis: Long) {
    job.phase = record.phase
    job.visiblePhase = record.phase
    job.completedOccurrences += record.completed + decodeBits(record.completedBits)
    val done = record.done.entries.map { it.key to it.value } + record.doneBits.map { it.key to decodeBits(it.value) }
    done.forEach { (place, numbers) ->
        val (occurrence, step) = place.split('.').map { it.toInt() }
        numbers.forEach { index ->
            val task = job.findOrAddTask(TaskName(job.job.id, occurrence, step, index), nowMillis)
            task?.markDone()
        }
    }
    applyAttempts(job, record.failed, nowMillis) { task, attempts -> task.failedAttempts += attempts }
    applyAttempts(job, record.crashedAtStart, nowMillis) { task, attempts -> task.crashes.atStart += attempts }
    applyAttempts(job, record.crashCleared, nowMillis) { task, attempts -> task.crashes.cleared += attempts }
    applyAttempts(job, record.unresolved, nowMillis) { task, attempts -> task.crashes.unresolved += attempts }
}

private fun applyAttempts(
    job: JobState,
    attemptsByTask: Map<String, List<Long>>,
    nowMillis: Long,
    apply: (Task, List<Long>) -> Unit,
) {
    attemptsByTask.forEach { (place, attempts) ->
        val (occurrence, step, index) = place.split('.').map { it.toInt() }
        val task = job.findOrAddTask(TaskName(job.job.id, occurrence, step, index), nowMillis) ?: return@forEach
        apply(task, attempts)
        task.highestAttempt = maxOf(task.highestAttempt, attempts.max())
    }
}

/**
 * Returns the task with [name], adding its occurrence if that is not in memory. Returns null if the occurrence is
 * complete or the name is out of range.
 */
internal fun JobState.findOrAddTask(name: TaskName, nowMillis: Long): Task? {
    if (name.occurrence !in 0 until job.occurrences || name.occurrence in completedOccurrences) return null
    if (name.occurrence !in occurrences) addOccurrence(name.occurrence, nowMillis)
    return task(name)
}
