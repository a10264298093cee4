// Measures the heap that the dispatcher uses for each waiting request.

package org.gypsumturn.bench.requests

import org.gypsumturn.bench.Report
import org.gypsumturn.model.Priority
import org.gypsumturn.model.ServiceId
import org.gypsumturn.request.ArrivedRequest
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.request.RequestDispatcher
import org.gypsumturn.request.RequestEvent
import org.gypsumturn.request.RequestId

private const val WAITING = 100_000
private const val SEED = 61L
private const val DEADLINE_MILLIS = 1_000_000L
private const val COLLECTIONS = 3

internal fun measureMemory(report: Report) {
    val scenario = Scenario(seed = SEED, seconds = 1, loadAt = { _, _ -> 0.0 })
    val view = viewOf(scenario, emptyList())
    val services = view.services.mapValues { it.value.copy(maxQueued = WAITING) }
    val dispatcher = RequestDispatcher(DispatchSettings(maxQueuedTotal = WAITING), nodeName(0), SEED)
    dispatcher.handle(0, RequestEvent.ViewChanged(view.copy(services = view.services.putAll(services))))
    val before = usedBytes()
    val replies = (1L..WAITING).sumOf { dispatcher.handle(1, RequestEvent.Arrived(waitingRequest(it))).size }
    val after = usedBytes()
    val held = WAITING - replies
    dispatcher.handle(DEADLINE_MILLIS, RequestEvent.Tick)
    report.remark("memory of the dispatcher for $held requests that wait, without their content")
    report.figure("memory for each waiting request", (after - before).toDouble() / maxOf(held, 1), "bytes")
}

private fun waitingRequest(number: Long) = ArrivedRequest(
    id = RequestId(number),
    service = ServiceId(serviceName(0)),
    team = null,
    priority = Priority.NORMAL,
    key = null,
    idempotent = true,
    deadlineMillis = DEADLINE_MILLIS,
    sizeBytes = 0,
)

private fun usedBytes(): Long {
    repeat(COLLECTIONS) { System.gc() }
    val runtime = Runtime.getRuntime()
    return runtime.totalMemory() - runtime.freeMemory()
}
