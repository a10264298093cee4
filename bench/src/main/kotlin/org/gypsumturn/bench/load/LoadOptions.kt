// The command line options of the load tool.

package org.gypsumturn.bench.load

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.delimiter
import kotlinx.cli.required
import org.gypsumturn.runtime.program.CommandLineExit
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.runtime.program.throwOnExit
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.settings.parseAddresses

/** Output format of the result. */
public enum class ResultFormat { TABLE, JSON }

/**
 * The options of one load run.
 *
 * @property requests largest number of requests; fewer if [durationMillis] ends first
 * @property ratePerSecond requests that fall due each second
 * @property retryWindowMillis time from when a call falls due within which it may be repeated
 * @property faults the faults that are set at the stand-in during the run
 * @property jobWaitMillis time after the last submission in which accepted jobs must end
 */
public data class LoadOptions(
    public val entries: List<HostAndPort>,
    public val standin: HostAndPort,
    public val idempotentServices: List<String>,
    public val keyedServices: List<String>,
    public val team: String,
    public val requests: Int,
    public val ratePerSecond: Int,
    public val concurrency: Int,
    public val durationMillis: Long,
    public val timeoutMillis: Long,
    public val retryWindowMillis: Long,
    public val maxWorkMillis: Int,
    public val jobs: Int,
    public val jobPool: String,
    public val jobWaitMillis: Long,
    public val faults: List<ScheduledFault>,
    public val seed: Long,
    public val format: ResultFormat,
) {
    internal companion object {
        fun parse(args: List<String>): LoadOptions = LoadArguments(args).toOptions()
    }
}

private class LoadArguments(args: List<String>) {
    private val parser = ArgParser("gypsumturn-bench load").also { it.throwOnExit() }
    private val entries by text("entries", "addresses of entries: ip:port[,ip:port...]").required()
    private val standin by text("standin", "address of the stand-in: ip:port").required()
    private val idempotent by text("idempotent-services", "services whose requests are idempotent").delimiter(",")
    private val keyed by text("keyed-services", "services whose requests carry an idempotency key").delimiter(",")
    private val team by text("team", "team of the requests and jobs").default("load")
    private val requests by number("requests", "largest number of requests").default(1_000)
    private val rate by number("rate-per-second", "requests that fall due each second").default(100)
    private val concurrency by number("concurrency", "number of requests in flight at most").default(64)
    private val duration by number("duration-millis", "time after which no more requests are sent").default(30_000)
    private val timeout by number("timeout-millis", "time limit of one attempt").default(5_000)
    private val retryWindow by number("retry-window-millis", "time within which a call is repeated").default(15_000)
    private val maxWork by number("max-work-millis", "longest service time requested from a target").default(40)
    private val jobs by number("jobs", "number of jobs").default(0)
    private val jobPool by text("job-pool", "pool of the jobs").default("")
    private val jobWait by number("job-wait-millis", "time limit for accepted jobs to end").default(30_000)
    private val faults by text(
        "faults",
        "faults to set: millis:instance:fault or millis:store:fault, separated by commas",
    )
        .default("")
    private val seed by number("seed", "seed of all random draws").default(1)
    private val format by parser
        .option(
            ArgType.Choice<ResultFormat>({ ResultFormat.valueOf(it.uppercase()) }, { it.name.lowercase() }),
            "output",
            description = "output format of the result",
        ).default(ResultFormat.TABLE)

    init {
        parser.parse(args.toTypedArray())
    }

    fun toOptions(): LoadOptions {
        requireUsage(requests >= 0 && jobs >= 0, "--requests and --jobs must be at least 0")
        requireUsage(
            rate > 0 && concurrency > 0 && maxWork > 0,
            "--rate-per-second, --concurrency and --max-work-millis must be at least 1",
        )
        requireUsage(
            requests == 0 || idempotent.isNotEmpty() || keyed.isNotEmpty(),
            "requests need --idempotent-services or --keyed-services",
        )
        requireUsage(jobs == 0 || jobPool.isNotEmpty(), "jobs need --job-pool")
        return LoadOptions(
            entries = addresses("entries", entries),
            standin = addresses("standin", standin).first(),
            idempotentServices = idempotent,
            keyedServices = keyed,
            team = team,
            requests = requests,
            ratePerSecond = rate,
            concurrency = concurrency,
            durationMillis = duration.toLong(),
            timeoutMillis = timeout.toLong(),
            retryWindowMillis = retryWindow.toLong(),
            maxWorkMillis = maxWork,
            jobs = jobs,
            jobPool = jobPool,
            jobWaitMillis = jobWait.toLong(),
            faults = parseFaults(faults) ?: throw CommandLineExit("--faults: bad value \"$faults\"", ExitCode.USAGE),
            seed = seed.toLong(),
            format = format,
        )
    }

    private fun text(name: String, description: String) = parser.option(ArgType.String, name, description = description)

    private fun number(name: String, description: String) = parser.option(ArgType.Int, name, description = description)

    private fun addresses(name: String, text: String): List<HostAndPort> {
        val parsed = parseAddresses(text).orEmpty()
        requireUsage(parsed.isNotEmpty(), "--$name: bad value \"$text\"; allowed: IP numbers with ports")
        return parsed
    }

    private fun requireUsage(holds: Boolean, message: String) {
        if (!holds) throw CommandLineExit(message, ExitCode.USAGE)
    }
}
