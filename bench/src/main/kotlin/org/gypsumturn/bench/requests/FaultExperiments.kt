// What callers are told while executors, connections, entries and the store fail, what retries cost, and how soon a
// leaving executor gets nothing new.

package org.gypsumturn.bench.requests

import org.gypsumturn.bench.Report
import org.gypsumturn.model.Priority
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.request.RequestEvent

private const val SEED = 31L
private const val MIN_REQUESTS = 100_000.0
private const val LEAVING_BOUND_MILLIS = 5_000.0
private const val FAST_RUN_MILLIS = 50.0
private const val FAULT_SECONDS = 110

/** Part of the full run's length that the quick run has. */
private const val QUICK_SHARE = 0.25

/** Time after which an entry that hears nobody stops, as its view's lease sets it. */
private const val VIEW_LEASE_MICROS = 3 * MICROS_PER_SECOND

/** Interval at which entries read the platform's list of leaving instances. */
private const val LIST_POLL_MICROS = MICROS_PER_SECOND

/** Time that the entry's ticks, and the pause of an entry, may add to a deadline. */
private const val REPLY_GRACE_MILLIS = 3_100.0

private val KEYED_CLASSES = listOf(
    RequestClass(Priority.URGENT, share = 0.1, deadlineMillis = 2_400, keyedShare = 0.25),
    RequestClass(Priority.NORMAL, share = 0.4, deadlineMillis = 5_000, keyedShare = 0.25),
    RequestClass(Priority.BATCH, share = 0.5, deadlineMillis = 15_000, keyedShare = 0.25),
)

private val RANDOM_FAULTS = RandomFaults(
    silentShare = 0.002,
    resetShare = 0.002,
    leaverShare = 0.01,
    repeatShare = 0.3,
    lostIntentAnswerShare = 0.02,
)

internal fun measureFaults(report: Report, quick: Boolean) {
    val scale = if (quick) QUICK_SHARE else 1.0
    report.remark(
        "faults: 9 entries, 8 executors, run time of mean 50 ms, load 0.8 and at the end 5, a " +
            "quarter keyed; failing, " +
            "silent and dead executors, an entry dies, another pauses for 3 s, the store goes down, answers, " +
            "connections and callers are lost; seed $SEED",
    )
    val tally = World(faultScenario(scale)).run()
    if (quick) {
        report.figure("requests", tally.calls.size.toDouble(), "")
    } else {
        report.atLeast("requests", tally.calls.size.toDouble(), "", MIN_REQUESTS)
    }
    report.figure("callers who left", tally.calls.count { it.callerLeft }.toDouble(), "")
    report.figure("callers cut off by the death of their entry", tally.calls.count { it.entryDied }.toDouble(), "")
    report.figure("told may have run", tally.calls.count { it.mayHaveRun }.toDouble(), "")
    report.figure("told not run", tally.calls.count { it.notRun }.toDouble(), "")
    report.atMost("without any reply", tally.lost.toDouble(), "", 0.0)
    report.atMost("run or replied to twice", tally.doubled.toDouble(), "", 0.0)
    report.atMost("given another's answer", tally.crossed.toDouble(), "", 0.0)
    report.atMost("told not run but ran", tally.falselyNotRun.toDouble(), "", 0.0)
    report.atMost("replied after the deadline", tally.latestReplyMillis, "ms", REPLY_GRACE_MILLIS)
}

private fun faultScenario(scale: Double): Scenario {
    fun at(seconds: Int, event: World.() -> Unit) = seconds * scale to event
    fun mode(index: Int, mode: ExecutorMode): World.() -> Unit = { executors[index].mode = mode }
    return Scenario(
        seed = SEED,
        seconds = (FAULT_SECONDS * scale).toInt(),
        executorsOf = listOf(8),
        loadOf = { _, atSeconds -> if (atSeconds > 90 * scale) 5.0 else 0.8 },
        classes = KEYED_CLASSES,
        meanServiceMillis = FAST_RUN_MILLIS,
        faults = RANDOM_FAULTS,
        events = listOf(
            at(10, mode(0, ExecutorMode.FAILING)),
            at(20, mode(0, ExecutorMode.HEALTHY)),
            at(20, mode(1, ExecutorMode.SILENT)),
            at(30, mode(1, ExecutorMode.HEALTHY)),
            at(30, mode(2, ExecutorMode.DEAD)),
            at(40, mode(2, ExecutorMode.HEALTHY)),
            at(45) { entries[3].die() },
            at(50) { intents.down = true },
            at(60) { intents.down = false },
            at(65) { entries[5].pause(3 * MICROS_PER_SECOND) },
            at(75) { entries.forEach { it.handle(RequestEvent.TargetLeaving(executors[4].id)) } },
        ),
    )
}

internal fun measureRetries(report: Report, quick: Boolean) {
    val seconds = if (quick) 10 else 60
    val share = DispatchSettings().retryBudgetShare
    report.remark(
        "two of 8 executors, then all, break every exchange; load 0.5; $seconds s, seed $SEED; " +
            "baseline without a budget",
    )
    fun retryShare(failing: Int, settings: DispatchSettings): Double = World(
        Scenario(
            seed = SEED,
            seconds = seconds,
            executorsOf = listOf(8),
            loadOf = { _, _ -> 0.5 },
            meanServiceMillis = FAST_RUN_MILLIS,
            settings = settings,
            events = listOf(1.0 to { executors.take(failing).forEach { it.mode = ExecutorMode.FAILING } }),
        ),
    ).run().retryShare

    val unbounded = DispatchSettings(retryBudgetShare = 1e6)
    report.figure("two failing: retries per first exchange (baseline)", retryShare(2, unbounded), "")
    report.atMost("two failing: retries per first exchange", retryShare(2, DispatchSettings()), "", share)
    report.figure("all failing: retries per first exchange (baseline)", retryShare(8, unbounded), "")
    report.atMost("all failing: retries per first exchange", retryShare(8, DispatchSettings()), "", share)
}

internal fun measureLeaving(report: Report) {
    report.remark(
        "an executor leaves at 10 s and is gone at 30 s; entries read the platform's list each " +
            "second; one entry is cut " +
            "off and stops when its view's lease of 3 s ends; baseline learns from refused connections; seed $SEED",
    )
    report.figure("leaving: last new exchange after the notice (baseline)", lastNewMillis(notified = false), "ms")
    report.atMost(
        "leaving: last new exchange after the notice",
        lastNewMillis(notified = true),
        "ms",
        LEAVING_BOUND_MILLIS,
    )
}

private fun lastNewMillis(notified: Boolean): Double {
    val world = World(
        Scenario(
            seed = SEED,
            seconds = 40,
            executorsOf = listOf(8),
            loadOf = { _, _ -> 0.9 },
            meanServiceMillis = FAST_RUN_MILLIS,
            events = listOf(
                9.99 to { if (notified) cutOff(entries[2]) },
                10.0 to { leave(executors[0], notified) },
                30.0 to { executors[0].mode = ExecutorMode.DEAD },
            ),
        ),
    )
    world.run()
    val executor = world.executors[0]
    return (executor.lastNewMicros - executor.leavingMicros).toDouble() / MICROS_PER_MILLI
}

private fun World.cutOff(entry: Entry) {
    entry.isolated = true
    simulator.after(VIEW_LEASE_MICROS) { entry.handle(RequestEvent.ReadinessChanged(false, "the view's lease ended")) }
}

private fun World.leave(executor: Executor, notified: Boolean) {
    executor.leavingMicros = simulator.nowMicros
    if (!notified) return
    entries.filter { !it.isolated }.forEach { entry ->
        simulator.after((random.nextDouble() * LIST_POLL_MICROS).toLong()) {
            entry.handle(RequestEvent.TargetLeaving(executor.id))
        }
    }
}
