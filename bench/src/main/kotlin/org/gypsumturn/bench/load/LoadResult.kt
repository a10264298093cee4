// The result of a run, formatted as a table for people or as JSON for programs, and the remarks on its calls.

package org.gypsumturn.bench.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.HdrHistogram.Histogram
import org.gypsumturn.model.Priority

/** Result of a run. [interrupted] counts the executions that a reboot cut short; [remarks] explain the counts. */
@Serializable
public data class LoadResult(
    public val counts: List<LoadCounts>,
    public val interrupted: Int,
    public val remarks: List<String>,
) {
    /** Whether every promise to callers was kept. */
    public val holds: Boolean get() = counts.all { it.holds }

    /** The result as text in [format]. */
    public fun format(format: ResultFormat): String =
        if (format == ResultFormat.JSON) Json { prettyPrint = true }.encodeToString(this) else table()

    private fun table(): String {
        val lines = listOf(HEADINGS) + counts.map(::row)
        val widths = HEADINGS.indices.map { column -> lines.maxOf { it[column].length } }
        val grid = lines.map { line ->
            line.mapIndexed { column, text ->
                if (column ==
                    0
                ) {
                    text.padEnd(widths[0])
                } else {
                    text.padStart(widths[column])
                }
            }
                .joinToString("  ")
        }
        val verdict = if (holds) "nothing lost, doubled or crossed" else "BROKEN: see lost, doubled, crossed, false"
        val footer = listOf("cut by a reboot: $interrupted", verdict) + remarks
        return (grid + footer).joinToString("\n")
    }

    private fun row(counts: LoadCounts): List<String> = with(counts) {
        val numbers = listOf(sent, answered, notRun, mayHaveRun, lost, doubled, crossed, falselyNotRun)
        listOf(kind) + numbers.map { "$it" } + listOf("$p50Millis ms", "$p99Millis ms")
    }

    private companion object {
        val HEADINGS = listOf(
            "calls",
            "sent",
            "answered",
            "not run",
            "may have run",
            "lost",
            "doubled",
            "crossed",
            "false not run",
            "p50",
            "p99",
        )
    }
}

private const val MAX_REMARKS = 20
private const val MAX_REASON_LENGTH = 160

/**
 * Remarks on latencies, on the calls without an answer by reason, most frequent first, and on jobs that did not end.
 */
internal fun remarksOn(sent: List<SentRequest>, jobs: List<SubmittedJob>): List<String> {
    val calls = sent.map { it.call } + jobs.map { it.submission }
    val reasons = calls.filter {
        it.outcome != CallOutcome.ANSWERED
    }.groupingBy { "${it.outcome}: ${reasonOf(it)}" }.eachCount()
    val unfinished = jobs.filter { it.submission.outcome == CallOutcome.ANSWERED && it.doneMillis == null }
    return sendDelays(sent.map { it.call }) +
        startDelays(jobs) +
        reasons.entries.sortedByDescending { it.value }.take(MAX_REMARKS).map { "${it.value} x ${it.key}" } +
        unfinished.take(MAX_REMARKS).map { "job ${it.spec.id} has not ended: ${it.record?.state} ${it.record?.reason}" }
}

// Latencies count from when a call fell due, so they include the time in which it waited for a sender thread of this
// tool.
private fun sendDelays(calls: List<FinishedCall>): List<String> =
    percentileRemark("part of the latency, waiting for a free sender", calls.map { it.sendDelayMillis })

private fun startDelays(jobs: List<SubmittedJob>): List<String> = Priority.entries.flatMap { priority ->
    val records = jobs.mapNotNull { it.record }.filter { it.spec.priority == priority && it.assignedAtMillis > 0 }
    val waits = records.map { it.assignedAtMillis - it.acceptedAtMillis }
    percentileRemark("${priority.name.lowercase()} jobs, from acceptance to the last assignment", waits)
}

private fun percentileRemark(name: String, millis: List<Long>): List<String> {
    if (millis.isEmpty()) return emptyList()
    val histogram = Histogram(3)
    millis.forEach { histogram.recordValue(it.coerceAtLeast(0)) }
    val p50 = histogram.getValueAtPercentile(50.0)
    val p99 = histogram.getValueAtPercentile(99.0)
    return listOf("$name: p50 $p50 ms, p99 $p99 ms")
}

private fun reasonOf(call: FinishedCall): String = when (val last = call.history.last()) {
    is Reply.Ran -> ""
    is Reply.NotRun -> last.reason
    is Reply.MayHaveRun -> last.reason
    is Reply.NoConnection -> last.reason
    is Reply.Broken -> last.reason
}.take(MAX_REASON_LENGTH)
