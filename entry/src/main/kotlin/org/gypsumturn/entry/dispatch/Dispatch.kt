// Feeds the request dispatcher with what happens at this entry, in order, and carries out what it asks for. All of it
// runs on the dispatch thread.

package org.gypsumturn.entry.dispatch

import org.gypsumturn.entry.http.Answers
import org.gypsumturn.entry.http.Header
import org.gypsumturn.entry.http.HeaderNames
import org.gypsumturn.entry.http.HttpAnswer
import org.gypsumturn.entry.http.HttpStatus
import org.gypsumturn.entry.http.VerdictNames
import org.gypsumturn.entry.ledger.LedgerOrder
import org.gypsumturn.entry.target.ExchangeEnd
import org.gypsumturn.entry.target.TargetExchange
import org.gypsumturn.entry.target.TargetPlace
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
 * The dispatcher of one entry with its surroundings. Not thread-safe.
 *
 * @param onFinished is called for each request of which nothing is open any more
 */
internal class Dispatch(
    settings: DispatchSettings,
    private val ports: DispatchPorts,
    seed: Long,
    private val onFinished: (ServiceCall) -> Unit,
) {
    private val dispatcher = RequestDispatcher(settings, ports.self, seed)
    private val calls = HashMap<RequestId, ServiceCall>()
    private val callsByTeam = TeamCounts()
    private val counts = ActivityCounts()
    private var view: FleetView? = null
    private var readiness: Readiness? = null
    private var lastTickMillis = Long.MIN_VALUE / 2
    private var lastFollowMillis = Long.MIN_VALUE

    /** What is under way, together with the version that all of it follows. */
    @Volatile
    var activity = NodeActivity(version = ViewVersion.NONE)
        private set

    private val ownInputs = ArrayDeque<DispatchInput>()
    private val heldReplies = ArrayDeque<HeldReply>()

    /** Takes note of [input]. */
    fun handle(input: DispatchInput) {
        follow()
        handleOne(input)
        handleOwnInputs()
    }

    private fun handleOwnInputs() {
        while (ownInputs.isNotEmpty()) handleOne(ownInputs.removeFirst())
    }

    private fun handleOne(input: DispatchInput) {
        when (input) {
            is DispatchInput.Arrived -> arrived(input.call)
            is DispatchInput.CallerLeft -> callerLeft(input.id)
            is DispatchInput.IntentEnded -> intentEnded(input)
            is DispatchInput.OutcomeAttempted -> outcomeAttempted(input.id)
            is DispatchInput.ExchangeEnded -> exchangeEnded(input)
            is DispatchInput.PeerReported -> tell(RequestEvent.PeerReported(input.report))
            is DispatchInput.TargetLeaving -> tell(RequestEvent.TargetLeaving(input.instance))
        }
    }

    /** Takes note of the passing of time, and of a newer view or readiness. */
    fun advance() {
        follow()
        val now = ports.nowMillis()
        while (heldReplies.isNotEmpty() && heldReplies.first().untilMillis <= now) heldReplies.removeFirst().send()
        if (now - lastTickMillis >= TICK_MILLIS) {
            lastTickMillis = now
            tell(RequestEvent.Tick)
            view?.let { activity = counts.snapshot(it) }
        }
        handleOwnInputs()
    }

    // The view and the readiness are read, not handed over, so that a full ring can never hide a newer one.
    private fun follow() {
        val newView = ports.view()
        if (newView !== view) {
            view = newView
            tell(RequestEvent.ViewChanged(newView))
        }
        val now = ports.nowMillis()
        if (now == lastFollowMillis) return
        lastFollowMillis = now
        val newReadiness = ports.readiness()
        if (newReadiness.ready != readiness?.ready) {
            readiness = newReadiness
            tell(RequestEvent.ReadinessChanged(newReadiness.ready, newReadiness.reason))
        }
    }

    private fun tell(event: RequestEvent) {
        dispatcher.handle(ports.nowMillis(), event).forEach(::carryOut)
    }

    private fun arrived(call: ServiceCall) {
        calls[call.id] = call
        callsByTeam.add(call.request.team)
        counts.requests(call.service.pool, 1)
        call.trace.queued()
        tell(RequestEvent.Arrived(call.arrived()))
    }

    private fun callerLeft(id: RequestId) {
        val call = calls[id] ?: return
        if (!call.closed) close(call, "left")
        tell(RequestEvent.CallerLeft(id))
        forgetIfFinished(call)
    }

    private fun intentEnded(input: DispatchInput.IntentEnded) {
        val call = calls[input.id] ?: return
        call.intentOpen = false
        call.recorded = input.recorded
        ports.metrics.intentEnded(nameOf(input.outcome))
        tell(RequestEvent.IntentEnded(input.id, input.outcome))
        forgetIfFinished(call)
    }

    private fun outcomeAttempted(id: RequestId) {
        val call = calls[id] ?: return
        call.outcomeOpen = false
        call.heldReply?.invoke()
        call.heldReply = null
        forgetIfFinished(call)
    }

    private fun exchangeEnded(input: DispatchInput.ExchangeEnded) {
        val call = calls[input.request]
        if (call != null) {
            call.exchangeInstances.remove(input.exchange)?.let { counts.exchanges(call.service.pool, it, -1) }
            input.end.answer?.let { call.answers[input.exchange] = it }
        }
        ports.metrics.exchanged(nameOf(input.end.result))
        tell(RequestEvent.ExchangeEnded(input.exchange, input.end.result))
        if (call != null) {
            call.answers.remove(input.exchange)
            forgetIfFinished(call)
        }
    }

    private fun carryOut(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.RecordIntent -> recordIntent(calls.getValue(effect.request))
            is RequestEffect.Send -> send(calls.getValue(effect.request), effect)
            is RequestEffect.Reply -> calls[effect.request]?.let { reply(it, effect.verdict) }
            is RequestEffect.RecordOutcome -> calls[effect.request]?.let { recordOutcome(it, effect.verdict) }
            is RequestEffect.SendSlotReport -> ports.tellPeers(effect.report)
        }
    }

    private fun recordIntent(call: ServiceCall) {
        val key = KeyedRows.keyOf(call)
        val row = KeyedRows.intent(call, ports.self, ports.epochMillis())
        call.intent = row
        call.intentOpen = true
        val order = LedgerOrder.Intent(key, row, call.deadlineMillis) { outcome, recorded ->
            ports.post(DispatchInput.IntentEnded(call.id, outcome, recorded))
        }
        if (ports.record(order)) return
        val failure = Failure(FailureKind.OVERLOADED, "too many keyed requests wait to be recorded")
        ownInputs += DispatchInput.IntentEnded(call.id, IntentOutcome.NotRecorded(failure), null)
    }

    private fun recordOutcome(call: ServiceCall, verdict: Verdict<ExchangeId?>) {
        val intent = call.intent ?: return
        val key = KeyedRows.keyOf(call)
        val answer = (verdict as? Verdict.Ran)?.let { call.answers[it.value] }
        val row = KeyedRows.outcome(intent, verdict, answer, ports.epochMillis(), ports.maxRecordedBytes)
        call.outcomeOpen = true
        val order = LedgerOrder.Outcome(key, intent, row) { ports.post(DispatchInput.OutcomeAttempted(call.id)) }
        if (!ports.record(order)) {
            call.outcomeOpen = false
            ports.metrics.outcomesDropped.inc()
        }
    }

    private fun send(call: ServiceCall, effect: RequestEffect.Send) {
        val instance = view?.instances?.get(effect.target)
        call.exchangeInstances[effect.exchange] = effect.target
        counts.exchanges(call.service.pool, effect.target, 1)
        call.lastTarget = effect.target
        call.attempts++
        if (call.attempts > 1) ports.metrics.retries.inc()
        if (instance == null) {
            val failure = Failure(FailureKind.UNREACHABLE, "the target has left the fleet")
            val end = ExchangeEnd(ExchangeResult.NotSent(failure))
            ownInputs += DispatchInput.ExchangeEnded(call.id, effect.exchange, end)
            return
        }
        val trace = call.trace.sent(effect.target)
        val headers = call.request.headers + listOfNotNull(trace.header, Header("X-Service", call.service.id.value))
        val exchange = TargetExchange(
            TargetPlace(instance.id, instance.address, connectionShare(instance)),
            TargetRequest(call.request.method, call.request.uri, headers, call.request.body),
            ports.nowMillis() + effect.timeoutMillis,
            call.service.maxAnswerBytes,
        ) { end ->
            trace.ended(end.answer != null)
            ports.post(DispatchInput.ExchangeEnded(call.id, effect.exchange, end))
        }
        ports.send(exchange)
    }

    private fun connectionShare(instance: Instance): Int {
        val entries = view?.nodes?.values?.count { it.role == NodeRole.ENTRY } ?: 1
        return maxOf(1, instance.connections / maxOf(1, entries))
    }

    private fun reply(call: ServiceCall, verdict: Verdict<ExchangeId?>) {
        if (call.closed) return
        val answer = answerOf(call, verdict)
        if (verdict is Verdict.NotRun && call.outcomeOpen) {
            // The caller may use its key again at once, so the intent is released first, if that does not take long.
            val held = HeldReply(ports.nowMillis() + HOLD_MILLIS) { finishReply(call, answer) }
            call.heldReply = held.send
            heldReplies += held
        } else {
            finishReply(call, answer)
        }
    }

    private fun finishReply(call: ServiceCall, answer: HttpAnswer) {
        if (call.closed) return
        close(call, answer.headers.last { it.name == HeaderNames.VERDICT }.value)
        call.reply(answer)
        forgetIfFinished(call)
    }

    private fun close(call: ServiceCall, verdict: String) {
        call.closed = true
        call.trace.ended(verdict)
        ports.metrics.replied(call.service.id.value, verdict, ports.nowMillis() - call.arrivedMillis)
        val line = if (verdict == VerdictNames.MAY_HAVE_RUN) log.atInfo() else log.atDebug()
        line
            .addKeyValue(LogKeys.REQUEST, call.id.value)
            .addKeyValue(LogKeys.POOL, call.service.pool)
            .addKeyValue(LogKeys.INSTANCE, call.lastTarget)
            .log("request to {} ended: {}", call.service.id, verdict)
    }

    private fun answerOf(call: ServiceCall, verdict: Verdict<ExchangeId?>): HttpAnswer {
        if (verdict is Verdict.Ran) {
            val answer = if (verdict.value == null) call.recorded else call.answers[verdict.value]
            return answer?.let(Answers::ran) ?: Answers.withoutResult(verdict)
        }
        val limited = verdict is Verdict.NotRun && verdict.failure.kind == FailureKind.OVERLOADED
        if (limited && call.attempts == 0 && callsByTeam.atLimit(call.request.team, view)) {
            return Answers.notRun(HttpStatus.TOO_MANY_REQUESTS, (verdict as Verdict.NotRun).failure)
        }
        return Answers.withoutResult(verdict)
    }

    private fun forgetIfFinished(call: ServiceCall) {
        if (!call.finished || calls.remove(call.id) == null) return
        callsByTeam.remove(call.request.team)
        counts.requests(call.service.pool, -1)
        onFinished(call)
    }

    private class HeldReply(val untilMillis: Long, val send: () -> Unit)

    private companion object {
        const val TICK_MILLIS = 20L
        const val HOLD_MILLIS = 500L
        val log = LoggerFactory.getLogger(Dispatch::class.java)
    }
}
