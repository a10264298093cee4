// Roll-out time of a wave over the whole fleet, and how many instances a bad image takes down before the wave halts.

package org.gypsumturn.bench.fleet

import org.gypsumturn.bench.Report
import org.gypsumturn.model.WaveState

private const val TARGET_SEEDS = 3
private const val RARE_FAILURES = 0.001
private const val BAD_IMAGE = 1.0
private const val FLAKY_IMAGE = 0.2

internal fun waveExperiment(report: Report, quick: Boolean) {
    val seeds = if (quick) 2 else 20
    listOf(LONE_STAR, BRINDLEY).forEach { site ->
        rollOut(report, site, seeds, mapOf("one by one" to ONE_BY_ONE, "tenths" to TENTHS, "planned" to PLANNED_WAVE))
        badImage(report, site, seeds)
    }
    if (quick) return
    rollOut(report, targetSite(), TARGET_SEEDS, mapOf("tenths" to TENTHS, "planned" to PLANNED_WAVE))
    badImage(report, targetSite(), TARGET_SEEDS)
}

/** Reboots of all members at the budget's width, one batch after the other, without a canary or a failure. */
private fun boundMinutes(site: Site): Double {
    val cycle = DRAIN_MEAN_MILLIS + REBOOT_MEAN_MILLIS + WARM_MEAN_MILLIS
    val rounds = site.poolSizes.maxOf { (it.toDouble() / maxOf(2, it / 10)) }
    return rounds * cycle / MINUTE_MILLIS
}

private fun maxFailuresOf(site: Site): Int = maxOf(2, site.instances / 100)

private fun rollOut(report: Report, site: Site, seeds: Int, planners: Map<String, WavePlanner>) {
    report.remark(
        "${site.name}: wave over ${site.instances} instances, seeds 1..$seeds, losses, 1 reboot in 1000 fails",
    )
    val audit = BudgetAudit()
    planners.forEach { (name, planner) ->
        val outcomes = (1L..seeds).map {
            WaveRun(site, planner, RARE_FAILURES, maxFailuresOf(site), it, audit).run()
        }
        val ended = outcomes.filter { it.state == WaveState.FINISHED }
        val minutes = ended.map { it.rollOutMillis.toDouble() / MINUTE_MILLIS }.sorted()
        report.figure("${site.name} wave $name: waves that finished", ended.size.toDouble(), "of $seeds")
        if (minutes.isEmpty()) return@forEach
        report.figure("${site.name} wave $name: roll-out, median", minutes[minutes.size / 2], "min")
        report.figure("${site.name} wave $name: roll-out, longest", minutes.last(), "min")
    }
    report.figure("${site.name} wave bound by the budgets alone", boundMinutes(site), "min")
    report.atMost("${site.name} wave: budget breaches", audit.breaches.toDouble(), "breaches", 0.0)
}

private fun badImage(report: Report, site: Site, seeds: Int) {
    listOf(BAD_IMAGE, FLAKY_IMAGE).forEach { part ->
        val audit = BudgetAudit()
        val outcomes = (1L..seeds).map { WaveRun(site, PLANNED_WAVE, part, maxFailuresOf(site), it, audit).run() }
        val name = "${site.name} image that fails ${(part * 100).toInt()} % of reboots"
        val halted = outcomes.count { it.state == WaveState.HALTED }
        report.figure("$name: waves that halted", halted.toDouble(), "of $seeds")
        report.figure("$name: instances lost, most", outcomes.maxOf { it.failed }.toDouble(), "instances")
        if (part == BAD_IMAGE) {
            report.atLeast("$name: halted at the canary", halted.toDouble(), "waves", seeds.toDouble())
            report.atMost("$name: instances lost, bound", outcomes.maxOf { it.failed }.toDouble(), "instances", 1.0)
        }
    }
}
