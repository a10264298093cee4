// Stored progress of a job: its phase, the tasks that are done, the attempts that failed, and those under which their
// executor crashed or may have crashed. Everything else about a job can be learned again from the executors.

package org.gypsumturn.batch.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.TaskName
import java.util.Base64
import java.util.BitSet

/** Most attempts that are stored as plain lists; more are packed. Earlier versions read only the plain lists. */
private const val MAX_LISTED_ATTEMPTS = 200

/** Bits in a byte, and the characters in which base64 writes a group of bytes. */
private const val BITS_PER_BYTE = 8
private const val BASE64_GROUP_BYTES = 3
private const val BASE64_GROUP_CHARACTERS = 4

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
 * @property doneBits the done tasks of the other steps, by `occurrence.step`, as a set of bits in base64. Each step is
 * stored in the shorter of the two forms
 * @property completedBits the complete occurrences if that is shorter, likewise
 * @property packed the attempts of all lists if these are many: the name of the list, `occurrence.step` and the
 * attempts as [packAttempts] writes them
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
    public val packed: Map<String, Map<String, String>> = emptyMap(),
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
    val (asBits, listed) = done.entries.partition { isShorterAsBits(it.value) }
    val completed = job.completedOccurrences.toList()
    val completedAsBits = isShorterAsBits(completed)
    val tasks = tasksWithAttempts(job)
    val lists = ATTEMPT_LISTS.mapValues { (_, list) ->
        tasks.filter { list.of(it).isNotEmpty() }.associateWith { list.of(it).toList() }
    }
    val isPacked = lists.values.sumOf { list -> list.values.sumOf { it.size } } > MAX_LISTED_ATTEMPTS
    fun plain(name: String) = if (isPacked) emptyMap() else lists.getValue(name).mapKeys { placeOf(it.key) }
    return ProgressRecord(
        job.phase,
        listed.associate { it.key to it.value },
        plain("failed"),
        if (completedAsBits) emptyList() else completed,
        plain("crashedAtStart"),
        plain("crashCleared"),
        plain("unresolved"),
        asBits.associate { it.key to encodeBits(it.value) },
        if (completedAsBits) encodeBits(completed) else "",
        if (isPacked) lists.mapValues { packByStep(it.value) }.filterValues { it.isNotEmpty() } else emptyMap(),
    )
}

/** A list of attempts that is stored for each task: [of] returns it and [add] adds to it. */
private class AttemptList(val of: (Task) -> Set<Long>, val add: (Task, List<Long>) -> Unit)

/** The lists by the names under which they are stored. */
private val ATTEMPT_LISTS = mapOf(
    "failed" to AttemptList({ it.failedAttempts }) { task, attempts -> task.failedAttempts += attempts },
    "crashedAtStart" to AttemptList({ it.crashes.atStart }) { task, attempts -> task.crashes.atStart += attempts },
    "crashCleared" to AttemptList({ it.crashes.cleared }) { task, attempts -> task.crashes.cleared += attempts },
    "unresolved" to AttemptList({ it.crashes.unresolved }) { task, attempts -> task.crashes.unresolved += attempts },
)

private fun placeOf(task: Task) = "${task.step.occurrence}.${task.step.index}.${task.index}"

private fun packByStep(attempts: Map<Task, List<Long>>): Map<String, String> =
    attempts.entries.groupBy { "${it.key.step.occurrence}.${it.key.step.index}" }
        .mapValues { (_, tasks) -> packAttempts(tasks.associate { it.key.index to it.value }) }

/** Whether [numbers], which are not negative, take fewer characters as a set of bits than as a list. */
private fun isShorterAsBits(numbers: List<Int>): Boolean {
    val highest = numbers.maxOrNull() ?: return false
    val bytes = highest / BITS_PER_BYTE + 1
    val bitCharacters = (bytes + BASE64_GROUP_BYTES - 1) / BASE64_GROUP_BYTES * BASE64_GROUP_CHARACTERS
    // Each number of a list takes a digit and a comma at least.
    return bitCharacters < 2 * numbers.size || bitCharacters < numbers.sumOf { it.toString().length + 1 }
}

private fun encodeBits(numbers: List<Int>): String {
    val bits = BitSet()
    numbers.forEach(bits::set)
    return Base64.getEncoder().encodeToString(bits.toByteArray())
}

private fun decodeBits(text: String): List<Int> =
    BitSet.valueOf(Base64.getDecoder().decode(text)).stream().toArray().toList()

/** The tasks of [job] with attempts that are to be stored. Tasks that are done are not started again. */
private fun tasksWithAttempts(job: JobState): List<Task> = job.occurrences.values.flatMap { it.steps }.flatMap { step ->
    step.tasks.filter { !it.done && (it.failedAttempts.isNotEmpty() || it.crashes.total > 0) }
}

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
    val plain = mapOf(
        "failed" to record.failed,
        "crashedAtStart" to record.crashedAtStart,
        "crashCleared" to record.crashCleared,
        "unresolved" to record.unresolved,
    )
    ATTEMPT_LISTS.forEach { (name, list) ->
        plain.getValue(name).forEach { (place, attempts) ->
            val (occurrence, step, index) = place.split('.').map { it.toInt() }
            applyAttempts(job, TaskName(job.job.id, occurrence, step, index), attempts, nowMillis, list)
        }
        record.packed[name].orEmpty().forEach { (place, text) ->
            val (occurrence, step) = place.split('.').map { it.toInt() }
            unpackAttempts(text).forEach { (index, attempts) ->
                applyAttempts(job, TaskName(job.job.id, occurrence, step, index), attempts, nowMillis, list)
            }
        }
    }
}

private fun applyAttempts(job: JobState, name: TaskName, attempts: List<Long>, nowMillis: Long, list: AttemptList) {
    val task = job.findOrAddTask(name, nowMillis) ?: return
    list.add(task, attempts)
    task.highestAttempt = maxOf(task.highestAttempt, attempts.max())
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
