// What a run is judged by.

package org.gypsumturn.bench.requests

import org.HdrHistogram.Histogram
import org.gypsumturn.model.Priority

private const val SIGNIFICANT_DIGITS = 3
private const val PERCENT = 100.0

/** Counters and histograms of one run. */
internal class Tally {
    /** Time from arrival to the first start on an executor, by priority. */
    val queueMicros: Map<Priority, Histogram> = Priority.entries.associateWith { Histogram(SIGNIFICANT_DIGITS) }

    val calls = ArrayList<Call>()
    var exchanges = 0L
    var firstExchanges = 0L
    var overloads = 0L
    var answeredInTime = 0L
    var crossed = 0L
    var maxGrantExcess = 0
    var longestExcessMicros = 0L
    var decisions = 0L
    var decisionNanos = 0L
    private var idleSamples = 0L
    private var idleWhileWaiting = 0.0

    fun started(call: Call, nowMicros: Long) {
        if (call.startedMicros >= 0) return
        call.startedMicros = nowMicros
        queueMicros.getValue(call.priority).recordValue(nowMicros - call.arrivedMicros)
    }

    /** Adds a sample of the share of slots that are idle although work waits for them. */
    fun sampleIdle(idle: Int, waiting: Int, slots: Int) {
        idleSamples++
        idleWhileWaiting += minOf(idle, waiting).toDouble() / slots
    }

    val idlePercent: Double get() = PERCENT * idleWhileWaiting / maxOf(idleSamples, 1)

    val overloadPercent: Double get() = PERCENT * overloads / maxOf(exchanges, 1)

    val retryShare: Double get() = (exchanges - overloads - firstExchanges).toDouble() / maxOf(firstExchanges, 1)

    fun queueMillis(priority: Priority, percentile: Double): Double =
        queueMicros.getValue(priority).getValueAtPercentile(percentile) / MICROS_PER_MILLI.toDouble()

    /** Calls without a reply although their caller and their entry were there. */
    val lost: Int get() = calls.count { it.replies == 0 && !it.callerLeft && !it.entryDied }

    /** Requests that must not be repeated and ran more than once, and second replies. */
    val doubled: Int
        get() {
            val byKey = calls.filter { it.key != null }.groupBy { it.key }
            val twice = byKey.values.count { same -> same.sumOf { it.runs } > 1 }
            return twice + calls.count { it.key == null && !it.idempotent && it.runs > 1 } +
                calls.count { it.replies > 1 }
        }

    /** Longest time from a deadline to the reply. */
    val latestReplyMillis: Double
        get() = calls.filter { it.replies > 0 }
            .maxOf { it.repliedMicros - it.deadlineMicros }
            .coerceAtLeast(0)
            .toDouble() / MICROS_PER_MILLI

    /** Calls that were told "not run" and ran. */
    val falselyNotRun: Int get() = calls.count { it.notRun && it.runs > 0 }

    /** Share of the calls of [priority] that were told "not run". */
    fun notRunPercent(priority: Priority): Double {
        val all = calls.filter { it.priority == priority }
        return PERCENT * all.count { it.notRun } / maxOf(all.size, 1)
    }
}
