// An entry in virtual time: feeds the real dispatcher and carries out what it asks for.

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

private const val TICK_MICROS = 50 * MICROS_PER_MILLI

/** One entry of the simulated world. */
internal class Entry(private val world: World, val index: Int, val node: NodeId) {
    private class OpenExchange(val call: Call, val target: InstanceId)

    private val dispatcher = RequestDispatcher(world.scenario.dispatchSettings, node, world.scenario.seed + index)
    private val open = HashMap<ExchangeId, OpenExchange>()
    private val answered = HashMap<ExchangeId, Call>()
    private val held = HashMap<RequestId, Call>()
    private val whilePaused = ArrayDeque<RequestEvent>()
    private val replyTo = HashMap<Call, (Verdict<ExchangeId?>) -> Unit>()

    var alive: Boolean = true
        private set

    var paused: Boolean = false
        private set

    /** Whether the network to peers and the platform is cut. */
    var isolated: Boolean = false

    /** The last report that the dispatcher gave. */
    var report: SlotReport? = null
        private set

    /** Requests that wait or run here. */
    val heldCount: Int get() = held.size

    fun start(view: FleetView) {
        handle(RequestEvent.ViewChanged(view))
        val phase = index * TICK_MICROS / world.scenario.entries
        world.simulator.after(phase) { world.simulator.every(TICK_MICROS) { if (alive) handle(RequestEvent.Tick) } }
    }

    /** Takes in [call]; [replied] gets its verdict. */
    fun accept(call: Call, replied: (Verdict<ExchangeId?>) -> Unit) {
        held[RequestId(call.number)] = call
        replyTo[call] = replied
        handle(RequestEvent.Arrived(arrivedRequest(call)))
    }

    fun callerLeft(call: Call) {
        handle(RequestEvent.CallerLeft(RequestId(call.number)))
    }

    fun die() {
        alive = false
        held.values.filter { it.replies == 0 }.forEach {
            it.entryDied = true
            world.noLongerWaits(it)
        }
        replyTo.clear()
    }

    /** Handles nothing for [micros], then all that came meanwhile. */
    fun pause(micros: Long) {
        paused = true
        world.simulator.after(micros) {
            paused = false
            while (whilePaused.isNotEmpty() && alive) handle(whilePaused.removeFirst())
        }
    }

    fun handle(event: RequestEvent) {
        if (!alive) return
        if (paused) {
            if (event !is RequestEvent.Tick) whilePaused.add(event)
            return
        }
        val startNanos = System.nanoTime()
        val effects = dispatcher.handle(world.simulator.nowMillis, event)
        world.tally.decisionNanos += System.nanoTime() - startNanos
        world.tally.decisions++
        effects.forEach { carryOut(it) }
    }

    private fun carryOut(effect: RequestEffect) {
        when (effect) {
            is RequestEffect.RecordIntent -> world.intents.record(held.getValue(effect.request)) { outcome ->
                handle(RequestEvent.IntentEnded(effect.request, outcome))
            }

            is RequestEffect.Send -> send(effect)

            is RequestEffect.Reply -> reply(effect)

            is RequestEffect.RecordOutcome ->
                world.intents.recordOutcome(held.getValue(effect.request), effect.verdict)

            is RequestEffect.SendSlotReport -> {
                report = effect.report
                if (!isolated) world.tellPeers(this, effect.report)
            }
        }
    }

    private fun send(effect: RequestEffect.Send) {
        val call = held.getValue(effect.request)
        open[effect.exchange] = OpenExchange(call, effect.target)
        world.tally.exchanges++
        if (call.firstSend()) world.tally.firstExchanges++
        world.exchange(call, effect.target) { result -> ended(effect.exchange, result) }
        world.simulator.after(effect.timeoutMillis * MICROS_PER_MILLI) {
            val silent = ExchangeResult.Unanswered(Failure(FailureKind.TIMEOUT, "no answer in time"), silent = true)
            ended(effect.exchange, silent)
        }
    }

    private fun ended(exchange: ExchangeId, result: ExchangeResult) {
        val ended = open.remove(exchange) ?: return
        if (result is ExchangeResult.Answered && !result.overloaded) answered[exchange] = ended.call
        handle(RequestEvent.ExchangeEnded(exchange, result))
    }

    private fun reply(effect: RequestEffect.Reply) {
        val call = held[effect.request] ?: return
        val verdict = effect.verdict
        if (verdict is Verdict.Ran) {
            val exchange = verdict.value
            val own = if (exchange == null) world.intents.isAnswered(call.key) else answered[exchange] === call
            if (!own) world.tally.crossed++
        }
        if (call.key == null) held.remove(effect.request)
        replyTo.remove(call)?.invoke(verdict)
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
