// Compares the slot schemes at loads from half to five times the capacity of a pool, while one entry crashes.

package org.gypsumturn.bench.requests

import org.gypsumturn.bench.Report
import org.gypsumturn.model.Priority
import org.gypsumturn.request.DispatchSettings

private val SEEDS = listOf(11L, 12L, 13L)
private val LOADS = listOf(0.5, 0.9, 1.0, 5.0)
private const val FULL_SECONDS = 60
private const val QUICK_SECONDS = 6
private const val MIN_USEFUL_SHARE = 0.9
private const val NANOS_PER_MICRO = 1_000.0

internal fun compareSchemes(report: Report, quick: Boolean) {
    val seeds = if (quick) SEEDS.take(1) else SEEDS
    val seconds = if (quick) QUICK_SECONDS else FULL_SECONDS
    report.remark(
        "slot schemes: 9 entries, 6 executors of 8 slots, log-normal run time of mean 200 ms, $seconds s, one entry " +
            "dies half-way, seeds ${seeds.joinToString()}; worst seed; baselines uncoordinated and static",
    )
    Scheme.entries.forEach { scheme ->
        val usefulAt = LOADS.associateWith { load ->
            val runs = seeds.map { RequestSimulation(schemeScenario(scheme, load, it, seconds)).run() }
            reportScheme(report, scheme, load, runs)
            runs.sumOf { it.answeredInTime }.toDouble() / (seconds * runs.size)
        }
        val share = usefulAt.getValue(5.0) / usefulAt.getValue(1.0)
        val name = figureName(scheme, 5.0, "useful work against that at 1.0")
        if (scheme == Scheme.GRANTED) {
            report.atLeast(name, share, "", MIN_USEFUL_SHARE)
        } else {
            report.figure(name, share, "")
        }
    }
}

private fun schemeScenario(scheme: Scheme, load: Double, seed: Long, seconds: Int) = Scenario(
    scheme = scheme,
    seed = seed,
    seconds = seconds,
    loadAt = { _, _ -> load },
    events = listOf(seconds / 2.0 to { entries[4].crash() }),
)

private fun reportScheme(report: Report, scheme: Scheme, load: Double, runs: List<RunStatistics>) {
    fun worst(what: String, unit: String, of: (RunStatistics) -> Double) =
        report.figure(figureName(scheme, load, what), runs.maxOf(of), unit)
    worst("urgent queue time p50", "ms") { it.queueMillis(Priority.URGENT, 50.0) }
    worst("urgent queue time p99", "ms") { it.queueMillis(Priority.URGENT, 99.0) }
    worst("batch queue time p50", "ms") { it.queueMillis(Priority.BATCH, 50.0) }
    worst("batch queue time p99", "ms") { it.queueMillis(Priority.BATCH, 99.0) }
    worst("slots idle while work waits", "%") { it.idlePercent }
    worst("exchanges refused by executors", "%") { it.overloadPercent }
    worst("urgent requests told not run", "%") { it.notRunPercent(Priority.URGENT) }
    worst("decision", "us") { it.decisionNanos / NANOS_PER_MICRO / it.decisions }
    if (scheme == Scheme.GRANTED) {
        report.atMost(
            figureName(scheme, load, "longest excess of grants over slots"),
            runs.maxOf { it.longestGrantExcessMicros }.toDouble() / MICROS_PER_MILLI,
            "ms",
            DispatchSettings().peerLapseMillis.toDouble(),
        )
    }
}
