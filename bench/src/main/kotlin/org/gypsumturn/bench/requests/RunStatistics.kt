// The statistics of one simulation run, and the checks of what callers were told against what really happened.

package org.gypsumturn.bench.requests

import org.HdrHistogram.Histogram
import org.gypsumturn.model.Priority

private const val SIGNIFICANT_DIGITS = 3
private const val PERCENT = 100.0

/** Counters and histograms of one run. */
internal class RunStatistics {
    /** Time from the arrival of a request to its first start on an executor, by priority. */
    val queueMicros: Map<Priority, Histogram> = Priority.entries.associateWith { Histogram(SIGNIFICANT_DIGITS) }

    val calls = ArrayList<Call>()
    var exchanges = 0L
    var firstExchanges = 0L
    var overloadRefusals = 0L
    var answeredInTime = 0L
    var wrongAnswers = 0L
    var maxGrantExcess = 0
    var longestGrantExcessMicros = 0L
    var decisions = 0L
    var decisionNanos = 0L
    private var idleSamples = 0L
    private var idleShareSum = 0.0

    fun recordStart(call: Call, nowMicros: Long) {
        if (call.startedMicros >= 0) return
        call.startedMicros = nowMicros
        queueMicros.getValue(call.priority).recordValue(nowMicros - call.arrivedMicros)
    }

    /** Adds a sample of the share of slots that are idle although requests wait for them. */
    fun recordIdleSample(idle: Int, waiting: Int, slots: Int) {
        idleSamples++
        idleShareSum += minOf(idle, waiting).toDouble() / slots
    }

    val idlePercent: Double get() = PERCENT * idleShareSum / maxOf(idleSamples, 1)

    val overloadPercent: Double get() = PERCENT * overloadRefusals / maxOf(exchanges, 1)

    val retryShare: Double get() = (exchanges - overloadRefusals - firstExchanges).toDouble() / maxOf(firstExchanges, 1)

    fun queueMillis(priority: Priority, percentile: Double): Double =
        queueMicros.getValue(priority).getValueAtPercentile(percentile) / MICROS_PER_MILLI.toDouble()

    /** Number of calls without a reply whose caller did not leave and whose entry did not crash. */
    val unanswered: Int get() = calls.count { it.replies == 0 && !it.callerLeft && !it.entryCrashed }

    /** Number of requests that ran more than once although they must not, plus calls with more than one reply. */
    val duplicates: Int
        get() {
            val byKey = calls.filter { it.key != null }.groupBy { it.key }
            val twice = byKey.values.count { same -> same.sumOf { it.runs } > 1 }
            return twice + calls.count { it.key == null && !it.idempotent && it.runs > 1 } +
                calls.count { it.replies > 1 }
        }

    /** Longest time by which a reply came after the deadline; 0 if all came in time. */
    val latestReplyMillis: Double
        get() = calls.filter { it.replies > 0 }
            .maxOf { it.repliedMicros - it.deadlineMicros }
            .coerceAtLeast(0)
            .toDouble() / MICROS_PER_MILLI

    /** Number of calls that were told "not run" although they ran. */
    val falselyNotRun: Int get() = calls.count { it.notRun && it.runs > 0 }

    /** Percentage of the calls of [priority] that were told "not run". */
    fun notRunPercent(priority: Priority): Double {
        val all = calls.filter { it.priority == priority }
        return PERCENT * all.count { it.notRun } / maxOf(all.size, 1)
    }
}
