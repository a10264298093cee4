// Limits on the jobs that are accepted. The holder of the control lease keeps each task of a due occurrence in memory,
// and stores the progress of a job in one row.

package org.gypsumturn.batch.model

import org.gypsumturn.batch.state.ProgressSize

/** Limits for a store whose rows hold values of at most [maxRowBytes] bytes. */
public class JobLimits(private val maxRowBytes: Int) {
    /** Most tasks of one occurrence, and most occurrences. */
    private val maxTasks = minOf(MAX_TASKS, maxRowBytes / PARTS_OF_PROGRESS_ROW * TASKS_PER_ROW_BYTE)

    /**
     * Returns which limit [job], whose row has [rowBytes] bytes, exceeds, in words for the caller; null if it exceeds
     * none. A job fails with [maxAttempts] failures of a task.
     */
    public fun exceededBy(job: BatchJob, rowBytes: Int, maxAttempts: Int): String? = when {
        job.steps.size > MAX_STEPS -> "the job has ${job.steps.size} steps; the limit is $MAX_STEPS"

        job.tasksPerOccurrence > maxTasks ->
            "the steps of the job have ${job.tasksPerOccurrence} tasks; the limit is $maxTasks"

        job.occurrences > maxTasks -> "the job has ${job.occurrences} occurrences; the limit is $maxTasks"

        rowBytes > maxRowBytes -> "the job takes $rowBytes bytes in the store; the limit is $maxRowBytes"

        else -> ProgressSize(job).requiredBytes(maxAttempts).takeIf { it > maxRowBytes }?.let { bytes ->
            "the progress of the job may take $bytes bytes in the store; the limit is $maxRowBytes"
        }
    }

    private companion object {
        const val MAX_TASKS = 100_000
        const val MAX_STEPS = 1_000

        /** Encoded as a set of bits, this many tasks that are done take one byte of the row of the progress. */
        const val TASKS_PER_ROW_BYTE = 6

        /** The row has more than the tasks that are done: steps, and attempts that have failed. */
        const val PARTS_OF_PROGRESS_ROW = 4
    }
}
