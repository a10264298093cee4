// `bench views`: time until a change is in force, the cost of spreading it, and a region that is cut off for an hour.

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

/** Frames and headers around an exchange of two small messages over gRPC, in bytes. */
private const val BYTES_PER_EXCHANGE = 300.0

private val SIZES = listOf(
    SpreadSettings(regions = 1, dataCentres = 3, nodesPerDataCentre = 6),
    SpreadSettings(regions = 3, dataCentres = 6, nodesPerDataCentre = 9),
    SpreadSettings(regions = 6, dataCentres = 14, nodesPerDataCentre = 9),
    SpreadSettings(regions = 6, dataCentres = 14, nodesPerDataCentre = 18),
)

/** Runs the experiment. */
public fun viewsExperiment(report: Report, quick: Boolean) {
    val seeds = FIRST_SEED until FIRST_SEED + (if (quick) 2 else 20)
    measureSpreads(report, seeds)
    val target = SIZES[2]
    val cutMillis = if (quick) CUT_MILLIS / 10 else CUT_MILLIS
    seeds.take(if (quick) 1 else 3).forEach { seed -> measureCut(report, target, seed, cutMillis) }
}

internal fun measureSpreads(report: Report, seeds: LongRange) {
    report.remark("seeds ${seeds.first} to ${seeds.last}; baseline: every node reads the table")
    SIZES.forEach { size -> measureSpread(report, size, seeds) }
}

private fun measureSpread(report: Report, size: SpreadSettings, seeds: LongRange) {
    val nodes = size.dataCentres * size.nodesPerDataCentre
    val label = "$nodes nodes in ${size.dataCentres} data centres"
    val times = seeds.map { secondsUntilInForce(size, it) }
    report.atMost("in force everywhere, slowest, $label", times.max(), "s", IN_FORCE_BOUND_SECONDS)
    report.figure("in force everywhere, mean, $label", times.average(), "s")
    val own = usagePerSecond(size, seeds.first)
    val baseline = usagePerSecond(size.copy(everyNodeReads = true), seeds.first)
    report.atMost("table reads, $label", own.tableReads, "rows/s", TABLE_READS_BOUND)
    report.figure("table reads, baseline, $label", baseline.tableReads, "rows/s")
    report.figure("exchanges, $label", own.exchanges / nodes, "calls/s a node")
    report.figure("bytes of exchanges, mean node, $label", own.exchanges * BYTES_PER_EXCHANGE / nodes, "bytes/s")
    val busiest = own.exchangesOfBusiest * BYTES_PER_EXCHANGE
    report.figure("bytes of exchanges, busiest node, $label", busiest, "bytes/s")
    val slow = usagePerSecond(size.copy(pollMillis = SLOW_POLL_MILLIS), seeds.first).exchangesOfBusiest
    report.figure("the same with a poll each second, $label", slow * BYTES_PER_EXCHANGE, "bytes/s")
}

private fun secondsUntilInForce(size: SpreadSettings, seed: Long): Double {
    val model = SpreadModel(size, seed)
    model.run(WARM_UP_MILLIS)
    val version = accept(model)
    val start = model.nowMillis
    model.run(start + CUT_MILLIS) { model.inForceWhereReachable(version) }
    return (model.nowMillis - start) / MILLIS_PER_SECOND
}

private data class UsagePerSecond(val tableReads: Double, val exchanges: Double, val exchangesOfBusiest: Double)

private fun usagePerSecond(size: SpreadSettings, seed: Long): UsagePerSecond {
    val model = SpreadModel(size, seed)
    model.run(WARM_UP_MILLIS)
    val before = model.usage
    model.run(2 * WARM_UP_MILLIS)
    val seconds = WARM_UP_MILLIS / MILLIS_PER_SECOND
    return UsagePerSecond(
        (model.usage.tableReads - before.tableReads) / seconds,
        (model.usage.exchanges - before.exchanges) / seconds,
        // The busiest node is the same in both samples, since readers do not change while nothing fails.
        (model.usage.exchangesOfBusiest - before.exchangesOfBusiest) / seconds,
    )
}

private fun accept(model: SpreadModel): ViewVersion {
    model.tableVersion = model.tableVersion.next()
    return model.tableVersion
}

/** A region is cut off; a change is accepted meanwhile; nobody may serve the older version past its lease. */
private fun measureCut(report: Report, size: SpreadSettings, seed: Long, cutMillis: Long) {
    val model = SpreadModel(size, seed)
    model.run(WARM_UP_MILLIS)
    val cut = model.regions.last()
    model.cutRegion = cut
    model.run(model.nowMillis + 1)
    val version = accept(model)
    val start = model.nowMillis
    model.run(start + cutMillis) { model.inForceWhereReachable(version) }
    val reachable = (model.nowMillis - start) / MILLIS_PER_SECOND
    report.atMost("in force where reachable, region cut off, seed $seed", reachable, "s", IN_FORCE_BOUND_SECONDS)
    model.run(start + size.leaseMillis + size.pollMillis)
    var stale = 0
    while (model.nowMillis < start + cutMillis) {
        model.run(model.nowMillis + MILLIS_PER_SECOND.toLong())
        if (model.servesOlderThan(version)) stale++
    }
    report.atMost("seconds in which an old version was served past its lease, seed $seed", stale.toDouble(), "s", 0.0)
    report.figure("nodes ready in the cut region, seed $seed", model.readyNodes(cut).toDouble(), "nodes")
    model.cutRegion = null
    val healed = model.nowMillis
    model.run(healed + CUT_MILLIS) { model.inForceWhereReachable(version) }
    val afterReturn = (model.nowMillis - healed) / MILLIS_PER_SECOND
    report.atMost("in force after the region returned, seed $seed", afterReturn, "s", IN_FORCE_BOUND_SECONDS)
}
