// Simulates callers, entries, executors and the messages between them in virtual time, around the real dispatchers.

package org.gypsumturn.bench.requests

import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.InstanceId
import org.gypsumturn.request.ExchangeResult
import org.gypsumturn.request.RequestEvent
import org.gypsumturn.request.SlotReport

private const val SAMPLE_INTERVAL_MICROS = 20 * MICROS_PER_MILLI
private const val HTTP_OK = 200
private const val HTTP_UNAVAILABLE = 503

/** Simulates one run of [scenario]. */
internal class RequestSimulation(val scenario: Scenario) {
    val eventLoop = VirtualTimeLoop()
    val statistics = RunStatistics()
    val random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed)
    val intentStore = SimulatedIntentStore(eventLoop, random, scenario.faults.lostIntentAnswerShare)
    val executors: List<Executor> = createExecutors(scenario)
    val entries: List<Entry> = (0 until scenario.entries).map { Entry(this, it, nodeName(it)) }
    private val executorById = executors.associateBy { it.id }
    private val waitingByService = IntArray(scenario.executorsPerService.size)
    private val router: RequestRouter = if (scenario.scheme == Scheme.OWNED) OwnerRouter(this) else DirectRouter(this)
    private val requestGenerator = RequestGenerator(this)
    private val grantExcessSampler = GrantExcessSampler(this)

    /** Runs the scenario and returns its statistics. */
    fun run(): RunStatistics {
        router.start()
        requestGenerator.start()
        scenario.events.forEach { (seconds, event) ->
            eventLoop.schedule((seconds * MICROS_PER_SECOND).toLong()) { event() }
        }
        eventLoop.scheduleEvery(SAMPLE_INTERVAL_MICROS) { recordSample() }
        eventLoop.runUntil(scenario.seconds * MICROS_PER_SECOND)
        requestGenerator.stop()
        // Runs until the deadlines of all requests have passed, so that each of them has its verdict.
        val longestMillis = scenario.classes.maxOf { it.deadlineMillis }
        eventLoop.runUntil(eventLoop.nowMicros + (longestMillis + 1_000) * MICROS_PER_MILLI)
        return statistics
    }

    /** Sends [call] to an entry, as the load balancer does. */
    fun submit(call: Call) {
        statistics.calls += call
        waitingByService[call.service]++
        router.route(call)
    }

    fun handleCallerLeft(call: Call) {
        if (call.replies > 0) return
        call.callerLeft = true
        stopWaiting(call)
        router.handleCallerLeft(call)
    }

    fun stopWaiting(call: Call) {
        if (call.waiting) waitingByService[call.service]--
        call.waiting = false
    }

    /** Sends the slot report of an entry to the other entries. */
    fun sendSlotReport(from: Entry, report: SlotReport) {
        entries.filter { it !== from && !it.isIsolated }.forEach { peer ->
            eventLoop.schedule(random.hopMicros()) { peer.handle(RequestEvent.PeerReported(report)) }
        }
    }

    /** Sends [call] to an executor. [onResult] receives the result, except when the connection goes silent. */
    fun sendToExecutor(call: Call, target: InstanceId, onResult: (ExchangeResult) -> Unit) {
        val executor = executorById.getValue(target)
        val silent = random.nextDouble() < scenario.faults.silentShare
        val isDelivered = !silent || random.nextBoolean()
        eventLoop.schedule(random.hopMicros()) {
            val onAnswer = { result: ExchangeResult ->
                if (!silent) eventLoop.schedule(random.hopMicros()) { onResult(result) }
            }
            if (isDelivered) receiveAtExecutor(call, executor, onAnswer)
        }
    }

    private fun receiveAtExecutor(call: Call, executor: Executor, onAnswer: (ExchangeResult) -> Unit) {
        if (executor.leavingSinceMicros >= 0) executor.lastNewExchangeMicros = eventLoop.nowMicros
        when (executor.mode) {
            ExecutorMode.SILENT -> return

            ExecutorMode.DEAD ->
                return onAnswer(ExchangeResult.NotSent(Failure(FailureKind.UNREACHABLE, "connection refused")))

            ExecutorMode.REFUSING -> return onAnswer(recordRefusal())

            ExecutorMode.FAILING, ExecutorMode.HEALTHY -> Unit
        }
        if (!executor.hasFreeSlot) return onAnswer(recordRefusal())
        runOnExecutor(call, executor, onAnswer)
    }

    private fun recordRefusal(): ExchangeResult {
        statistics.overloadRefusals++
        return ExchangeResult.Answered(HTTP_UNAVAILABLE, overloaded = true)
    }

    private fun runOnExecutor(call: Call, executor: Executor, onAnswer: (ExchangeResult) -> Unit) {
        executor.runningCount++
        call.runs++
        stopWaiting(call)
        statistics.recordStart(call, eventLoop.nowMicros)
        val isReset = random.nextDouble() < scenario.faults.resetShare
        val fails = executor.mode == ExecutorMode.FAILING
        eventLoop.schedule(if (fails) MICROS_PER_MILLI else call.runMicros) {
            executor.runningCount--
            if (isReset || fails) {
                onAnswer(ExchangeResult.Unanswered(Failure(FailureKind.BROKEN_ANSWER, "reset"), silent = false))
            } else {
                onAnswer(ExchangeResult.Answered(HTTP_OK, overloaded = false))
            }
        }
    }

    private fun recordSample() {
        if (eventLoop.nowMicros >= scenario.seconds * MICROS_PER_SECOND) return
        scenario.executorsPerService.indices.forEach { service ->
            val healthyExecutors = executors.filter { it.service == service && it.mode == ExecutorMode.HEALTHY }
            val idle = healthyExecutors.sumOf { SLOTS_PER_EXECUTOR - it.runningCount }
            statistics.recordIdleSample(idle, waitingByService[service], healthyExecutors.size * SLOTS_PER_EXECUTOR)
        }
        grantExcessSampler.sample()
    }
}
