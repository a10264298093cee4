// What a simulated task does, as written in its payload: `run_millis=500 cpu_milli=1000 memory_mib=512 fail=false`.

package org.gypsumturn.standin.worker

import org.gypsumturn.model.Capacity

private const val DEFAULT_RUN_MILLIS = 100L
private const val DEFAULT_CPU_MILLI = 500L
private const val DEFAULT_MEMORY_MIB = 128L
private const val DONE_MILLIS = "done_millis"

/** Run time, usage and end of a task. What the payload does not name has a default. */
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

/** The checkpoint of a task that has done [doneMillis] of its run time. */
internal fun checkpointText(doneMillis: Long): String = "$DONE_MILLIS=$doneMillis"

/** The run time that [checkpoint] saves. */
internal fun doneMillisOf(checkpoint: String?): Long = fieldsOf(checkpoint.orEmpty())[DONE_MILLIS]?.toLongOrNull() ?: 0

private fun fieldsOf(text: String): Map<String, String> = text
    .split(Regex("\\s+"))
    .filter { '=' in it }
    .associate { it.substringBefore('=') to it.substringAfter('=') }
