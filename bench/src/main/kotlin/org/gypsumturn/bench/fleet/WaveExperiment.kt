// Measures how long a wave over the whole fleet takes, and how many instances a faulty image takes out of service
// before the wave halts.

package org.gypsumturn.bench.fleet

import org.gypsumturn.bench.Report
import org.gypsumturn.model.WaveState

private const val TARGET_SEEDS = 3
private const val RARE_REBOOT_FAILURE_SHARE = 0.001
private const val BAD_IMAGE_FAILURE_SHARE = 1.0
private const val FLAKY_IMAGE_FAILURE_SHARE = 0.2

internal fun waveExperiment(report: Report, quick: Boolean) {
    val seeds = if (quick) 2 else 20
    listOf(LONE_STAR, BRINDLEY).forEach { site ->
        measureRollOut(
            report,
            site,
            seeds,
            mapOf("one by one" to ONE_BY_ONE_PLANNER, "tenths" to TENTHS_PLANNER, "planned" to PRODUCTION_PLANNER),
        )
        measureBadImage(report, site, seeds)
    }
    if (quick) return
    measureRollOut(
        report,
        targetSite(),
        TARGET_SEEDS,
        mapOf("tenths" to TENTHS_PLANNER, "planned" to PRODUCTION_PLANNER),
    )
    measureBadImage(report, targetSite(), TARGET_SEEDS)
}

/**
 * A lower bound in minutes on the duration of a wave, with mean durations of each state: each pool always reboots as
 * many instances as its budget allows, without a canary and without failures.
 */
private fun lowerBoundMinutes(site: Site): Double {
    val cycle = DRAIN_MEAN_MILLIS + REBOOT_MEAN_MILLIS + WARM_MEAN_MILLIS
    val rounds = site.poolSizes.maxOf { (it.toDouble() / maxOf(2, it / 10)) }
    return rounds * cycle / MINUTE_MILLIS
}

private fun maxFailuresOf(site: Site): Int = maxOf(2, site.instanceCount / 100)

private fun measureRollOut(report: Report, site: Site, seeds: Int, planners: Map<String, WavePlanner>) {
    report.remark(
        "${site.name}: wave over ${site.instanceCount} instances, seeds 1..$seeds, losses, 1 reboot in 1000 fails",
    )
    val audit = BudgetAudit()
    planners.forEach { (name, planner) ->
        val outcomes = (1L..seeds).map {
            WaveSimulation(site, planner, RARE_REBOOT_FAILURE_SHARE, maxFailuresOf(site), it, audit).run()
        }
        val finished = outcomes.filter { it.state == WaveState.FINISHED }
        val minutes = finished.map { it.rollOutMillis.toDouble() / MINUTE_MILLIS }.sorted()
        report.figure("${site.name} wave $name: waves that finished", finished.size.toDouble(), "of $seeds")
        if (minutes.isEmpty()) return@forEach
        report.figure("${site.name} wave $name: roll-out, median", minutes[minutes.size / 2], "min")
        report.figure("${site.name} wave $name: roll-out, longest", minutes.last(), "min")
    }
    report.figure("${site.name} wave bound by the budgets alone", lowerBoundMinutes(site), "min")
    report.atMost("${site.name} wave: budget breaches", audit.breaches.toDouble(), "breaches", 0.0)
}

private fun measureBadImage(report: Report, site: Site, seeds: Int) {
    listOf(BAD_IMAGE_FAILURE_SHARE, FLAKY_IMAGE_FAILURE_SHARE).forEach { failureShare ->
        val audit = BudgetAudit()
        val outcomes = (1L..seeds).map {
            WaveSimulation(site, PRODUCTION_PLANNER, failureShare, maxFailuresOf(site), it, audit).run()
        }
        val name = "${site.name} image that fails ${(failureShare * 100).toInt()} % of reboots"
        val halted = outcomes.count { it.state == WaveState.HALTED }
        report.figure("$name: waves that halted", halted.toDouble(), "of $seeds")
        report.figure("$name: instances lost, most", outcomes.maxOf { it.failed }.toDouble(), "instances")
        if (failureShare == BAD_IMAGE_FAILURE_SHARE) {
            report.atLeast("$name: halted at the canary", halted.toDouble(), "waves", seeds.toDouble())
            report.atMost("$name: instances lost, bound", outcomes.maxOf { it.failed }.toDouble(), "instances", 1.0)
        }
    }
}
