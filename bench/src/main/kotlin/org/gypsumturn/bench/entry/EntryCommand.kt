// `gypsumturn-bench entry`: throughput and latency of a running entry on loopback against direct calls of the targets
// behind it. The points alternate slice by slice, so that the machine's noise hits all of them.

package org.gypsumturn.bench.entry

import org.gypsumturn.runtime.program.CommandLineExit
import org.gypsumturn.runtime.program.ExitCode
import java.net.http.HttpClient

private const val P50 = 50.0
private const val P99 = 99.0
private const val P999 = 99.9
private const val MICROS_PER_MILLI = 1_000.0

/** Runs the comparison with [args]. It prints figures only; the exit code tells whether all requests were answered. */
internal fun runEntry(args: List<String>, print: (String) -> Unit): Int = try {
    compare(EntryOptions.parse(args), print)
} catch (e: CommandLineExit) {
    print(e.text)
    e.exitCode
}

private fun compare(options: EntryOptions, print: (String) -> Unit): Int {
    val points = pointsOf(options)
    val slice = options.requests / options.slices
    points.forEach {
        it.runUnpaced(slice, options.concurrency)
        it.reset()
    }
    repeat(options.slices) {
        points.forEach { it.runPaced(slice, options.ratePerSecond, options.concurrency) }
    }
    repeat(options.slices) {
        points.forEach { it.runUnpaced(slice, options.concurrency) }
    }
    print("${slice * options.slices} requests a point, in ${options.slices} alternating slices")
    print("at ${options.ratePerSecond} requests a second, from when each fell due:")
    points.forEach { print(lineOf(it.name, it.paced)) }
    print("with ${options.concurrency} senders that each wait for their answer:")
    points.forEach { print(lineOf(it.name, it.unpaced)) }
    val failed = points.sumOf { it.paced.failed.get() + it.unpaced.failed.get() }
    return if (failed == 0) ExitCode.OK else ExitCode.FAILED
}

private fun pointsOf(options: EntryOptions): List<Point> {
    val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    val entry = listOf(options.entry)
    return listOf(
        Point("direct-plain", options.targets, "/bench", false, client),
        Point("entry-plain", entry, "/services/${options.plainService}/bench", false, client),
        Point("direct-keyed", options.targets, "/bench", true, client),
        Point("entry-keyed", entry, "/services/${options.keyedService}/bench", true, client),
    )
}

private fun lineOf(name: String, measured: Measured): String {
    val latency = listOf(P50, P99, P999).joinToString("") {
        "  p%s %8.3f ms".format(
            "$it".removeSuffix(".0"),
            measured.latencyMicros.getValueAtPercentile(it) / MICROS_PER_MILLI,
        )
    }
    return "  %-13s%s  %7.0f/s  failed %d".format(name, latency, measured.perSecond, measured.failed.get())
}
