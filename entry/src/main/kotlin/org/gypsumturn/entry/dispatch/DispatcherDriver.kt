// Drives the request dispatcher of this entry: passes it the inputs in order and carries out the effects that it
// returns. Everything here runs on the dispatch thread.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.http.Answers
import org.gypsumturn.entry.http.Header
import org.gypsumturn.entry.http.HeaderNames
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.HttpStatus
import org.gypsumturn.entry.http.VerdictNames
import org.gypsumturn.entry.ledger.LedgerCommand
import org.gypsumturn.entry.target.ExchangeOutcome
import org.gypsumturn.entry.target.TargetEndpoint
import org.gypsumturn.entry.target.TargetExchange
import org.gypsumturn.entry.target.TargetRequest
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.NodeRole
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.peer.NodeActivity
import org.gypsumturn.request.DispatchSettings
import org.gypsumturn.request.ExchangeId
import org.gypsumturn.request.ExchangeResult
import org.gypsumturn.request.IntentOutcome
import org.gypsumturn.request.RequestDispatcher
import org.gypsumturn.request.RequestEffect
import org.gypsumturn.request.RequestEvent
import org.gypsumturn.request.RequestId
import org.gypsumturn.runtime.log.LogKeys
import org.gypsumturn.view.Readiness
import org.slf4j.LoggerFactory

/**
 * Passes inputs to a [RequestDispatcher] and carries out its effects. Not thread-safe.
 *
 * @param onFinished called once for each request when it has been answered and no exchange or table write of it is open
 */
internal class DispatcherDriver(
    settings: DispatchSettings,
    private val ports: DispatchPorts,
    seed: Long,
    private val onFinished: (ServiceCall) -> Unit,
) {
    private val dispatcher = RequestDispatcher(settings, ports.self, seed)
    private val calls = HashMap<RequestId, ServiceCall>()
    private val callsByTeam = TeamRequestCounts()
    private val activityCounts = ActivityCounts()
    private var view: FleetView? = null
    private var readiness: Readiness? = null
    private var lastTickMillis = Long.MIN_VALUE / 2
    private var lastReadinessCheckMillis = Long.MIN_VALUE

    /** Open requests and exchanges, with the view version that all of them follow. Readable from any thread. */
    @Volatile
    var activity = NodeActivity(version = ViewVersion.NONE)
        private set

    private val internalInputs = ArrayDeque<DispatchInput>()
    private val heldReplies = ArrayDeque<HeldReply>()

    /** Applies the newest view and readiness, then handles [input] and the inputs that follow from it. */
    fun handle(input: DispatchInput) {
        applyViewAndReadiness()
        handleInput(input)
        handleInternalInputs()
    }

    private fun handleInternalInputs() {
        while (internalInputs.isNotEmpty()) handleInput(internalInputs.removeFirst())
    }

    private fun handleInput(input: DispatchInput) {
        when (input) {
            is DispatchInput.Arrived -> onArrived(input.call)
            is DispatchInput.CallerLeft -> onCallerLeft(input.id)
            is DispatchInput.IntentEnded -> onIntentEnded(input)
            is DispatchInput.OutcomeAttempted -> onOutcomeAttempted(input.id)
            is DispatchInput.ExchangeEnded -> onExchangeEnded(input)
            is DispatchInput.PeerReported -> passToDispatcher(RequestEvent.PeerReported(input.report))
            is DispatchInput.TargetLeaving -> passToDispatcher(RequestEvent.TargetLeaving(input.instance))
        }
    }

    /**
     * Applies the newest view and readiness, sends the replies that were held back long enough and lets the dispatcher
     * act on the time. To be called at short intervals.
     */
    fun tick() {
        applyViewAndReadiness()
        val now = ports.nowMillis()
        while (heldReplies.isNotEmpty() && heldReplies.first().untilMillis <= now) heldReplies.removeFirst().send()
        if (now - lastTickMillis >= TICK_INTERVAL_MILLIS) {
            lastTickMillis = now
            passToDispatcher(RequestEvent.Tick)
            view?.let { activity = activityCounts.snapshot(it) }
        }
        handleInternalInputs()
    }

    // The view and the readiness are polled instead of queued, so that a full queue cannot delay a newer one.
    private fun applyViewAndReadiness() {
        val newView = ports.view()
        if (newView !== view) {
            view = newView
            passToDispatcher(RequestEvent.ViewChanged(newView))
        }
        val now = ports.nowMillis()
        if (now == lastReadinessCheckMillis) return
        lastReadinessCheckMillis = now
        val newReadiness = ports.readiness()
        if (newReadiness.ready != readiness?.ready) {
            readiness = newReadiness
            passToDispatcher(RequestEvent.ReadinessChanged(newReadiness.ready, newReadiness.reason))
        }
    }

    private fun passToDispatcher(event: RequestEvent) {
        dispatcher.handle(ports.nowMillis(), event).forEach(::executeEffect)
    }

    private fun onArrived(call: ServiceCall) {
        calls[call.id] = call
        callsByTeam.add(call.request.team)
        activityCounts.addRequests(call.service.pool, 1)
        call.trace.startQueueSpan()
        passToDispatcher(RequestEvent.Arrived(call.toArrivedRequest()))
    }

    private fun onCallerLeft(id: RequestId) {
        val call = calls[id] ?: return
        if (!call.closed) closeCall(call, "left")
        passToDispatcher(RequestEvent.CallerLeft(id))
        removeIfFinished(call)
    }

    private fun onIntentEnded(input: DispatchInput.IntentEnded) {
        val call = calls[input.id] ?: return
        call.intentPending = false
        call.recordedAnswer = input.recordedAnswer
        ports.metrics.recordIntentOutcome(metricLabelOf(input.outcome))
        passToDispatcher(RequestEvent.IntentEnded(input.id, input.outcome))
        removeIfFinished(call)
    }

    private fun onOutcomeAttempted(id: RequestId) {
        val call = calls[id] ?: return
        call.outcomePending = false
        call.heldReply?.invoke()
        call.heldReply = null
        removeIfFinished(call)
    }

    private fun onExchangeEnded(input: DispatchInput.ExchangeEnded) {
        val call = calls[input.request]
        if (call != null) {
            call.exchangeInstances
                .remove(input.exchange)
                ?.let { activityCounts.addExchanges(call.service.pool, it, -1) }
            input.outcome.answer?.let { call.answers[input.exchange] = it }
        }
        ports.metrics.recordExchange(metricLabelOf(input.outcome.result))
        passToDispatcher(RequestEvent.ExchangeEnded(input.exchange, input.outcome.result))
        if (call != null) {
            call.answers.remove(input.exchange)
            removeIfFinished(call)
        }
    }

    private fun executeEffect(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.RecordIntent -> recordIntent(calls.getValue(effect.request))
            is RequestEffect.Send -> startExchange(calls.getValue(effect.request), effect)
            is RequestEffect.Reply -> calls[effect.request]?.let { sendReply(it, effect.verdict) }
            is RequestEffect.RecordOutcome -> calls[effect.request]?.let { recordOutcome(it, effect.verdict) }
            is RequestEffect.SendSlotReport -> ports.sendSlotReport(effect.report)
        }
    }

    private fun recordIntent(call: ServiceCall) {
        val key = KeyedRequestRows.keyOf(call)
        val row = KeyedRequestRows.intentRow(call, ports.self, ports.epochMillis())
        call.intent = row
        call.intentPending = true
        val command = LedgerCommand.Intent(key, row, call.deadlineMillis) { outcome, recordedAnswer ->
            ports.post(DispatchInput.IntentEnded(call.id, outcome, recordedAnswer))
        }
        if (ports.record(command)) return
        val failure = Failure(FailureKind.OVERLOADED, "too many keyed requests wait to be recorded")
        internalInputs += DispatchInput.IntentEnded(call.id, IntentOutcome.NotRecorded(failure), null)
    }

    private fun recordOutcome(call: ServiceCall, verdict: Verdict<ExchangeId?>) {
        val intent = call.intent ?: return
        val key = KeyedRequestRows.keyOf(call)
        val answer = (verdict as? Verdict.Ran)?.let { call.answers[it.value] }
        val row = KeyedRequestRows.outcomeRow(intent, verdict, answer, ports.epochMillis(), ports.maxRecordedBytes)
        call.outcomePending = true
        val command = LedgerCommand.Outcome(key, intent, row) { ports.post(DispatchInput.OutcomeAttempted(call.id)) }
        if (!ports.record(command)) {
            call.outcomePending = false
            ports.metrics.outcomesDropped.inc()
        }
    }

    private fun startExchange(call: ServiceCall, effect: RequestEffect.Send) {
        val instance = view?.instances?.get(effect.target)
        call.exchangeInstances[effect.exchange] = effect.target
        activityCounts.addExchanges(call.service.pool, effect.target, 1)
        call.lastTarget = effect.target
        call.attempts++
        if (call.attempts > 1) ports.metrics.retries.inc()
        if (instance == null) {
            val failure = Failure(FailureKind.UNREACHABLE, "the target has left the fleet")
            val outcome = ExchangeOutcome(ExchangeResult.NotSent(failure))
            internalInputs += DispatchInput.ExchangeEnded(call.id, effect.exchange, outcome)
            return
        }
        val trace = call.trace.startExchangeSpan(effect.target)
        val headers = call.request.headers + listOfNotNull(trace.header, Header("X-Service", call.service.id.value))
        val exchange = TargetExchange(
            TargetEndpoint(instance.id, instance.address, connectionShare(instance)),
            TargetRequest(call.request.method, call.request.uri, headers, call.request.body),
            ports.nowMillis() + effect.timeoutMillis,
            call.service.maxAnswerBytes,
        ) { outcome ->
            trace.end(outcome.answer != null)
            ports.post(DispatchInput.ExchangeEnded(call.id, effect.exchange, outcome))
        }
        ports.send(exchange)
    }

    private fun connectionShare(instance: Instance): Int {
        val entries = view?.nodes?.values?.count { it.role == NodeRole.ENTRY } ?: 1
        return maxOf(1, instance.connections / maxOf(1, entries))
    }

    private fun sendReply(call: ServiceCall, verdict: Verdict<ExchangeId?>) {
        if (call.closed) return
        val answer = httpAnswerOf(call, verdict)
        if (verdict is Verdict.NotRun && call.outcomePending) {
            // The caller may reuse its key as soon as it has the reply. The reply therefore waits for the first attempt
            // to remove the intent, but at most MAX_REPLY_DELAY_MILLIS.
            val held = HeldReply(ports.nowMillis() + MAX_REPLY_DELAY_MILLIS) { finishReply(call, answer) }
            call.heldReply = held.send
            heldReplies += held
        } else {
            finishReply(call, answer)
        }
    }

    private fun finishReply(call: ServiceCall, answer: HttpAnswer) {
        if (call.closed) return
        closeCall(call, answer.headers.last { it.name == HeaderNames.VERDICT }.value)
        call.reply(answer)
        removeIfFinished(call)
    }

    private fun closeCall(call: ServiceCall, verdict: String) {
        call.closed = true
        call.trace.end(verdict)
        ports.metrics.recordReply(call.service.id.value, verdict, ports.nowMillis() - call.arrivedMillis)
        val logLine = if (verdict == VerdictNames.MAY_HAVE_RUN) log.atInfo() else log.atDebug()
        logLine
            .addKeyValue(LogKeys.REQUEST, call.id.value)
            .addKeyValue(LogKeys.POOL, call.service.pool)
            .addKeyValue(LogKeys.INSTANCE, call.lastTarget)
            .log("request to service {} ended with verdict {}", call.service.id, verdict)
    }

    private fun httpAnswerOf(call: ServiceCall, verdict: Verdict<ExchangeId?>): HttpAnswer {
        if (verdict is Verdict.Ran) {
            val answer = if (verdict.value == null) call.recordedAnswer else call.answers[verdict.value]
            return answer?.let(Answers::ran) ?: Answers.withoutTargetAnswer(verdict)
        }
        val isOverloaded = verdict is Verdict.NotRun && verdict.failure.kind == FailureKind.OVERLOADED
        if (isOverloaded && call.attempts == 0 && callsByTeam.isOverLimit(call.request.team, view)) {
            return Answers.notRun(HttpStatus.TOO_MANY_REQUESTS, (verdict as Verdict.NotRun).failure)
        }
        return Answers.withoutTargetAnswer(verdict)
    }

    private fun removeIfFinished(call: ServiceCall) {
        if (!call.finished || calls.remove(call.id) == null) return
        callsByTeam.remove(call.request.team)
        activityCounts.addRequests(call.service.pool, -1)
        onFinished(call)
    }

    private class HeldReply(val untilMillis: Long, val send: () -> Unit)

    private companion object {
        const val TICK_INTERVAL_MILLIS = 20L
        const val MAX_REPLY_DELAY_MILLIS = 500L
        val log = LoggerFactory.getLogger(DispatcherDriver::class.java)
    }
}
