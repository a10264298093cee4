// The experiment `requests`: drives the dispatchers of all entries in virtual time and prints what callers, executors
// and entries see, each scheme and fault beside its baseline.

package org.gypsumturn.bench.requests

import org.gypsumturn.bench.Report

/** Runs the request experiment. */
public fun requestsExperiment(report: Report, quick: Boolean) {
    compareSchemes(report, quick)
    measureFlood(report, quick)
    measureDemandInTurn(report, quick)
    measureFaults(report, quick)
    measureRetries(report, quick)
    measureLeaving(report)
    measureMemory(report)
}

/** Name of a figure: what was measured, and where. */
internal fun label(scheme: Scheme, load: Double, what: String): String = "${scheme.name.lowercase()} at $load: $what"
