// The experiment `requests`: runs the dispatchers of all entries in virtual time and reports what callers, executors
// and entries see, each slot scheme and fault beside its baseline.

package org.gypsumturn.bench.requests

import org.gypsumturn.bench.Report

/** Runs the experiment `requests`. */
public fun runRequestsExperiment(report: Report, quick: Boolean) {
    compareSchemes(report, quick)
    measureFlood(report, quick)
    measureDemandInTurn(report, quick)
    measureFaults(report, quick)
    measureRetries(report, quick)
    measureLeavingExecutor(report)
    measureMemory(report)
}

/** Name of a figure: [what] was measured, with the slot scheme and the load of the run. */
internal fun figureName(scheme: Scheme, load: Double, what: String): String =
    "${scheme.name.lowercase()} at $load: $what"
