// Upper bounds on the size of the stored progress of a job, by its encoding. They decide which jobs are accepted, how
// many occurrences of a job are under way at once, and how many of its tasks may run or wait after a failure, so that
// the progress always fits into its row.

package org.gypsumturn.batch.state

import org.gypsumturn.batch.model.BatchJob

/** Bytes of the record without any number. */
private const val EMPTY_BYTES = 300L

/** What an entry by `occurrence.step` has beside the two numbers and its content: quotation marks and separators. */
private const val ENTRY_BYTES = 7L

/** A list of attempts of one step: its key, the lowest attempt, and what base64 adds at the end. */
private const val STEP_LIST_BYTES = ENTRY_BYTES + 29

/**
 * One attempt: differences of up to three bytes for the index of its task and of five for its number, one byte for the
 * number of attempts of the task, and a third more for base64.
 */
private const val ATTEMPT_BYTES = 12L

/** Crashes that are stored for one task at most; its job is given up then. */
private const val MAX_CRASHES = 5L

/** Attempts that a long-running task may have: one that crashed its executor and one under way. */
private const val LONG_RUNNING_ATTEMPTS = 2L

/** Number of lists of attempts of a step. */
private const val LISTS = 4

/** Occurrences are added while one of so many parts of the row stays free. */
private const val FREE_PARTS = 5

private const val TASKS_PER_BYTE = 8
private const val BASE64_GROUP_BYTES = 3
private const val BASE64_GROUP_CHARACTERS = 4L

/** Most bytes that a set of numbers below [count] takes, as a list or as a set of bits. */
private fun setBytes(count: Int): Long {
    val bytes = (count + TASKS_PER_BYTE - 1) / TASKS_PER_BYTE
    val asBits = (bytes + BASE64_GROUP_BYTES - 1) / BASE64_GROUP_BYTES * BASE64_GROUP_CHARACTERS
    return minOf(asBits, count * (digits(count) + 1))
}

/** Digits of the largest number below [count]. */
private fun digits(count: Int): Long = (count - 1).toString().length.toLong()

/** Most bytes of [attempts] in the lists of [steps] steps. */
private fun attemptBytes(attempts: Long, steps: Long): Long =
    minOf(attempts, steps * LISTS) * STEP_LIST_BYTES + attempts * ATTEMPT_BYTES

/** The most attempts in the lists of [steps] steps that take no more than [freeBytes]. */
private fun attemptsThatFit(freeBytes: Long, steps: Long): Long {
    val lists = steps * LISTS
    return if (attemptBytes(lists, steps) <= freeBytes) {
        (freeBytes - lists * STEP_LIST_BYTES) / ATTEMPT_BYTES
    } else {
        freeBytes / (STEP_LIST_BYTES + ATTEMPT_BYTES)
    }
}

/** Upper bounds on the size of the progress of [job]. */
public class ProgressSize(private val job: BatchJob) {
    private val baseBytes = EMPTY_BYTES + setBytes(job.occurrences)

    /** Most bytes of the done tasks of one occurrence. The tasks of a long-running step are never done. */
    private val occurrenceBytes = job.steps.filter { !it.longRunning }.sumOf {
        ENTRY_BYTES + digits(job.occurrences) + digits(job.steps.size) + setBytes(it.count)
    }
    private val longRunningTasks = job.steps.filter { it.longRunning }.sumOf { it.count.toLong() }
    private val largestGang = job.steps.filter { it.gang }.maxOfOrNull { it.count } ?: 1

    /** Most bytes with [occurrences] under way, if no attempt of their tasks has to be stored. */
    private fun fixedBytes(occurrences: Long): Long = baseBytes + occurrences * occurrenceBytes

    /**
     * Attempts that must always find room, so that one task, or one gang, can be run to its end while no other finite
     * task of the job runs. The job fails with [maxAttempts] failures of a task.
     */
    private fun reservedAttempts(maxAttempts: Int): Long = largestGang * (maxAttempts + MAX_CRASHES)

    /**
     * The least row in which the progress fits, whichever tasks fail. Finite occurrences can wait for each other. The
     * tasks of long-running steps all run at once, in all occurrences.
     */
    public fun requiredBytes(maxAttempts: Int): Long {
        val occurrences = if (longRunningTasks > 0) job.occurrences.toLong() else 1L
        val attempts = reservedAttempts(maxAttempts) + occurrences * longRunningTasks * LONG_RUNNING_ATTEMPTS
        return fixedBytes(occurrences) + attemptBytes(attempts, occurrences * job.steps.size)
    }

    /** Whether [occurrences] occurrences under way leave a fifth of a row of [maxBytes] bytes free for attempts. */
    public fun mayBeUnderWay(occurrences: Int, maxBytes: Long): Boolean =
        fixedBytes(occurrences.toLong()) <= maxBytes - maxBytes / FREE_PARTS

    /**
     * Number of further runs of tasks of [state], which is a state of the job, that may be started so that its progress
     * fits into a row of [maxBytes] bytes, whichever of its runs fail. It is 0 or less if only one task, or one gang,
     * may run at a time.
     */
    public fun roomForRuns(state: JobState, maxAttempts: Int, maxBytes: Long): Long {
        val occurrences = state.occurrences.size.toLong()
        val freeBytes = maxBytes - fixedBytes(occurrences)
        val room = attemptsThatFit(freeBytes, occurrences * job.steps.size) - reservedAttempts(maxAttempts)
        // Most jobs have so few tasks that their attempts need not be counted.
        val mostAttempts = occurrences * state.tasksPerOccurrence * (maxAttempts + MAX_CRASHES)
        return if (mostAttempts <= room) Long.MAX_VALUE else room - openAttempts(state)
    }
}

/** Attempts that are stored with the progress of [job], or may be once the runs have ended that are under way. */
private fun openAttempts(job: JobState): Long = job.occurrences.values.sumOf { occurrence ->
    occurrence.steps.sumOf { step ->
        step.tasks.sumOf { if (it.done) 0L else (it.failedAttempts.size + it.crashes.total + it.runs.size).toLong() }
    }
}
