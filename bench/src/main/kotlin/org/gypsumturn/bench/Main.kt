// Entry point of the experiment tool: `gypsumturn-bench NAME…` runs the named experiments, or all of them;
// `gypsumturn-bench load …` sends load to running entries; `gypsumturn-bench audit …` replays the log of changes;
// `gypsumturn-bench fault …` injects a fault into the stand-in;
// `gypsumturn-bench entry …` compares a running entry with direct calls of its targets.

package org.gypsumturn.bench

import org.gypsumturn.bench.audit.runAudit
import org.gypsumturn.bench.entry.runEntry
import org.gypsumturn.bench.fault.runFault
import org.gypsumturn.bench.fleet.fleetExperiment
import org.gypsumturn.bench.jobs.runJobsExperiment
import org.gypsumturn.bench.load.runLoad
import org.gypsumturn.bench.requests.runRequestsExperiment
import org.gypsumturn.bench.slopes.runSlopesExperiment
import org.gypsumturn.bench.views.runViewsExperiment
import org.gypsumturn.runtime.program.runProgram
import kotlin.system.exitProcess

/** An experiment prints its measurements into a report; [quick] asks for the small fixed set that CI runs. */
public typealias Experiment = (report: Report, quick: Boolean) -> Unit

/** The experiments by name. */
public val EXPERIMENTS: Map<String, Experiment> =
    mapOf(
        "requests" to ::runRequestsExperiment,
        "jobs" to ::runJobsExperiment,
        "fleet" to ::fleetExperiment,
        "views" to ::runViewsExperiment,
        "slopes" to ::runSlopesExperiment,
    )

private const val LOAD = "load"
private const val AUDIT = "audit"
private const val FAULT = "fault"
private const val ENTRY = "entry"
private val COMMON_OPTIONS = setOf("--help", "-h", "--version", "--config", "-c", "--log-format", "check-config")
private const val EXIT_OK = 0
private const val EXIT_BOUND_BROKEN = 1
private const val EXIT_USAGE = 2

/** Runs the experiments named in [args], or the tool that is named first. */
public fun main(args: Array<String>) {
    val code = when (args.firstOrNull()) {
        LOAD -> runLoad(args.drop(1), ::println)
        AUDIT -> runAudit(args.drop(1), ::println)
        FAULT -> runFault(args.drop(1), ::println)
        ENTRY -> runEntry(args.drop(1), ::println)
        else -> runNamed(args)
    }
    exitProcess(code)
}

// The options that all programs have come with a settings file in place of names.
private fun runNamed(args: Array<String>): Int {
    if (args.none { it in COMMON_OPTIONS }) return runExperiments(args.toList(), ::println)
    var code = EXIT_OK
    runProgram("gypsumturn-bench", BenchSettings.schema, args) { settings ->
        code = runExperiments(BenchSettings.arguments(settings), ::println)
    }
    return code
}

internal fun runExperiments(args: List<String>, print: (String) -> Unit): Int {
    val quick = QUICK in args
    val names = args.filter { it != QUICK }.ifEmpty { EXPERIMENTS.keys.toList() }
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
