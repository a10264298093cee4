// Measures what callers are told while executors, connections, entries and the store fail, how many retries failures
// cause, and how soon a leaving executor gets no new exchanges.

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

/** Length of the quick run as a share of the full run. */
private const val QUICK_SHARE = 0.25

/** Lease of an entry's view: an entry that is cut off this long stops sending new exchanges. */
private const val VIEW_LEASE_MICROS = 3 * MICROS_PER_SECOND

/** Interval at which entries read the platform's list of instances, which shows those that leave. */
private const val INSTANCE_LIST_POLL_MICROS = MICROS_PER_SECOND

/** Most that an entry's tick interval and a pause of 3 s may delay a reply beyond the deadline. */
private const val REPLY_GRACE_MILLIS = 3_100.0

private val KEYED_CLASSES = listOf(
    RequestClass(Priority.URGENT, share = 0.1, deadlineMillis = 2_400, keyedShare = 0.25),
    RequestClass(Priority.NORMAL, share = 0.4, deadlineMillis = 5_000, keyedShare = 0.25),
    RequestClass(Priority.BATCH, share = 0.5, deadlineMillis = 15_000, keyedShare = 0.25),
)

private val RANDOM_FAULTS = RandomFaults(
    silentShare = 0.002,
    resetShare = 0.002,
    leavingCallerShare = 0.01,
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
    val statistics = RequestSimulation(faultScenario(scale)).run()
    if (quick) {
        report.figure("requests", statistics.calls.size.toDouble(), "")
    } else {
        report.atLeast("requests", statistics.calls.size.toDouble(), "", MIN_REQUESTS)
    }
    report.figure("callers who left", statistics.calls.count { it.callerLeft }.toDouble(), "")
    report.figure(
        "callers cut off by the death of their entry",
        statistics.calls.count { it.entryCrashed }.toDouble(),
        "",
    )
    report.figure("told may have run", statistics.calls.count { it.mayHaveRun }.toDouble(), "")
    report.figure("told not run", statistics.calls.count { it.notRun }.toDouble(), "")
    report.atMost("without any reply", statistics.unanswered.toDouble(), "", 0.0)
    report.atMost("run or replied to twice", statistics.duplicates.toDouble(), "", 0.0)
    report.atMost("given another's answer", statistics.wrongAnswers.toDouble(), "", 0.0)
    report.atMost("told not run but ran", statistics.falselyNotRun.toDouble(), "", 0.0)
    report.atMost("replied after the deadline", statistics.latestReplyMillis, "ms", REPLY_GRACE_MILLIS)
}

private fun faultScenario(scale: Double): Scenario {
    fun atScaled(seconds: Int, event: RequestSimulation.() -> Unit) = seconds * scale to event
    fun setMode(index: Int, mode: ExecutorMode): RequestSimulation.() -> Unit = { executors[index].mode = mode }
    return Scenario(
        seed = SEED,
        seconds = (FAULT_SECONDS * scale).toInt(),
        executorsPerService = listOf(8),
        loadAt = { _, atSeconds -> if (atSeconds > 90 * scale) 5.0 else 0.8 },
        classes = KEYED_CLASSES,
        meanRunMillis = FAST_RUN_MILLIS,
        faults = RANDOM_FAULTS,
        events = listOf(
            atScaled(10, setMode(0, ExecutorMode.FAILING)),
            atScaled(20, setMode(0, ExecutorMode.HEALTHY)),
            atScaled(20, setMode(1, ExecutorMode.SILENT)),
            atScaled(30, setMode(1, ExecutorMode.HEALTHY)),
            atScaled(30, setMode(2, ExecutorMode.DEAD)),
            atScaled(40, setMode(2, ExecutorMode.HEALTHY)),
            atScaled(45) { entries[3].crash() },
            atScaled(50) { intentStore.isDown = true },
            atScaled(60) { intentStore.isDown = false },
            atScaled(65) { entries[5].pause(3 * MICROS_PER_SECOND) },
            atScaled(75) { entries.forEach { it.handle(RequestEvent.TargetLeaving(executors[4].id)) } },
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
    fun retryShare(failing: Int, settings: DispatchSettings): Double = RequestSimulation(
        Scenario(
            seed = SEED,
            seconds = seconds,
            executorsPerService = listOf(8),
            loadAt = { _, _ -> 0.5 },
            meanRunMillis = FAST_RUN_MILLIS,
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

internal fun measureLeavingExecutor(report: Report) {
    report.remark(
        "an executor leaves at 10 s and is gone at 30 s; entries read the platform's list each " +
            "second; one entry is cut " +
            "off and stops when its view's lease of 3 s ends; baseline learns from refused connections; seed $SEED",
    )
    report.figure(
        "leaving: last new exchange after the notice (baseline)",
        lastNewExchangeMillis(notified = false),
        "ms",
    )
    report.atMost(
        "leaving: last new exchange after the notice",
        lastNewExchangeMillis(notified = true),
        "ms",
        LEAVING_BOUND_MILLIS,
    )
}

private fun lastNewExchangeMillis(notified: Boolean): Double {
    val simulation = RequestSimulation(
        Scenario(
            seed = SEED,
            seconds = 40,
            executorsPerService = listOf(8),
            loadAt = { _, _ -> 0.9 },
            meanRunMillis = FAST_RUN_MILLIS,
            events = listOf(
                9.99 to { if (notified) isolate(entries[2]) },
                10.0 to { announceLeaving(executors[0], notified) },
                30.0 to { executors[0].mode = ExecutorMode.DEAD },
            ),
        ),
    )
    simulation.run()
    val executor = simulation.executors[0]
    return (executor.lastNewExchangeMicros - executor.leavingSinceMicros).toDouble() / MICROS_PER_MILLI
}

private fun RequestSimulation.isolate(entry: Entry) {
    entry.isIsolated = true
    eventLoop.schedule(VIEW_LEASE_MICROS) {
        entry.handle(RequestEvent.ReadinessChanged(false, "the view's lease ended"))
    }
}

private fun RequestSimulation.announceLeaving(executor: Executor, notified: Boolean) {
    executor.leavingSinceMicros = eventLoop.nowMicros
    if (!notified) return
    entries.filter { !it.isIsolated }.forEach { entry ->
        eventLoop.schedule((random.nextDouble() * INSTANCE_LIST_POLL_MICROS).toLong()) {
            entry.handle(RequestEvent.TargetLeaving(executor.id))
        }
    }
}
