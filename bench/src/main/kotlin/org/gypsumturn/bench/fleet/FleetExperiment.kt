// The experiment `fleet`: measures moves, waves and maintenance in virtual time, checks the invariants of pools and
// budgets, and measures the cost of decisions.

package org.gypsumturn.bench.fleet

import org.gypsumturn.bench.Report

/** Runs all parts of the experiment, or with [quick] smaller versions with fewer seeds. */
public fun runFleetExperiment(report: Report, quick: Boolean) {
    runRandomSchedules(report, quick)
    capacityExperiment(report, quick)
    waveExperiment(report, quick)
    maintenanceExperiment(report, quick)
    measureDecisionCost(report, quick)
    if (!quick) capacityExperimentAtTargetSize(report)
}
