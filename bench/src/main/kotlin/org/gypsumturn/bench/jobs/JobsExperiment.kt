// The experiment `jobs`: durability, ownership and placement of jobs at the current deployments and at the target size.

package org.gypsumturn.bench.jobs

import org.gypsumturn.bench.Report
import org.gypsumturn.model.Priority
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Runs the experiment `jobs`. */
internal fun runJobsExperiment(report: Report, quick: Boolean) {
    report.heading("jobs: safety")
    measureSafety(report, if (quick) QUICK_SCHEDULES else SCHEDULES, if (quick) 2 else EXPLORED_LENGTH)
    report.heading("jobs: cost of decisions")
    measureDecisionCostBySize(report, quick)
    report.heading("jobs: placement on untrue sizes")
    val seeds = if (quick) 1L..1L else 1L..5L
    listOf(FleetSize.LONE_STAR, FleetSize.BRINDLEY).forEach {
        measurePlacementQuality(report, it, if (quick) 1_500 else 15_000, seeds)
    }
    report.heading("jobs: bad jobs and bad workers")
    for (size in listOf(FleetSize.LONE_STAR, FleetSize.BRINDLEY)) {
        listOf(0L, TURN_BAD_AFTER_MILLIS).forEach { measureFailures(report, size, if (quick) 180 else 300, seeds, it) }
    }
    report.heading("jobs: urgent work")
    for (size in listOf(FleetSize.LONE_STAR, FleetSize.BRINDLEY)) {
        for (milli in listOf(1_000L, 8_000L)) {
            listOf(Priority.BATCH, Priority.NORMAL).forEach {
                measureUrgentStart(report, size, if (quick) 20 else 400, milli, it)
            }
        }
    }
    measureCancellation(report, FleetSize.LONE_STAR, if (quick) 1_000 else 10_000)
    report.heading("jobs: the table")
    measureTableLoad(report, quick)
    report.heading("jobs: outage of the table")
    measureOutage(report, FleetSize.LONE_STAR, TODAY_NODES, if (quick) 100 else 2_000)
}

private const val QUICK_SCHEDULES = 100
private const val SCHEDULES = 10_000
private const val EXPLORED_LENGTH = 4
private const val TURN_BAD_AFTER_MILLIS = 120_000L
private const val TODAY_NODES = 9
private const val TARGET_NODES = 28
private const val SCHEDULE_THREADS = 3

private fun measureSafety(report: Report, schedules: Int, length: Int) {
    report.remark("random schedules, seeds 1 to $schedules; exploration of all schedules of $length actions")
    val executor = Executors.newFixedThreadPool(SCHEDULE_THREADS)
    val outcomes =
        try {
            executor.invokeAll((1L..schedules).map { seed -> Callable { runRandomSchedule(seed) } }).map { it.get() }
        } finally {
            executor.shutdown()
        }
    val violations = outcomes.flatMap { outcome -> outcome.violations.map { "seed ${outcome.seed}: $it" } }
    violations.take(5).forEach { report.remark(it.take(300)) }
    report.figure("random schedules", outcomes.size.toDouble(), "")
    report.figure("random schedules: jobs", outcomes.sumOf { it.jobs }.toDouble(), "jobs")
    report.figure("random schedules: attempts started", outcomes.sumOf { it.runs }.toDouble(), "")
    report.atMost("random schedules: lost, doubled or otherwise wrong", violations.size.toDouble(), "jobs", 0.0)
    val exploration = exploreSchedules(length)
    exploration.violations.take(5).forEach { report.remark(it.take(300)) }
    report.figure("explored schedules of $length actions", exploration.schedules.toDouble(), "")
    report.atMost("explored schedules: wrong", exploration.violations.size.toDouble(), "", 0.0)
}

internal fun measureDecisionCostBySize(report: Report, quick: Boolean) {
    val decisions = if (quick) 5_000 else 200_000
    if (quick) return measureDecisionCost(report, listOf(FleetSize.LONE_STAR), decisions)
    measureDecisionCost(report, listOf(FleetSize.LONE_STAR), decisions)
    measureDecisionCost(report, listOf(FleetSize.BRINDLEY), decisions)
    val target = FleetSize.TARGET
    measureDecisionCost(report, listOf(775, 1_550, 3_100, 6_200).map(target::scaledTo), decisions)
    val single = target.copy(name = "one pool", pools = 1)
    measureDecisionCost(report, listOf(775, 1_550, 3_100, 6_200).map(single::scaledTo), decisions)
}

internal fun measureTableLoad(report: Report, quick: Boolean) {
    if (quick) {
        measureTableCost(report, FleetSize.LONE_STAR, TODAY_NODES, 8, 10)
        measureTakeover(report, FleetSize.LONE_STAR, TODAY_NODES)
        return
    }
    measureTableCost(report, FleetSize.LONE_STAR, TODAY_NODES, 20, 60)
    for (pools in listOf(27, 54, 108, 217)) {
        val size = FleetSize.TARGET.scaledTo(FleetSize.TARGET.workers * pools / FleetSize.TARGET.pools)
        measureTableCost(report, size.copy(pools = pools), TARGET_NODES, 80 * pools / 217, 30)
    }
    listOf(7, 14, 28).forEach { measureTableCost(report, FleetSize.TARGET, it, 80, 30) }
    listOf(7, 14, 28).forEach { measureTakeover(report, FleetSize.TARGET, it) }
    measureTakeover(report, FleetSize.LONE_STAR, TODAY_NODES)
}
