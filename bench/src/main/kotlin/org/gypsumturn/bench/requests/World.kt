// The simulated world: callers, entries, executors and what passes between them.

package org.gypsumturn.bench.requests

import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.request.ExchangeResult
import org.gypsumturn.request.RequestEvent
import org.gypsumturn.request.SlotReport

private const val SAMPLE_MICROS = 20 * MICROS_PER_MILLI
private const val OK = 200
private const val BUSY = 503

/** One run of [scenario]. */
internal class World(val scenario: Scenario) {
    val simulator = Simulator()
    val tally = Tally()
    val random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed)
    val intents = Intents(simulator, random, scenario.faults.lostIntentAnswerShare)
    val executors: List<Executor> = executorsOf(scenario)
    val entries: List<Entry> = (0 until scenario.entries).map { Entry(this, it, nodeName(it)) }
    private val executorById = executors.associateBy { it.id }
    private val waiting = IntArray(scenario.executorsOf.size)
    private val access: Access = if (scenario.scheme == Scheme.OWNED) OwnerAccess(this) else DirectAccess(this)
    private val callers = Callers(this)
    private val grants = GrantWatch(this)

    /** Runs the scenario and returns what was measured. */
    fun run(): Tally {
        access.start()
        callers.start()
        scenario.events.forEach { (seconds, event) ->
            simulator.after((seconds * MICROS_PER_SECOND).toLong()) { event() }
        }
        simulator.every(SAMPLE_MICROS) { sample() }
        simulator.runUntil(scenario.seconds * MICROS_PER_SECOND)
        callers.stop()
        // Everything that still waits has its end by then.
        val longestMillis = scenario.classes.maxOf { it.deadlineMillis }
        simulator.runUntil(simulator.nowMicros + (longestMillis + 1_000) * MICROS_PER_MILLI)
        return tally
    }

    /** Hands [call] to an entry, as the balancer would. */
    fun arrive(call: Call) {
        tally.calls += call
        waiting[call.service]++
        access.arrive(call)
    }

    fun callerLeft(call: Call) {
        if (call.replies > 0) return
        call.callerLeft = true
        noLongerWaits(call)
        access.callerLeft(call)
    }

    fun noLongerWaits(call: Call) {
        if (call.waiting) waiting[call.service]--
        call.waiting = false
    }

    /** Passes a report on to the other entries. */
    fun tellPeers(from: Entry, report: SlotReport) {
        entries.filter { it !== from && !it.isolated }.forEach { peer ->
            simulator.after(random.hopMicros()) { peer.handle(RequestEvent.PeerReported(report)) }
        }
    }

    /** Sends [call] to an executor; [ended] is called unless the connection is silent. */
    fun exchange(call: Call, target: InstanceId, ended: (ExchangeResult) -> Unit) {
        val executor = executorById.getValue(target)
        val silent = random.nextDouble() < scenario.faults.silentShare
        val isDelivered = !silent || random.nextBoolean()
        simulator.after(random.hopMicros()) {
            val answer = { result: ExchangeResult ->
                if (!silent) simulator.after(random.hopMicros()) { ended(result) }
            }
            if (isDelivered) receive(call, executor, answer)
        }
    }

    private fun receive(call: Call, executor: Executor, answer: (ExchangeResult) -> Unit) {
        if (executor.leavingMicros >= 0) executor.lastNewMicros = simulator.nowMicros
        when (executor.mode) {
            ExecutorMode.SILENT -> return

            ExecutorMode.DEAD ->
                return answer(ExchangeResult.NotSent(Failure(FailureKind.UNREACHABLE, "connection refused")))

            ExecutorMode.REFUSING -> return answer(refusal())

            ExecutorMode.FAILING, ExecutorMode.HEALTHY -> Unit
        }
        if (!executor.hasSlot) return answer(refusal())
        run(call, executor, answer)
    }

    private fun refusal(): ExchangeResult {
        tally.overloads++
        return ExchangeResult.Answered(BUSY, overloaded = true)
    }

    private fun run(call: Call, executor: Executor, answer: (ExchangeResult) -> Unit) {
        executor.running++
        call.runs++
        noLongerWaits(call)
        tally.started(call, simulator.nowMicros)
        val isReset = random.nextDouble() < scenario.faults.resetShare
        val fails = executor.mode == ExecutorMode.FAILING
        simulator.after(if (fails) MICROS_PER_MILLI else call.serviceMicros) {
            executor.running--
            if (isReset || fails) {
                answer(ExchangeResult.Unanswered(Failure(FailureKind.BROKEN_ANSWER, "reset"), silent = false))
            } else {
                answer(ExchangeResult.Answered(OK, overloaded = false))
            }
        }
    }

    private fun sample() {
        if (simulator.nowMicros >= scenario.seconds * MICROS_PER_SECOND) return
        scenario.executorsOf.indices.forEach { service ->
            val own = executors.filter { it.service == service && it.mode == ExecutorMode.HEALTHY }
            val idle = own.sumOf { SLOTS_PER_EXECUTOR - it.running }
            tally.sampleIdle(idle, waiting[service], own.size * SLOTS_PER_EXECUTOR)
        }
        grants.sample()
    }
}
