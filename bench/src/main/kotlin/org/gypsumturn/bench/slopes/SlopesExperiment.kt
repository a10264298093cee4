// The experiment `slopes`: measures how costs grow with the size of the fleet, for the capacity page.

package org.gypsumturn.bench.slopes

import org.gypsumturn.bench.Point
import org.gypsumturn.bench.Report
import org.gypsumturn.bench.fleet.measureDecisionCost
import org.gypsumturn.bench.jobs.measureDecisionCostBySize
import org.gypsumturn.bench.jobs.measureTableLoad
import org.gypsumturn.bench.slopeOf
import org.gypsumturn.bench.views.measurePropagationBySize
import org.gypsumturn.model.Address
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FailureDomain
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.OperationId
import org.gypsumturn.model.OperatorId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.RackId
import org.gypsumturn.model.RegionId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.view.Proposal
import org.gypsumturn.view.ProposalOutcome
import org.gypsumturn.view.StoredView
import org.gypsumturn.view.ViewLog

private const val TABLE_TIMEOUT_MILLIS = 1_000L
private const val INSTANCES_PER_POOL = 28
private const val MAX_RECORDS_PER_CHANGE = 500
private val VIEW_SIZES = listOf(775, 1_550, 3_100, 6_200)
private val SEEDS = 1L..5L

/** Runs the experiment `slopes`. */
public fun runSlopesExperiment(report: Report, quick: Boolean) {
    report.heading("slopes: the view of one node")
    measureViewCost(report, if (quick) VIEW_SIZES.take(2) else VIEW_SIZES)
    report.heading("slopes: spread of views")
    measurePropagationBySize(report, if (quick) 1L..1L else SEEDS)
    report.heading("slopes: fleet decisions")
    measureDecisionCost(report, quick)
    report.heading("slopes: job decisions")
    measureDecisionCostBySize(report, quick)
    report.heading("slopes: the table")
    measureTableLoad(report, quick)
}

private fun measureViewCost(report: Report, sizes: List<Int>) {
    val costs = sizes.map { it to viewCostOf(it) }
    costs.forEach { (size, cost) ->
        report.figure("memory of a view of $size instances", cost.heapBytes, "bytes")
        report.figure("rows to load a view of $size instances", cost.loadedRows, "rows")
        report.figure("rows of one change at $size instances", cost.rowsPerChange, "rows")
    }
    val memory = slopeOf(costs.map { (size, cost) -> Point(size.toDouble(), cost.heapBytes) })
    val rows = slopeOf(costs.map { (size, cost) -> Point(size.toDouble(), cost.loadedRows) })
    report.figure("slope: memory of a view", memory, "bytes/instance")
    report.figure("slope: rows to load a view", rows, "rows/instance")
}

private data class ViewCost(val heapBytes: Double, val loadedRows: Double, val rowsPerChange: Double)

private fun viewCostOf(size: Int): ViewCost {
    val table = FakeTableStore()
    val log = ViewLog(table, TABLE_TIMEOUT_MILLIS)
    val records = recordsOf(size)
    var stored = StoredView(FleetView(), Revision.ABSENT)
    records.chunked(MAX_RECORDS_PER_CHANGE).forEach { stored = propose(log, stored, it) }
    val writtenRowsBefore = table.usage().writtenRows
    stored = propose(log, stored, records.take(1))
    val rowsPerChange = table.usage().writtenRows - writtenRowsBefore
    val readRowsBefore = table.usage().readRows
    val heapBytesBefore = usedHeapBytes()
    val loaded = log.load()
    val heapBytes = usedHeapBytes() - heapBytesBefore
    check(loaded is Verdict.Ran && loaded.value.stored.view.instances.size == size) {
        "the view log did not return a view with all instances"
    }
    return ViewCost(
        heapBytes.toDouble(),
        (table.usage().readRows - readRowsBefore).toDouble(),
        rowsPerChange.toDouble(),
    )
}

private fun propose(log: ViewLog, base: StoredView, mutations: List<Mutation>): StoredView {
    val operation = OperationId("op-${base.view.version}")
    val outcome = log.propose(base, Proposal(operation, OperatorId("bench"), 0, "records", mutations))
    check(outcome is Verdict.Ran) { "the fake table did not carry out the proposal of a change" }
    val accepted = outcome.value
    check(accepted is ProposalOutcome.Accepted) { "the proposal was not accepted although there is no other writer" }
    return accepted.next
}

private fun recordsOf(size: Int): List<Mutation> {
    val pools = (0..size / INSTANCES_PER_POOL).map { pool ->
        Mutation.PutPool(Pool(PoolId("pool-$pool"), PoolRole.WORKING, AvailabilityBudget(2)))
    }
    return pools + (0 until size).map { Mutation.PutInstance(instance(it)) }
}

private fun instance(number: Int) = Instance(
    InstanceId("instance-$number"),
    PoolId("pool-${number / INSTANCES_PER_POOL}"),
    FailureDomain(RegionId("r${number % 6}"), DataCentreId("d${number % 14}"), RackId("rack-${number / 40}")),
    Address("10.0.${number / 250}.${number % 250}", 8_080),
    Capacity(64_000, 131_072, 2),
    slots = 8,
    connections = 64,
)

private fun usedHeapBytes(): Long {
    val runtime = Runtime.getRuntime()
    repeat(3) { System.gc() }
    return runtime.totalMemory() - runtime.freeMemory()
}
