// Parses the payload of a simulated task, such as `run_millis=500 cpu_milli=1000 memory_mib=512 fail=false`, and its
// checkpoint.

package org.gypsumturn.standin.worker

import org.gypsumturn.model.Capacity

private const val DEFAULT_RUN_MILLIS = 100L
private const val DEFAULT_CPU_MILLI = 500L
private const val DEFAULT_MEMORY_MIB = 128L
private const val DONE_MILLIS = "done_millis"

/** Run time and usage of a task, and whether it fails. Missing or malformed values get defaults. */
internal data class TaskPayload(val runMillis: Long, val usage: Capacity, val fails: Boolean) {
    companion object {
        fun parse(text: String): TaskPayload {
            val values = fieldsOf(text)
            return TaskPayload(
                values["run_millis"]?.toLongOrNull() ?: DEFAULT_RUN_MILLIS,
                Capacity(
                    values["cpu_milli"]?.toLongOrNull() ?: DEFAULT_CPU_MILLI,
                    values["memory_mib"]?.toLongOrNull() ?: DEFAULT_MEMORY_MIB,
                ),
                values["fail"].toBoolean(),
            )
        }
    }
}

/** Checkpoint of a task that has completed [doneMillis] of its run time. */
internal fun checkpointText(doneMillis: Long): String = "$DONE_MILLIS=$doneMillis"

/** Completed run time that [checkpoint] contains; 0 without a checkpoint. */
internal fun doneMillisOf(checkpoint: String?): Long = fieldsOf(checkpoint.orEmpty())[DONE_MILLIS]?.toLongOrNull() ?: 0

private fun fieldsOf(text: String): Map<String, String> = text
    .split(Regex("\\s+"))
    .filter { '=' in it }
    .associate { it.substringBefore('=') to it.substringAfter('=') }
