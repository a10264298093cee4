// A simulated entry: passes events to the real request dispatcher and carries out the effects that it returns, in
// virtual time.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.ServiceId
import org.gypsumturn.model.Verdict
import org.gypsumturn.request.ArrivedRequest
import org.gypsumturn.request.ExchangeId
import org.gypsumturn.request.ExchangeResult
import org.gypsumturn.request.RequestDispatcher
import org.gypsumturn.request.RequestEffect
import org.gypsumturn.request.RequestEvent
import org.gypsumturn.request.RequestId
import org.gypsumturn.request.SlotReport

private const val TICK_INTERVAL_MICROS = 50 * MICROS_PER_MILLI

/** One entry of the simulation. */
internal class Entry(private val simulation: RequestSimulation, val index: Int, val node: NodeId) {
    private class OpenExchange(val call: Call, val target: InstanceId)

    private val dispatcher =
        RequestDispatcher(simulation.scenario.dispatchSettings, node, simulation.scenario.seed + index)
    private val open = HashMap<ExchangeId, OpenExchange>()
    private val answeredCalls = HashMap<ExchangeId, Call>()
    private val heldCalls = HashMap<RequestId, Call>()
    private val eventsDuringPause = ArrayDeque<RequestEvent>()
    private val replyCallbacks = HashMap<Call, (Verdict<ExchangeId?>) -> Unit>()

    var isAlive: Boolean = true
        private set

    var isPaused: Boolean = false
        private set

    /** Whether the entry is cut off from its peers and the platform. */
    var isIsolated: Boolean = false

    /** The last slot report that the dispatcher returned. */
    var report: SlotReport? = null
        private set

    /** Number of calls that this entry keeps. Calls with an idempotency key are kept until the end of the run. */
    val heldCount: Int get() = heldCalls.size

    fun start(view: FleetView) {
        handle(RequestEvent.ViewChanged(view))
        val phase = index * TICK_INTERVAL_MICROS / simulation.scenario.entries
        simulation.eventLoop.schedule(phase) {
            simulation.eventLoop.scheduleEvery(TICK_INTERVAL_MICROS) { if (isAlive) handle(RequestEvent.Tick) }
        }
    }

    /** Passes [call] to the dispatcher; [onReply] receives the verdict. */
    fun accept(call: Call, onReply: (Verdict<ExchangeId?>) -> Unit) {
        heldCalls[RequestId(call.number)] = call
        replyCallbacks[call] = onReply
        handle(RequestEvent.Arrived(arrivedRequest(call)))
    }

    fun handleCallerLeft(call: Call) {
        handle(RequestEvent.CallerLeft(RequestId(call.number)))
    }

    fun crash() {
        isAlive = false
        heldCalls.values.filter { it.replies == 0 }.forEach {
            it.entryCrashed = true
            simulation.stopWaiting(it)
        }
        replyCallbacks.clear()
    }

    /** Handles no events for [durationMicros], then those that arrived meanwhile, except ticks. */
    fun pause(durationMicros: Long) {
        isPaused = true
        simulation.eventLoop.schedule(durationMicros) {
            isPaused = false
            while (eventsDuringPause.isNotEmpty() && isAlive) handle(eventsDuringPause.removeFirst())
        }
    }

    fun handle(event: RequestEvent) {
        if (!isAlive) return
        if (isPaused) {
            if (event !is RequestEvent.Tick) eventsDuringPause.add(event)
            return
        }
        val startNanos = System.nanoTime()
        val effects = dispatcher.handle(simulation.eventLoop.nowMillis, event)
        simulation.statistics.decisionNanos += System.nanoTime() - startNanos
        simulation.statistics.decisions++
        effects.forEach { carryOut(it) }
    }

    private fun carryOut(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.RecordIntent ->
                simulation.intentStore.record(heldCalls.getValue(effect.request)) { outcome ->
                    handle(RequestEvent.IntentEnded(effect.request, outcome))
                }

            is RequestEffect.Send -> send(effect)

            is RequestEffect.Reply -> reply(effect)

            is RequestEffect.RecordOutcome ->
                simulation.intentStore.recordOutcome(heldCalls.getValue(effect.request), effect.verdict)

            is RequestEffect.SendSlotReport -> {
                report = effect.report
                if (!isIsolated) simulation.sendSlotReport(this, effect.report)
            }
        }
    }

    private fun send(effect: RequestEffect.Send) {
        val call = heldCalls.getValue(effect.request)
        open[effect.exchange] = OpenExchange(call, effect.target)
        simulation.statistics.exchanges++
        if (call.markSent()) simulation.statistics.firstExchanges++
        simulation.sendToExecutor(call, effect.target) { result -> handleExchangeResult(effect.exchange, result) }
        simulation.eventLoop.schedule(effect.timeoutMillis * MICROS_PER_MILLI) {
            val timedOut = ExchangeResult.Unanswered(Failure(FailureKind.TIMEOUT, "no answer in time"), silent = true)
            handleExchangeResult(effect.exchange, timedOut)
        }
    }

    private fun handleExchangeResult(exchange: ExchangeId, result: ExchangeResult) {
        val openExchange = open.remove(exchange) ?: return
        if (result is ExchangeResult.Answered && !result.overloaded) answeredCalls[exchange] = openExchange.call
        handle(RequestEvent.ExchangeEnded(exchange, result))
    }

    private fun reply(effect: RequestEffect.Reply) {
        val call = heldCalls[effect.request] ?: return
        val verdict = effect.verdict
        if (verdict is Verdict.Ran) {
            val exchange = verdict.value
            val isOwnAnswer =
                if (exchange == null) simulation.intentStore.isAnswered(call.key) else answeredCalls[exchange] === call
            if (!isOwnAnswer) simulation.statistics.wrongAnswers++
        }
        if (call.key == null) heldCalls.remove(effect.request)
        replyCallbacks.remove(call)?.invoke(verdict)
    }

    private fun arrivedRequest(call: Call) = ArrivedRequest(
        id = RequestId(call.number),
        service = ServiceId(serviceName(call.service)),
        team = null,
        priority = call.priority,
        key = call.key,
        idempotent = call.idempotent,
        deadlineMillis = call.deadlineMicros / MICROS_PER_MILLI,
        sizeBytes = 0,
    )
}
