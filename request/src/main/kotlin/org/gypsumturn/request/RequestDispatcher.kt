// Decides what happens to each request at one entry: admission, queueing, target selection, retries and the verdict for
// the caller. It is a state machine without threads, clocks or connections: the entry passes events to it in order and
// carries out the effects that it returns.

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
 * The state machine for the requests of one entry. Not thread-safe. The same settings, seed and sequence of events
 * always give the same effects.
 *
 * Each request that arrives gets exactly one [RequestEffect.Reply], unless its caller disconnects first. Each request
 * whose intent was recorded gets exactly one [RequestEffect.RecordOutcome], even if its caller has disconnected.
 *
 * @param self the node that hosts this dispatcher
 * @param seed seed of the random choice among equally loaded targets
 */
public class RequestDispatcher(private val settings: DispatchSettings, private val self: NodeId, seed: Long) {
    private val targets = TargetTable(settings.leavingNoticeMillis)
    private val faultDetector = TargetFaultDetector(settings, targets)
    private val limits = slotLimits()
    private val chooser =
        TargetChooser(settings, targets, limits, faultDetector, RandomSource.SPLIT_MIX_64.create(seed))
    private val reporter = SlotReporter(self, settings, targets, chooser)
    private val admission = Admission(settings)
    private val pools = LinkedHashMap<PoolId, PoolState>()
    private val pendingById = HashMap<RequestId, PendingRequest>()
    private val exchanges = HashMap<ExchangeId, Exchange>()
    private val deadlines = DeadlineIndex()
    private var view = FleetView()

    /** Why arriving requests are refused; null while they are admitted. */
    private var notAdmittingReason: Failure? = null

    /** Why accepted requests are not started; null while they are started. */
    private var notStartingReason: Failure? = null
    private var lastExchange = 0L
    private var effects = ArrayList<RequestEffect>()

    /**
     * Processes [event] at [nowMillis], which must never decrease, and returns the effects that the entry has to carry
     * out, in order.
     */
    public fun handle(nowMillis: Long, event: RequestEvent): List<RequestEffect> {
        effects = ArrayList()
        when (event) {
            is RequestEvent.Arrived -> handleArrival(nowMillis, event.request)
            is RequestEvent.CallerLeft -> handleCallerLeft(event.request)
            is RequestEvent.IntentEnded -> handleIntentEnded(nowMillis, event.request, event.outcome)
            is RequestEvent.ExchangeEnded -> handleExchangeEnded(nowMillis, event.exchange, event.result)
            is RequestEvent.ViewChanged -> applyView(nowMillis, event.view)
            is RequestEvent.TargetLeaving -> targets.markLeaving(nowMillis, event.instance)
            is RequestEvent.ReadinessChanged -> handleReadinessChanged(event)
            is RequestEvent.PeerReported -> handlePeerReport(nowMillis, event.report)
            RequestEvent.Tick -> handleTick(nowMillis)
        }
        return effects
    }

    private fun handleArrival(nowMillis: Long, request: ArrivedRequest) {
        val service = view.services[request.service]
        val refusal = notAdmittingReason
            ?: if (service == null) {
                Failure(FailureKind.INVALID, "unknown service ${request.service}")
            } else {
                admission.refusal(nowMillis, request, service, view, queueLoad(nowMillis, service, request.priority))
            }
        if (service == null || refusal != null) {
            effects += RequestEffect.Reply(request.id, Verdict.NotRun(refusal ?: timeoutFailure()))
            return
        }
        displaceIfFull(service, request.priority)
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

    /**
     * Removes a less urgent request to make room: from the queue of the pool if that is full, or from the queue with
     * the most less urgent requests if the whole entry is full.
     */
    private fun displaceIfFull(service: Service, priority: Priority) {
        val own = pool(service.pool).queue
        val queue = when {
            own.size >= service.maxQueued -> own
            admission.isFull -> pools.values.map { it.queue }.maxBy { it.sizeBelow(priority) }
            else -> return
        }
        queue.displace(priority)?.let { endUnanswered(it, busyFailure()) }
    }

    private fun queueLoad(nowMillis: Long, service: Service, priority: Priority): QueueLoad {
        val isFull = admission.isFull && pools.values.none { it.queue.sizeBelow(priority) > 0 }
        return pool(service.pool).load(nowMillis, priority).copy(entryFull = isFull)
    }

    private fun enqueue(nowMillis: Long, pending: PendingRequest) {
        pending.phase = Phase.QUEUED
        val state = pool(pending.pool)
        state.queue.add(pending)
        state.dequeueRate(pending.request.priority).recordEnqueued(nowMillis)
        dispatch(nowMillis, pending.pool)
    }

    private fun handleCallerLeft(id: RequestId) {
        val pending = pendingById[id] ?: return
        pending.replyPending = false
        if (pending.phase == Phase.QUEUED) endUnanswered(pending, timeoutFailure())
    }

    private fun handleIntentEnded(nowMillis: Long, id: RequestId, outcome: IntentOutcome) {
        val pending = pendingById[id] ?: return
        if (pending.phase != Phase.RECORDING) return
        when (outcome) {
            IntentOutcome.Recorded -> enqueueRecorded(nowMillis, pending)

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

    private fun enqueueRecorded(nowMillis: Long, pending: PendingRequest) {
        pending.intentRecorded = true
        val failure = notStartingReason ?: timeoutFailure().takeIf { !pending.isWanted(nowMillis) }
        if (failure == null) enqueue(nowMillis, pending) else endUnanswered(pending, failure)
    }

    private fun handleExchangeEnded(nowMillis: Long, id: ExchangeId, result: ExchangeResult) {
        val exchange = exchanges.remove(id) ?: return
        val pending = exchange.pending
        val target = exchange.target
        target.inUse--
        pool(pending.pool).running--
        faultDetector.recordResult(nowMillis, target, result)
        when (result) {
            is ExchangeResult.Answered -> handleAnswer(nowMillis, exchange, result.overloaded)

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

    private fun handleAnswer(nowMillis: Long, exchange: Exchange, overloaded: Boolean) {
        val pending = exchange.pending
        if (overloaded) {
            exchange.target.recordRefusal(nowMillis, settings, exchange.borrowed)
            requeueRefused(nowMillis, pending)
        } else {
            exchange.target.recordAcceptance()
            pool(pending.pool).serviceTime.add(nowMillis - exchange.sentMillis)
            end(pending, Verdict.Ran(exchange.id))
        }
    }

    /**
     * Queues a request again that an overloaded target refused. It does not spend the retry budget, because the pause
     * of that target already bounds the extra load.
     */
    private fun requeueRefused(nowMillis: Long, pending: PendingRequest) {
        pending.attempts--
        if (notStartingReason == null && pending.isWanted(nowMillis)) {
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
        val allowed = notStartingReason == null &&
            pending.isWanted(nowMillis) &&
            pending.mayBeSentAgain(settings.maxAttempts)
        if (allowed && pool(pending.pool).budget.spend()) {
            putBack(pending)
        } else {
            endUnanswered(pending, failure)
        }
    }

    private fun applyView(nowMillis: Long, newer: FleetView) {
        // Views can arrive out of order. An older view must not restore what a newer one removed.
        if (newer.version < view.version) return
        view = newer
        targets.applyInstances(nowMillis, newer.instances.values)
        limits.onViewChanged(newer)
        limits.expireReports(nowMillis)
        dispatchAll(nowMillis)
    }

    private fun handleReadinessChanged(event: RequestEvent.ReadinessChanged) {
        val failure = Failure(FailureKind.NOT_READY, event.reason).takeIf { !event.ready }
        notAdmittingReason = failure
        notStartingReason = failure.takeIf { !event.finishesQueued }
        if (failure == null || event.finishesQueued) return
        pools.values.flatMap { it.queue.drain() }.forEach { endUnanswered(it, failure) }
    }

    private fun handleTick(nowMillis: Long) {
        targets.expireNotices(nowMillis)
        deadlines.removeExpired(nowMillis).forEach { if (pendingById[it.request.id] === it) expireRequest(it) }
        limits.expireReports(nowMillis)
        dispatchAll(nowMillis)
        sendSlotReport(nowMillis)
    }

    private fun handlePeerReport(nowMillis: Long, report: SlotReport) {
        reporter.recordPeerReport(nowMillis, report)
        limits.onPeerReport(nowMillis, report)
    }

    private fun sendSlotReport(nowMillis: Long) {
        val report = reporter.nextReport(nowMillis, pools) ?: return
        limits.onOwnReport(nowMillis, report)
        effects += RequestEffect.SendSlotReport(report)
    }

    private fun expireRequest(pending: PendingRequest) {
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
        if (notStartingReason != null) return
        val state = pools[pool] ?: return
        while (state.queue.size > 0 && chooser.hasFreeTarget(nowMillis, pool)) {
            val pending = state.queue.poll() ?: return
            state.dequeueRate(pending.request.priority)
                .recordDequeued(nowMillis, state.queue.sizeOf(pending.request.priority))
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
        if (!pending.budgetCredited) state.budget.earn()
        pending.budgetCredited = true
        pending.attempts++
        pending.phase = Phase.SENT
        val mayRetry = pending.repeatable && pending.attempts < settings.maxAttempts
        val timeoutMillis = state.attemptMillis(pending.request.deadlineMillis - nowMillis, mayRetry)
        effects += RequestEffect.Send(exchange.id, pending.request.id, target.id, timeoutMillis)
    }

    /** Ends a request for which no answer arrived. */
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
        if (!pending.replyPending) return
        pending.replyPending = false
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
