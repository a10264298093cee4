// Measures urgent requests while batch requests exceed the capacity of the pool, and five services of which one at a
// time has five times its mean load.

package org.gypsumturn.bench.requests

import org.gypsumturn.bench.Report
import org.gypsumturn.model.Priority

private const val URGENT_START_MILLIS = 2_400.0
private const val SEED = 21L
private const val FULL_SECONDS = 120
private const val QUICK_SECONDS = 6
private const val SERVICES = 5
private const val MEAN_LOAD = 0.4
private const val PEAK_LOAD = 5 * MEAN_LOAD
private const val LOW_LOAD = MEAN_LOAD / 20

private val FLOOD_CLASSES = listOf(
    RequestClass(Priority.URGENT, share = 0.1, deadlineMillis = 5_000),
    RequestClass(Priority.BATCH, share = 0.9, deadlineMillis = 30_000),
)

internal fun measureFlood(report: Report, quick: Boolean) {
    val seconds = if (quick) QUICK_SECONDS else FULL_SECONDS
    report.remark("batch floods: 4.5 times what the pool holds, urgent 0.5 times, $seconds s, seed $SEED")
    listOf(Scheme.UNCOORDINATED, Scheme.GRANTED).forEach { scheme ->
        val statistics = RequestSimulation(
            Scenario(scheme, SEED, seconds, loadAt = { _, _ -> 5.0 }, classes = FLOOD_CLASSES),
        ).run()
        val name = "flood, ${scheme.name.lowercase()}:"
        report.figure("$name urgent start p99", statistics.queueMillis(Priority.URGENT, 99.0), "ms")
        val longest = statistics.queueMillis(Priority.URGENT, 100.0)
        val refused = statistics.notRunPercent(Priority.URGENT)
        if (scheme == Scheme.GRANTED) {
            report.atMost("$name urgent start max", longest, "ms", URGENT_START_MILLIS)
            report.atMost("$name urgent told not run", refused, "%", 0.0)
        } else {
            report.figure("$name urgent start max (baseline)", longest, "ms")
            report.figure("$name urgent told not run (baseline)", refused, "%")
        }
    }
}

internal fun measureDemandInTurn(report: Report, quick: Boolean) {
    val seconds = if (quick) QUICK_SECONDS else FULL_SECONDS
    report.remark(
        "five services of 6 to 9 executors; each in turn asks for five times its mean, twice what its pool holds, " +
            "and for a twentieth of its mean otherwise; $seconds s, seed $SEED",
    )
    Scheme.entries.forEach { scheme ->
        val statistics = RequestSimulation(
            Scenario(
                scheme = scheme,
                seed = SEED,
                seconds = seconds,
                executorsPerService = listOf(6, 7, 8, 9, 6),
                loadAt = { service, atSeconds -> loadWhenInTurn(service, atSeconds, seconds) },
            ),
        ).run()
        val name = "in turn, ${scheme.name.lowercase()}:"
        report.figure("$name urgent queue time p99", statistics.queueMillis(Priority.URGENT, 99.0), "ms")
        report.figure("$name batch queue time p99", statistics.queueMillis(Priority.BATCH, 99.0), "ms")
        report.figure("$name exchanges refused by executors", statistics.overloadPercent, "%")
        report.figure("$name useful answers", statistics.answeredInTime.toDouble() / seconds, "per s")
    }
}

private fun loadWhenInTurn(service: Int, atSeconds: Double, seconds: Int): Double {
    val turn = (atSeconds * SERVICES / seconds).toInt()
    return if (turn == service) PEAK_LOAD else LOW_LOAD
}
