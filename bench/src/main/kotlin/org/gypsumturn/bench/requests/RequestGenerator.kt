// Generates the requests of a run: Poisson arrivals at the rate of the scenario, callers that repeat an idempotency
// key, and callers that leave before they get a reply.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.Verdict

/** Interval at which the rate is read again while it is too low to draw the next arrival. */
private const val RATE_CHECK_MICROS = 100 * MICROS_PER_MILLI

private const val MIN_RATE_PER_SECOND = 0.1

/** Time after which a caller repeats a keyed request, unless it has been told that the request ran. */
private const val REPEAT_AFTER_MICROS = 500 * MICROS_PER_MILLI

/** Generates the requests of one run. */
internal class RequestGenerator(private val simulation: RequestSimulation) {
    private val scenario = simulation.scenario
    private val random = simulation.random
    private var isRunning = true
    private var lastNumber = 0L

    fun start() {
        scenario.executorsPerService.indices.forEach { scheduleNextArrival(it) }
    }

    fun stop() {
        isRunning = false
    }

    private fun scheduleNextArrival(service: Int) {
        val nowSeconds = simulation.eventLoop.nowMicros.toDouble() / MICROS_PER_SECOND
        val slots = scenario.executorsPerService[service] * SLOTS_PER_EXECUTOR
        val capacityPerSecond = slots * 1_000.0 / scenario.meanRunMillis
        val rate = capacityPerSecond * scenario.loadAt(service, nowSeconds)
        if (rate < MIN_RATE_PER_SECOND) {
            simulation.eventLoop.schedule(RATE_CHECK_MICROS) { if (isRunning) scheduleNextArrival(service) }
            return
        }
        simulation.eventLoop.schedule(random.exponentialMicros(rate)) {
            if (isRunning) {
                generateCall(service)
                scheduleNextArrival(service)
            }
        }
    }

    private fun generateCall(service: Int) {
        val drawn = random.nextDouble()
        var cumulativeShare = 0.0
        val requestClass = scenario.classes.firstOrNull { candidate ->
            cumulativeShare += candidate.share
            drawn < cumulativeShare
        } ?: scenario.classes.last()
        val number = ++lastNumber
        val key = if (random.nextDouble() < requestClass.keyedShare) IdempotencyKey("key-$number") else null
        val call = newCall(number, service, requestClass, key)
        simulation.submit(call)
        if (random.nextDouble() < scenario.faults.leavingCallerShare) scheduleLeaving(call, requestClass)
        if (key != null && random.nextDouble() < scenario.faults.repeatShare) scheduleRepeat(call, requestClass)
    }

    private fun newCall(number: Long, service: Int, requestClass: RequestClass, key: IdempotencyKey?): Call {
        val nowMicros = simulation.eventLoop.nowMicros
        return Call(
            number = number,
            service = service,
            priority = requestClass.priority,
            key = key,
            idempotent = key == null,
            arrivedMicros = nowMicros,
            deadlineMicros = nowMicros + requestClass.deadlineMillis * MICROS_PER_MILLI,
            runMicros = random.runTimeMicros(scenario.meanRunMillis),
        )
    }

    private fun scheduleLeaving(call: Call, requestClass: RequestClass) {
        val delayMicros = (random.nextDouble() * requestClass.deadlineMillis * MICROS_PER_MILLI / 4).toLong()
        simulation.eventLoop.schedule(delayMicros) { simulation.handleCallerLeft(call) }
    }

    /** Sends a request with the same key through any entry, even if the first request still runs. */
    private fun scheduleRepeat(call: Call, requestClass: RequestClass) {
        simulation.eventLoop.schedule(REPEAT_AFTER_MICROS) {
            if (isRunning && call.verdict !is Verdict.Ran) {
                val repeat = newCall(++lastNumber, call.service, requestClass, call.key)
                simulation.submit(repeat)
            }
        }
    }
}
