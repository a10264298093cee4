// Callers: Poisson arrivals at the rate that the scenario gives, deadlines, repeats of keys, and callers who leave.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.IdempotencyKey
import org.gypsumturn.model.Verdict

/** How often the rate is looked at while it is close to zero. */
private const val RATE_CHECK_MICROS = 100 * MICROS_PER_MILLI

private const val MIN_RATE_PER_SECOND = 0.1

/** Time after which a caller repeats a keyed request that it got no answer to. */
private const val REPEAT_AFTER_MICROS = 500 * MICROS_PER_MILLI

/** The callers of one run. */
internal class Callers(private val world: World) {
    private val scenario = world.scenario
    private val random = world.random
    private var running = true
    private var lastNumber = 0L

    fun start() {
        scenario.executorsOf.indices.forEach { next(it) }
    }

    fun stop() {
        running = false
    }

    private fun next(service: Int) {
        val nowSeconds = world.simulator.nowMicros.toDouble() / MICROS_PER_SECOND
        val slots = scenario.executorsOf[service] * SLOTS_PER_EXECUTOR
        val capacityPerSecond = slots * 1_000.0 / scenario.meanServiceMillis
        val rate = capacityPerSecond * scenario.loadOf(service, nowSeconds)
        if (rate < MIN_RATE_PER_SECOND) {
            world.simulator.after(RATE_CHECK_MICROS) { if (running) next(service) }
            return
        }
        world.simulator.after(random.exponentialMicros(rate)) {
            if (running) {
                call(service)
                next(service)
            }
        }
    }

    private fun call(service: Int) {
        val drawn = random.nextDouble()
        var below = 0.0
        val kind = scenario.classes.firstOrNull { candidate ->
            below += candidate.share
            drawn < below
        } ?: scenario.classes.last()
        val number = ++lastNumber
        val key = if (random.nextDouble() < kind.keyedShare) IdempotencyKey("key-$number") else null
        val call = newCall(number, service, kind, key)
        world.arrive(call)
        if (random.nextDouble() < scenario.faults.leaverShare) leaveLater(call, kind)
        if (key != null && random.nextDouble() < scenario.faults.repeatShare) repeatLater(call, kind)
    }

    private fun newCall(number: Long, service: Int, kind: RequestClass, key: IdempotencyKey?): Call {
        val nowMicros = world.simulator.nowMicros
        return Call(
            number = number,
            service = service,
            priority = kind.priority,
            key = key,
            idempotent = key == null,
            arrivedMicros = nowMicros,
            deadlineMicros = nowMicros + kind.deadlineMillis * MICROS_PER_MILLI,
            serviceMicros = random.runTimeMicros(scenario.meanServiceMillis),
        )
    }

    private fun leaveLater(call: Call, kind: RequestClass) {
        val delayMicros = (random.nextDouble() * kind.deadlineMillis * MICROS_PER_MILLI / 4).toLong()
        world.simulator.after(delayMicros) { world.callerLeft(call) }
    }

    /** Repeats the key through whichever entry the balancer picks, also while the first attempt still runs. */
    private fun repeatLater(call: Call, kind: RequestClass) {
        world.simulator.after(REPEAT_AFTER_MICROS) {
            if (running && call.verdict !is Verdict.Ran) {
                val repeat = newCall(++lastNumber, call.service, kind, call.key)
                world.arrive(repeat)
            }
        }
    }
}
