// The experiment `fleet`: moves, waves, maintenance, invariants and the cost of a decision, in virtual time.

package org.gypsumturn.bench.fleet

import org.gypsumturn.bench.Report

/** Runs all parts; [quick] keeps to a small fixed set of seeds. */
public fun fleetExperiment(report: Report, quick: Boolean) {
    randomSchedules(report, quick)
    capacityExperiment(report, quick)
    waveExperiment(report, quick)
    maintenanceExperiment(report, quick)
    decisionCost(report, quick)
    if (!quick) capacityAtTarget(report)
}
