// Entry point of the experiment tool: `gypsumturn-bench NAME…` runs the named experiments, or all of them if none is
// named. The other commands work on running programs: `load` sends load to entries, `audit` replays the log of changes,
// `fault` injects a fault into the stand-in, and `entry` compares an entry with direct calls to its targets.

package org.gypsumturn.bench

import org.gypsumturn.bench.audit.runAudit
import org.gypsumturn.bench.entry.runEntryComparison
import org.gypsumturn.bench.fault.runFaultInjection
import org.gypsumturn.bench.fleet.runFleetExperiment
import org.gypsumturn.bench.jobs.runJobsExperiment
import org.gypsumturn.bench.load.runLoad
import org.gypsumturn.bench.progress.runProgressExperiment
import org.gypsumturn.bench.requests.runRequestsExperiment
import org.gypsumturn.bench.slopes.runSlopesExperiment
import org.gypsumturn.bench.views.runViewsExperiment
import org.gypsumturn.runtime.program.runProgram
import kotlin.system.exitProcess

/** Records its measurements in a report. With `quick` it runs only the small fixed set of cases that CI runs. */
public typealias Experiment = (report: Report, quick: Boolean) -> Unit

/** The experiments by the name under which the command line and the settings select them. */
public val EXPERIMENTS: Map<String, Experiment> =
    mapOf(
        "requests" to ::runRequestsExperiment,
        "jobs" to ::runJobsExperiment,
        "fleet" to ::runFleetExperiment,
        "views" to ::runViewsExperiment,
        "slopes" to ::runSlopesExperiment,
        "progress" to ::runProgressExperiment,
    )

private const val LOAD = "load"
private const val AUDIT = "audit"
private const val FAULT = "fault"
private const val ENTRY = "entry"
private val COMMON_OPTIONS = setOf("--help", "-h", "--version", "--config", "-c", "--log-format", "check-config")
private const val EXIT_OK = 0
private const val EXIT_BOUND_BROKEN = 1
private const val EXIT_USAGE = 2

/** Runs the command that is the first of [args], or the experiments named in [args], and exits with its code. */
public fun main(args: Array<String>) {
    val code = when (args.firstOrNull()) {
        LOAD -> runLoad(args.drop(1), ::println)
        AUDIT -> runAudit(args.drop(1), ::println)
        FAULT -> runFaultInjection(args.drop(1), ::println)
        ENTRY -> runEntryComparison(args.drop(1), ::println)
        else -> runExperimentProgram(args)
    }
    exitProcess(code)
}

// With an option that all programs share, the experiments are taken from the settings instead of the arguments.
private fun runExperimentProgram(args: Array<String>): Int {
    if (args.none { it in COMMON_OPTIONS }) return runExperiments(args.toList(), ::println)
    var code = EXIT_OK
    runProgram("gypsumturn-bench", BenchSettings.schema, args) { settings ->
        code = runExperiments(BenchSettings.toArguments(settings), ::println)
    }
    return code
}

/** Runs the experiments named in [args] and returns the exit code: 2 for an unknown name, 1 for a broken bound. */
internal fun runExperiments(args: List<String>, print: (String) -> Unit): Int {
    val quick = QUICK_OPTION in args
    val names = args.filter { it != QUICK_OPTION }.ifEmpty { EXPERIMENTS.keys.toList() }
    val unknown = names.filter { it !in EXPERIMENTS }
    if (unknown.isNotEmpty()) {
        print("unknown experiment ${unknown.joinToString()}; known: ${EXPERIMENTS.keys.joinToString()}")
        return EXIT_USAGE
    }
    val report = Report(print)
    names.forEach { name ->
        report.heading(name)
        EXPERIMENTS.getValue(name)(report, quick)
    }
    return if (report.holds) EXIT_OK else EXIT_BOUND_BROKEN
}
