// Decides what becomes of each request at one entry: admission, queueing, choice of a target, retry and verdict. It
// owns no thread, clock or connection; the entry feeds it events in order and carries its effects out.

package org.gypsumturn.request

import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.Service
import org.gypsumturn.model.Verdict

/**
 * The request decisions of one entry. Not thread-safe. For the same settings, seed and sequence of events it gives the
 * same effects.
 *
 * Each arrived request gets exactly one [RequestEffect.Reply], unless its caller leaves first. Each request whose
 * intent was recorded gets exactly one [RequestEffect.RecordOutcome], also after its caller left.
 *
 * @param self the node that hosts this dispatcher
 * @param seed start of the random choices among equal targets
 */
public class RequestDispatcher(private val settings: DispatchSettings, private val self: NodeId, seed: Long) {
    private val targets = TargetTable(settings.leavingNoticeMillis)
    private val judge = FaultJudge(settings, targets)
    private val limits = slotLimits()
    private val chooser =
        TargetChooser(settings, targets, limits, judge, RandomSource.SPLIT_MIX_64.create(seed))
    private val reporter = SlotReporter(self, settings, targets, chooser)
    private val admission = Admission(settings)
    private val pools = LinkedHashMap<PoolId, PoolState>()
    private val pendingById = HashMap<RequestId, PendingRequest>()
    private val exchanges = HashMap<ExchangeId, Exchange>()
    private val deadlines = DeadlineIndex()
    private var view = FleetView()

    /** Why no request is accepted, and why none is started; null while that is done. */
    private var refusing: Failure? = null
    private var halted: Failure? = null
    private var lastExchange = 0L
    private var effects = ArrayList<RequestEffect>()

    /** Decides on [event] at [nowMillis], which never goes back, and returns what the entry has to do, in order. */
    public fun handle(nowMillis: Long, event: RequestEvent): List<RequestEffect> {
        effects = ArrayList()
        when (event) {
            is RequestEvent.Arrived -> arrived(nowMillis, event.request)
            is RequestEvent.CallerLeft -> callerLeft(event.request)
            is RequestEvent.IntentEnded -> intentEnded(nowMillis, event.request, event.outcome)
            is RequestEvent.ExchangeEnded -> exchangeEnded(nowMillis, event.exchange, event.result)
            is RequestEvent.ViewChanged -> viewChanged(nowMillis, event.view)
            is RequestEvent.TargetLeaving -> targets.markLeaving(nowMillis, event.instance)
            is RequestEvent.ReadinessChanged -> readinessChanged(event)
            is RequestEvent.PeerReported -> peerReported(nowMillis, event.report)
            RequestEvent.Tick -> tick(nowMillis)
        }
        return effects
    }

    private fun arrived(nowMillis: Long, request: ArrivedRequest) {
        val service = view.services[request.service]
        val refusal = refusing
            ?: if (service == null) {
                Failure(FailureKind.INVALID, "unknown service ${request.service}")
            } else {
                admission.refusal(nowMillis, request, service, view, load(nowMillis, service, request.priority))
            }
        if (service == null || refusal != null) {
            effects += RequestEffect.Reply(request.id, Verdict.NotRun(refusal ?: timeoutFailure()))
            return
        }
        makeRoom(service, request.priority)
        admission.accept(request)
        val pending = PendingRequest(request, service.pool, nowMillis)
        pendingById[request.id] = pending
        deadlines.add(pending)
        if (request.key == null) {
            enqueue(nowMillis, pending)
        } else {
            pending.phase = Phase.RECORDING
            effects += RequestEffect.RecordIntent(request.id)
        }
    }

    /** Displaces a less urgent request from a full queue, or from the longest one if the whole entry is full. */
    private fun makeRoom(service: Service, priority: Priority) {
        val own = pool(service.pool).queue
        val queue = when {
            own.size >= service.maxQueued -> own
            admission.isFull -> pools.values.map { it.queue }.maxBy { it.sizeBelow(priority) }
            else -> return
        }
        queue.displace(priority)?.let { endUnanswered(it, busyFailure()) }
    }

    private fun load(nowMillis: Long, service: Service, priority: Priority): PoolLoad {
        val isFull = admission.isFull && pools.values.none { it.queue.sizeBelow(priority) > 0 }
        return pool(service.pool).load(nowMillis, priority).copy(entryFull = isFull)
    }

    private fun enqueue(nowMillis: Long, pending: PendingRequest) {
        pending.phase = Phase.QUEUED
        val state = pool(pending.pool)
        state.queue.add(pending)
        state.rate(pending.request.priority).entered(nowMillis)
        dispatch(nowMillis, pending.pool)
    }

    private fun callerLeft(id: RequestId) {
        val pending = pendingById[id] ?: return
        pending.awaited = false
        if (pending.phase == Phase.QUEUED) endUnanswered(pending, timeoutFailure())
    }

    private fun intentEnded(nowMillis: Long, id: RequestId, outcome: IntentOutcome) {
        val pending = pendingById[id] ?: return
        if (pending.phase != Phase.RECORDING) return
        when (outcome) {
            IntentOutcome.Recorded -> intentRecorded(nowMillis, pending)

            IntentOutcome.AlreadyAnswered -> end(pending, Verdict.Ran(null))

            IntentOutcome.AlreadyStarted ->
                end(pending, Verdict.MayHaveRun(Failure(FailureKind.CONFLICT, "a request with this key was started")))

            IntentOutcome.PayloadDiffers ->
                end(pending, Verdict.NotRun(Failure(FailureKind.CONFLICT, "the key was used with another payload")))

            is IntentOutcome.NotRecorded -> end(pending, Verdict.NotRun(outcome.failure))

            is IntentOutcome.Unknown -> {
                pending.intentRecorded = true
                end(pending, Verdict.NotRun(outcome.failure))
            }
        }
    }

    private fun intentRecorded(nowMillis: Long, pending: PendingRequest) {
        pending.intentRecorded = true
        val failure = halted ?: timeoutFailure().takeIf { !pending.isWanted(nowMillis) }
        if (failure == null) enqueue(nowMillis, pending) else endUnanswered(pending, failure)
    }

    private fun exchangeEnded(nowMillis: Long, id: ExchangeId, result: ExchangeResult) {
        val exchange = exchanges.remove(id) ?: return
        val pending = exchange.pending
        val target = exchange.target
        target.inUse--
        pool(pending.pool).running--
        judge.ended(nowMillis, target, result)
        when (result) {
            is ExchangeResult.Answered -> answered(nowMillis, exchange, result.overloaded)

            is ExchangeResult.NotSent -> {
                pending.avoided = target.id
                retryOrEnd(nowMillis, pending, result.failure)
            }

            is ExchangeResult.Unanswered -> {
                pending.mayHaveRun = true
                val connectionOnly = result.silent && target.health.silentSinceAnswer == 1
                pending.preferred = target.id.takeIf { connectionOnly }
                pending.avoided = target.id.takeIf { !connectionOnly }
                retryOrEnd(nowMillis, pending, result.failure)
            }
        }
        dispatch(nowMillis, pending.pool)
    }

    private fun answered(nowMillis: Long, exchange: Exchange, overloaded: Boolean) {
        val pending = exchange.pending
        if (overloaded) {
            exchange.target.refused(nowMillis, settings, exchange.borrowed)
            refused(nowMillis, pending)
        } else {
            exchange.target.accepted()
            pool(pending.pool).serviceTime.add(nowMillis - exchange.sentMillis)
            end(pending, Verdict.Ran(exchange.id))
        }
    }

    /** Puts back a request that a busy target refused. The pause of the target bounds this load, not the budget. */
    private fun refused(nowMillis: Long, pending: PendingRequest) {
        pending.attempts--
        if (halted == null && pending.isWanted(nowMillis)) {
            putBack(pending)
        } else {
            endUnanswered(pending, busyFailure())
        }
    }

    private fun putBack(pending: PendingRequest) {
        pending.phase = Phase.QUEUED
        pool(pending.pool).queue.putBack(pending)
    }

    private fun retryOrEnd(nowMillis: Long, pending: PendingRequest, failure: Failure) {
        val allowed = halted == null && pending.isWanted(nowMillis) && pending.mayBeSentAgain(settings.maxAttempts)
        if (allowed && pool(pending.pool).budget.spend()) {
            putBack(pending)
        } else {
            endUnanswered(pending, failure)
        }
    }

    private fun viewChanged(nowMillis: Long, newer: FleetView) {
        // A view that was overtaken on its way here must not bring back what a newer one took away.
        if (newer.version < view.version) return
        view = newer
        targets.apply(nowMillis, newer.instances.values)
        limits.viewChanged(newer)
        limits.renew(nowMillis)
        dispatchAll(nowMillis)
    }

    private fun readinessChanged(event: RequestEvent.ReadinessChanged) {
        val failure = Failure(FailureKind.NOT_READY, event.reason).takeIf { !event.ready }
        refusing = failure
        halted = failure.takeIf { !event.finishesQueued }
        if (failure == null || event.finishesQueued) return
        pools.values.flatMap { it.queue.drain() }.forEach { endUnanswered(it, failure) }
    }

    private fun tick(nowMillis: Long) {
        targets.expireNotices(nowMillis)
        deadlines.expired(nowMillis).forEach { if (pendingById[it.request.id] === it) expire(it) }
        limits.renew(nowMillis)
        dispatchAll(nowMillis)
        tellPeers(nowMillis)
    }

    private fun peerReported(nowMillis: Long, report: SlotReport) {
        reporter.heard(nowMillis, report)
        limits.heard(nowMillis, report)
    }

    private fun tellPeers(nowMillis: Long) {
        val report = reporter.next(nowMillis, pools) ?: return
        limits.told(nowMillis, report)
        effects += RequestEffect.TellPeers(report)
    }

    private fun expire(pending: PendingRequest) {
        when (pending.phase) {
            Phase.QUEUED -> endUnanswered(pending, timeoutFailure())
            Phase.RECORDING -> reply(pending, Verdict.NotRun(timeoutFailure()))
            Phase.SENT -> reply(pending, Verdict.MayHaveRun(timeoutFailure()))
        }
    }

    private fun dispatchAll(nowMillis: Long) {
        pools.keys.toList().forEach { dispatch(nowMillis, it) }
    }

    private fun dispatch(nowMillis: Long, pool: PoolId) {
        if (halted != null) return
        val state = pools[pool] ?: return
        while (state.queue.size > 0 && chooser.hasFree(nowMillis, pool)) {
            val pending = state.queue.poll() ?: return
            state.rate(pending.request.priority).left(nowMillis, state.queue.sizeOf(pending.request.priority))
            val remaining = pending.request.deadlineMillis - nowMillis
            val target = if (state.isTooLate(remaining)) null else chooser.choose(nowMillis, pending)
            if (target == null) {
                endUnanswered(pending, timeoutFailure())
            } else {
                send(nowMillis, pending, target)
            }
        }
    }

    private fun send(nowMillis: Long, pending: PendingRequest, target: Target) {
        val state = pool(pending.pool)
        lastExchange++
        val borrowed = target.inUse >= chooser.limit(nowMillis, target)
        val exchange = Exchange(ExchangeId(lastExchange), pending, target, nowMillis, borrowed)
        exchanges[exchange.id] = exchange
        target.inUse++
        state.running++
        if (!pending.counted) state.budget.earn()
        pending.counted = true
        pending.attempts++
        pending.phase = Phase.SENT
        val mayRetry = pending.repeatable && pending.attempts < settings.maxAttempts
        val timeoutMillis = state.attemptMillis(pending.request.deadlineMillis - nowMillis, mayRetry)
        effects += RequestEffect.Send(exchange.id, pending.request.id, target.id, timeoutMillis)
    }

    /** Ends a request that has no answer. */
    private fun endUnanswered(pending: PendingRequest, failure: Failure) {
        end(pending, if (pending.mayHaveRun) Verdict.MayHaveRun(failure) else Verdict.NotRun(failure))
    }

    private fun end(pending: PendingRequest, verdict: Verdict<ExchangeId?>) {
        if (pending.phase == Phase.QUEUED) pool(pending.pool).queue.remove(pending)
        pendingById.remove(pending.request.id)
        admission.release(pending.request)
        if (pending.intentRecorded) effects += RequestEffect.RecordOutcome(pending.request.id, verdict)
        reply(pending, verdict)
    }

    private fun reply(pending: PendingRequest, verdict: Verdict<ExchangeId?>) {
        if (!pending.awaited) return
        pending.awaited = false
        effects += RequestEffect.Reply(pending.request.id, verdict)
    }

    private fun pool(id: PoolId): PoolState = pools.getOrPut(id) {
        PoolState(settings) { team -> team?.let { view.teams[it]?.share } ?: 1.0 }
    }

    private fun slotLimits(): SlotLimits = when (settings.slotScheme) {
        SlotScheme.UNCOORDINATED -> AllSlots
        SlotScheme.STATIC -> StaticSlots(self, targets)
        SlotScheme.GRANTED -> GrantedSlots(self, settings, targets)
    }
}
