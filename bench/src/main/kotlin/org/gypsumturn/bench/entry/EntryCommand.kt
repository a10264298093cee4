// `gypsumturn-bench entry`: compares throughput and latency of a running entry on loopback with direct calls to the
// targets behind it. The routes alternate slice by slice, so that noise of the machine affects all of them alike.

package org.gypsumturn.bench.entry

import org.gypsumturn.runtime.program.CommandLineExit
import org.gypsumturn.runtime.program.ExitCode
import java.net.http.HttpClient

private const val P50 = 50.0
private const val P99 = 99.0
private const val P999 = 99.9
private const val MICROS_PER_MILLI = 1_000.0

/** Runs the comparison with [args]. The figures have no bounds: the exit code is 0 if all requests were answered. */
internal fun runEntryComparison(args: List<String>, print: (String) -> Unit): Int = try {
    compare(EntryOptions.parse(args), print)
} catch (e: CommandLineExit) {
    print(e.text)
    e.exitCode
}

private fun compare(options: EntryOptions, print: (String) -> Unit): Int {
    val routes = routesOf(options)
    val requestsPerSlice = options.requests / options.slices
    routes.forEach {
        it.runClosedLoop(requestsPerSlice, options.concurrency)
        it.resetStatistics()
    }
    repeat(options.slices) {
        routes.forEach { it.runAtFixedRate(requestsPerSlice, options.ratePerSecond, options.concurrency) }
    }
    repeat(options.slices) {
        routes.forEach { it.runClosedLoop(requestsPerSlice, options.concurrency) }
    }
    print("${requestsPerSlice * options.slices} requests per route, in ${options.slices} alternating slices")
    print("at ${options.ratePerSecond} requests per second, latency from the time at which each request was due:")
    routes.forEach { print(formatLine(it.name, it.fixedRate)) }
    print("with ${options.concurrency} senders that each wait for the answer before the next request:")
    routes.forEach { print(formatLine(it.name, it.closedLoop)) }
    val failed = routes.sumOf { it.fixedRate.failed.get() + it.closedLoop.failed.get() }
    return if (failed == 0) ExitCode.OK else ExitCode.FAILED
}

private fun routesOf(options: EntryOptions): List<MeasuredRoute> {
    val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    val entry = listOf(options.entry)
    return listOf(
        MeasuredRoute("direct-plain", options.targets, "/bench", false, client),
        MeasuredRoute("entry-plain", entry, "/services/${options.plainService}/bench", false, client),
        MeasuredRoute("direct-keyed", options.targets, "/bench", true, client),
        MeasuredRoute("entry-keyed", entry, "/services/${options.keyedService}/bench", true, client),
    )
}

private fun formatLine(name: String, statistics: RouteStatistics): String {
    val latency = listOf(P50, P99, P999).joinToString("") {
        "  p%s %8.3f ms".format(
            "$it".removeSuffix(".0"),
            statistics.latencyMicros.getValueAtPercentile(it) / MICROS_PER_MILLI,
        )
    }
    return "  %-13s%s  %7.0f/s  failed %d".format(name, latency, statistics.answersPerSecond, statistics.failed.get())
}
