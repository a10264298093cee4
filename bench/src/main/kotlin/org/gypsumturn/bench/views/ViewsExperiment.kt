// The experiment `views`: measures the time until a change is in force on all nodes, the calls that this takes, and
// what nodes do while a region is cut off for an hour.

package org.gypsumturn.bench.views

import org.gypsumturn.bench.Report
import org.gypsumturn.model.ViewVersion

private const val IN_FORCE_BOUND_SECONDS = 11.0
private const val TABLE_READS_BOUND = 2_000.0
private const val CUT_MILLIS = 3_600_000L
private const val WARM_UP_MILLIS = 10_000L
private const val MILLIS_PER_SECOND = 1_000.0
private const val SLOW_POLL_MILLIS = 1_000L
private const val FIRST_SEED = 1L

/** Size of a gRPC exchange of two small messages, including frames and headers. */
private const val BYTES_PER_EXCHANGE = 300.0

private val SIZES = listOf(
    PropagationSettings(regions = 1, dataCentres = 3, nodesPerDataCentre = 6),
    PropagationSettings(regions = 3, dataCentres = 6, nodesPerDataCentre = 9),
    PropagationSettings(regions = 6, dataCentres = 14, nodesPerDataCentre = 9),
    PropagationSettings(regions = 6, dataCentres = 14, nodesPerDataCentre = 18),
)

/** Runs the experiment `views`. */
public fun runViewsExperiment(report: Report, quick: Boolean) {
    val seeds = FIRST_SEED until FIRST_SEED + (if (quick) 2 else 20)
    measurePropagationBySize(report, seeds)
    val target = SIZES[2]
    val cutMillis = if (quick) CUT_MILLIS / 10 else CUT_MILLIS
    seeds.take(if (quick) 1 else 3).forEach { seed -> measureCut(report, target, seed, cutMillis) }
}

internal fun measurePropagationBySize(report: Report, seeds: LongRange) {
    report.remark("seeds ${seeds.first} to ${seeds.last}; baseline: every node reads the table")
    SIZES.forEach { size -> measurePropagation(report, size, seeds) }
}

private fun measurePropagation(report: Report, size: PropagationSettings, seeds: LongRange) {
    val nodes = size.dataCentres * size.nodesPerDataCentre
    val label = "$nodes nodes in ${size.dataCentres} data centres"
    val inForceSeconds = seeds.map { secondsUntilInForce(size, it) }
    report.atMost("in force everywhere, slowest, $label", inForceSeconds.max(), "s", IN_FORCE_BOUND_SECONDS)
    report.figure("in force everywhere, mean, $label", inForceSeconds.average(), "s")
    val perSecond = usagePerSecond(size, seeds.first)
    val baseline = usagePerSecond(size.copy(everyNodeReadsTable = true), seeds.first)
    report.atMost("table reads, $label", perSecond.tableReads, "rows/s", TABLE_READS_BOUND)
    report.figure("table reads, baseline, $label", baseline.tableReads, "rows/s")
    report.figure("exchanges, $label", perSecond.exchanges / nodes, "calls/s a node")
    report.figure("bytes of exchanges, mean node, $label", perSecond.exchanges * BYTES_PER_EXCHANGE / nodes, "bytes/s")
    val busiest = perSecond.busiestNodeExchanges * BYTES_PER_EXCHANGE
    report.figure("bytes of exchanges, busiest node, $label", busiest, "bytes/s")
    val slowPollExchanges = usagePerSecond(size.copy(pollMillis = SLOW_POLL_MILLIS), seeds.first).busiestNodeExchanges
    report.figure("the same with a poll each second, $label", slowPollExchanges * BYTES_PER_EXCHANGE, "bytes/s")
}

private fun secondsUntilInForce(size: PropagationSettings, seed: Long): Double {
    val simulation = ViewPropagationSimulation(size, seed)
    simulation.run(WARM_UP_MILLIS)
    val version = acceptChange(simulation)
    val startMillis = simulation.nowMillis
    simulation.run(startMillis + CUT_MILLIS) { simulation.isInForceWhereReachable(version) }
    return (simulation.nowMillis - startMillis) / MILLIS_PER_SECOND
}

private data class UsagePerSecond(val tableReads: Double, val exchanges: Double, val busiestNodeExchanges: Double)

private fun usagePerSecond(size: PropagationSettings, seed: Long): UsagePerSecond {
    val simulation = ViewPropagationSimulation(size, seed)
    simulation.run(WARM_UP_MILLIS)
    val before = simulation.callCounts
    simulation.run(2 * WARM_UP_MILLIS)
    val seconds = WARM_UP_MILLIS / MILLIS_PER_SECOND
    return UsagePerSecond(
        (simulation.callCounts.tableReads - before.tableReads) / seconds,
        (simulation.callCounts.exchanges - before.exchanges) / seconds,
        // The busiest node is the same in both samples, as the nodes that read the table change only after a failure.
        (simulation.callCounts.busiestNodeExchanges - before.busiestNodeExchanges) / seconds,
    )
}

private fun acceptChange(simulation: ViewPropagationSimulation): ViewVersion {
    simulation.tableVersion = simulation.tableVersion.next()
    return simulation.tableVersion
}

/** Cuts a region off and accepts a change meanwhile. No node may serve the older version after its lease expires. */
private fun measureCut(report: Report, size: PropagationSettings, seed: Long, cutMillis: Long) {
    val simulation = ViewPropagationSimulation(size, seed)
    simulation.run(WARM_UP_MILLIS)
    val isolated = simulation.regions.last()
    simulation.isolatedRegion = isolated
    simulation.run(simulation.nowMillis + 1)
    val version = acceptChange(simulation)
    val startMillis = simulation.nowMillis
    simulation.run(startMillis + cutMillis) { simulation.isInForceWhereReachable(version) }
    val reachableSeconds = (simulation.nowMillis - startMillis) / MILLIS_PER_SECOND
    report.atMost("in force where reachable, region cut off, seed $seed", reachableSeconds, "s", IN_FORCE_BOUND_SECONDS)
    simulation.run(startMillis + size.leaseMillis + size.pollMillis)
    var staleSeconds = 0
    while (simulation.nowMillis < startMillis + cutMillis) {
        simulation.run(simulation.nowMillis + MILLIS_PER_SECOND.toLong())
        if (simulation.isOlderVersionServed(version)) staleSeconds++
    }
    report.atMost(
        "seconds in which an old version was served past its lease, seed $seed",
        staleSeconds.toDouble(),
        "s",
        0.0,
    )
    report.figure("nodes ready in the cut region, seed $seed", simulation.readyNodeCount(isolated).toDouble(), "nodes")
    simulation.isolatedRegion = null
    val healedAtMillis = simulation.nowMillis
    simulation.run(healedAtMillis + CUT_MILLIS) { simulation.isInForceWhereReachable(version) }
    val afterReturnSeconds = (simulation.nowMillis - healedAtMillis) / MILLIS_PER_SECOND
    report.atMost("in force after the region returned, seed $seed", afterReturnSeconds, "s", IN_FORCE_BOUND_SECONDS)
}
