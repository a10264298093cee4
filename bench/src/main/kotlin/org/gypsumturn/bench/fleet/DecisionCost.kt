// Measures the processor time and the allocated bytes of each kind of fleet decision, and how they grow with the size
// of the fleet.

package org.gypsumturn.bench.fleet

import com.sun.management.ThreadMXBean
import org.gypsumturn.bench.Point
import org.gypsumturn.bench.Report
import org.gypsumturn.bench.slopeOf
import org.gypsumturn.fleet.capacity.CapacitySettings
import org.gypsumturn.fleet.capacity.CapacityState
import org.gypsumturn.fleet.capacity.PoolDemand
import org.gypsumturn.fleet.capacity.decideMoves
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.command.decideCommand
import org.gypsumturn.fleet.wave.planMaintenance
import org.gypsumturn.fleet.wave.planReservationSteps
import org.gypsumturn.fleet.wave.planWave
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveId
import java.lang.management.ManagementFactory

private const val WARM_UP_CALLS = 300
private const val TIMED_CALLS = 300
private const val NANOS_PER_MICRO = 1_000.0

private data class CallCost(val micros: Double, val bytes: Double)

internal fun measureDecisionCost(report: Report, quick: Boolean) {
    val sizes = if (quick) listOf(310, 620) else listOf(775, 1_550, 3_100, 6_200)
    report.remark("instances ${sizes.joinToString()}; 28 to a pool; $TIMED_CALLS calls each after $WARM_UP_CALLS")
    val costs = sizes.map { size -> size to measureAtSize(size) }
    costs.first().second.keys.forEach { name ->
        costs.forEach { (size, byName) ->
            report.figure("$name at $size instances", byName.getValue(name).micros, "us a call")
        }
        val micros = costs.map { (size, byName) -> Point(size.toDouble(), byName.getValue(name).micros) }
        val bytes = costs.map { (size, byName) -> Point(size.toDouble(), byName.getValue(name).bytes) }
        report.figure("$name: slope of time", slopeOf(micros) * NANOS_PER_MICRO, "ns/instance")
        report.figure("$name: slope of bytes", slopeOf(bytes), "bytes/instance")
    }
}

private fun measureAtSize(size: Int): Map<String, CallCost> {
    val site = targetSite(size, maxOf(1, size / 28))
    val now = 100 * DAY_MILLIS
    val started = site.initialView(now)
        .afterCommand(FleetCommand.StartWave(Wave(WaveId("w"), listOf(poolId(0)))), now + 1)
    val wave = started.waves.getValue(WaveId("w"))
    val instance = started.instances.values.first()
    val drain = FleetCommand.DrainInstance(instance.id, null)
    return linkedMapOf(
        "drain" to measureCall { decideCommand(started, drain, now) },
        "plan a wave of one pool" to measureCall { planWave(started, wave, now + 2) },
        "upkeep" to measureCall { planReservationSteps(started, now + 2) },
        "due for maintenance" to measureCall { planMaintenance(started, now + 2, 35 * DAY_MILLIS) },
        "moves, quiet" to measureMoveDecision(site, started, now) { _, size -> size * 0.5 },
        "moves, one pool in five short" to measureMoveDecision(site, started, now) { index, size ->
            if (index % site.groupSize == 0) size * 1.5 else 0.0
        },
    )
}

private fun measureMoveDecision(
    site: Site,
    view: FleetView,
    now: Long,
    loadOf: (index: Int, size: Int) -> Double,
): CallCost {
    val settings = CapacitySettings(site.weights)
    val demand = site.poolSizes.mapIndexed { index, size ->
        PoolDemand(poolId(index), loadOf(index, size) * SLOTS_PER_INSTANCE, 0)
    }
    var state = CapacityState()
    var decisionMillis = now
    return measureCall {
        decisionMillis += 10 * SECOND_MILLIS
        state = decideMoves(decisionMillis, view, demand, state, settings).state
    }
}

private fun measureCall(call: () -> Any?): CallCost {
    repeat(WARM_UP_CALLS) { call() }
    val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    val bytesBefore = threads.currentThreadAllocatedBytes
    val nanosBefore = threads.currentThreadCpuTime
    repeat(TIMED_CALLS) { call() }
    val nanos = threads.currentThreadCpuTime - nanosBefore
    val bytes = threads.currentThreadAllocatedBytes - bytesBefore
    return CallCost(nanos / 1_000.0 / TIMED_CALLS, bytes.toDouble() / TIMED_CALLS)
}
