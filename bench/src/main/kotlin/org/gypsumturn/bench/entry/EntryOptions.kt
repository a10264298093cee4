// Command-line options of the comparison of a running entry with direct calls to its targets.

package org.gypsumturn.bench.entry

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.gypsumturn.runtime.program.CommandLineExit
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.runtime.program.throwOnExit
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.settings.parseAddresses

/**
 * Which requests to send, at which rate, and to which addresses.
 *
 * @property targets addresses of targets that serve both services, for the direct calls
 * @property requests number of requests on each route in each of the two measurements
 * @property slices parts into which these requests are divided, so that the routes can alternate
 * @property concurrency number of senders on a route, each with at most one open request
 */
internal data class EntryOptions(
    val entry: HostAndPort,
    val targets: List<HostAndPort>,
    val plainService: String,
    val keyedService: String,
    val requests: Int,
    val slices: Int,
    val ratePerSecond: Int,
    val concurrency: Int,
) {
    internal companion object {
        fun parse(args: List<String>): EntryOptions = EntryArguments(args).toOptions()
    }
}

private class EntryArguments(args: List<String>) {
    private val parser = ArgParser("gypsumturn-bench entry").also { it.throwOnExit() }
    private val entry by text("entry", "address of the entry: ip:port").required()
    private val targets by text("targets", "addresses of targets: ip:port[,ip:port...]").required()
    private val plain by text("plain-service", "service whose requests are idempotent").default("plans")
    private val keyed by text("keyed-service", "service whose requests carry an idempotency key").default("orders")
    private val requests by number("requests", "number of requests on each route").default(4_000)
    private val slices by number("slices", "parts of each route's requests; the routes alternate").default(8)
    private val rate by number("rate-per-second", "requests that fall due each second").default(800)
    private val concurrency by number("concurrency", "requests that wait for an answer at once").default(32)

    init {
        parser.parse(args.toTypedArray())
    }

    fun toOptions(): EntryOptions {
        val countsAreValid = listOf(slices, rate, concurrency).all { it >= 1 } && requests >= slices
        if (!countsAreValid) {
            throw CommandLineExit("all counts must be at least 1, and --requests at least --slices", ExitCode.USAGE)
        }
        return EntryOptions(
            addresses("entry", entry).first(),
            addresses("targets", targets),
            plain,
            keyed,
            requests,
            slices,
            rate,
            concurrency,
        )
    }

    private fun text(name: String, description: String) = parser.option(ArgType.String, name, description = description)

    private fun number(name: String, description: String) = parser.option(ArgType.Int, name, description = description)

    private fun addresses(name: String, text: String): List<HostAndPort> {
        val parsed = parseAddresses(text).orEmpty()
        if (parsed.isEmpty()) throw CommandLineExit("--$name: bad value \"$text\"; allowed: ip:port", ExitCode.USAGE)
        return parsed
    }
}
