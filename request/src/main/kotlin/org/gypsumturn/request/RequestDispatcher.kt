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
import org.gypsumturn.model.Verdict

/**
 * The request decisions of one entry. Not thread-safe. For the same settings, seed and sequence of events it gives the
 * same effects.
 *
 * Each arrived request gets exactly one [RequestEffect.Reply], unless its caller leaves first. Each keyed request whose
 * intent was recorded gets exactly one [RequestEffect.RecordOutcome], also after its caller left, unless an exchange
 * ended without an answer: then the intent stands, and repeats are told that the request may have run.
 *
 * @param self the node that hosts this dispatcher
 * @param seed start of the random choices among equal targets
 */
public class RequestDispatcher(private val settings: DispatchSettings, private val self: NodeId, seed: Long) {
    private val random = RandomSource.SPLIT_MIX_64.create(seed)
    private val targets = TargetTable()
    private val queues = LinkedHashMap<PoolId, PoolQueue>()
    private val pendingById = HashMap<RequestId, PendingRequest>()
    private val exchanges = HashMap<ExchangeId, Exchange>()
    private val deadlines = DeadlineIndex()
    private var view = FleetView()
    private var ready = true
    private var notReadyReason = ""
    private var lastExchange = 0L
    private var lastReportMillis = Long.MIN_VALUE / 2
    private var reports = 0L
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
            is RequestEvent.ReadinessChanged -> readinessChanged(event.ready, event.reason)
            is RequestEvent.PeerReported -> Unit
            RequestEvent.Tick -> tick(nowMillis)
        }
        return effects
    }

    private fun arrived(nowMillis: Long, request: ArrivedRequest) {
        val service = view.services[request.service]
        val refusal = when {
            !ready -> Failure(FailureKind.NOT_READY, notReadyReason)
            service == null -> Failure(FailureKind.INVALID, "unknown service ${request.service}")
            request.deadlineMillis <= nowMillis -> timeout()
            queue(service.pool).size >= service.maxQueued -> overloaded()
            pendingById.size >= settings.maxQueuedTotal -> overloaded()
            else -> null
        }
        if (service == null || refusal != null) {
            effects += RequestEffect.Reply(request.id, Verdict.NotRun(refusal ?: timeout()))
            return
        }
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

    private fun enqueue(nowMillis: Long, pending: PendingRequest) {
        pending.phase = Phase.QUEUED
        queue(pending.pool).add(pending)
        dispatch(nowMillis, pending.pool)
    }

    private fun callerLeft(id: RequestId) {
        val pending = pendingById[id] ?: return
        pending.awaited = false
        if (pending.phase == Phase.QUEUED) end(pending, notRunOrMaybe(pending, timeout()))
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
        when {
            !pending.awaited || pending.request.deadlineMillis <= nowMillis -> end(pending, Verdict.NotRun(timeout()))
            !ready -> end(pending, Verdict.NotRun(Failure(FailureKind.NOT_READY, notReadyReason)))
            else -> enqueue(nowMillis, pending)
        }
    }

    private fun exchangeEnded(nowMillis: Long, id: ExchangeId, result: ExchangeResult) {
        val exchange = exchanges.remove(id) ?: return
        val pending = exchange.pending
        exchange.target.inUse--
        when (result) {
            is ExchangeResult.Answered ->
                if (result.overloaded) retryOrEnd(nowMillis, pending, overloaded()) else end(pending, Verdict.Ran(id))

            is ExchangeResult.NotSent -> retryOrEnd(nowMillis, pending, result.failure)

            is ExchangeResult.Unanswered -> {
                pending.mayHaveRun = true
                retryOrEnd(nowMillis, pending, result.failure)
            }
        }
        dispatch(nowMillis, exchange.target.instance.pool)
    }

    private fun retryOrEnd(nowMillis: Long, pending: PendingRequest, failure: Failure) {
        pending.lastFailure = failure
        val allowed = !pending.mayHaveRun || pending.repeatable
        val wanted = ready && pending.awaited && pending.request.deadlineMillis > nowMillis
        if (allowed && wanted && pending.attempts < settings.maxAttempts) {
            pending.phase = Phase.QUEUED
            queue(pending.pool).putBack(pending)
        } else {
            end(pending, notRunOrMaybe(pending, failure))
        }
    }

    private fun viewChanged(nowMillis: Long, newer: FleetView) {
        view = newer
        targets.apply(newer)
        queues.keys.toList().forEach { dispatch(nowMillis, it) }
    }

    private fun readinessChanged(nowReady: Boolean, reason: String) {
        ready = nowReady
        notReadyReason = reason
        if (ready) return
        val failure = Failure(FailureKind.NOT_READY, reason)
        queues.values.flatMap { it.drain() }.forEach { end(it, notRunOrMaybe(it, failure)) }
    }

    private fun tick(nowMillis: Long) {
        deadlines.expired(nowMillis).forEach { if (pendingById[it.request.id] === it) expire(it) }
        queues.keys.toList().forEach { dispatch(nowMillis, it) }
        if (nowMillis - lastReportMillis >= settings.peerReportIntervalMillis) tellPeers(nowMillis)
    }

    private fun tellPeers(nowMillis: Long) {
        lastReportMillis = nowMillis
        reports++
        val queued = queues.mapValues { (_, queue) -> QueuedCount(queue.size, queue.sizeOf(Priority.URGENT)) }
        val use = targets.eligibleByPool().values.flatten().associate { it.id to SlotUse(it.instance.slots, it.inUse) }
        effects += RequestEffect.TellPeers(SlotReport(self, reports, queued, use))
    }

    private fun expire(pending: PendingRequest) {
        when (pending.phase) {
            Phase.QUEUED -> end(pending, notRunOrMaybe(pending, timeout()))

            Phase.RECORDING -> reply(pending, Verdict.NotRun(timeout()))

            Phase.SENT -> {
                reply(pending, Verdict.MayHaveRun(timeout()))
            }
        }
    }

    private fun dispatch(nowMillis: Long, pool: PoolId) {
        if (!ready) return
        val queue = queues[pool] ?: return
        while (queue.size > 0) {
            val target = leastLoaded(pool) ?: return
            send(nowMillis, queue.poll() ?: return, target)
        }
    }

    private fun leastLoaded(pool: PoolId): Target? {
        val free = targets.eligible(pool).filter { it.inUse < it.instance.slots }
        val least = free.minOfOrNull { it.inUse } ?: return null
        val equal = free.filter { it.inUse == least }
        return equal[random.nextInt(equal.size)]
    }

    private fun send(nowMillis: Long, pending: PendingRequest, target: Target) {
        val remaining = pending.request.deadlineMillis - nowMillis
        if (remaining <= 0) {
            end(pending, notRunOrMaybe(pending, timeout()))
            return
        }
        lastExchange++
        val exchange = Exchange(ExchangeId(lastExchange), pending, target, nowMillis)
        exchanges[exchange.id] = exchange
        target.inUse++
        pending.phase = Phase.SENT
        pending.attempts++
        pending.lastTarget = target.id
        effects += RequestEffect.Send(exchange.id, pending.request.id, target.id, remaining)
    }

    private fun notRunOrMaybe(pending: PendingRequest, failure: Failure): Verdict<ExchangeId?> =
        if (pending.mayHaveRun) Verdict.MayHaveRun(failure) else Verdict.NotRun(failure)

    private fun end(pending: PendingRequest, verdict: Verdict<ExchangeId?>) {
        if (pending.phase == Phase.QUEUED) queue(pending.pool).remove(pending)
        pendingById.remove(pending.request.id)
        if (pending.intentRecorded) effects += RequestEffect.RecordOutcome(pending.request.id, verdict)
        reply(pending, verdict)
    }

    private fun reply(pending: PendingRequest, verdict: Verdict<ExchangeId?>) {
        if (!pending.awaited) return
        pending.awaited = false
        effects += RequestEffect.Reply(pending.request.id, verdict)
    }

    private fun queue(pool: PoolId): PoolQueue = queues.getOrPut(pool) {
        PoolQueue { team -> team?.let { view.teams[it]?.share } ?: 1.0 }
    }

    private fun timeout() = Failure(FailureKind.TIMEOUT, "the deadline passed")

    private fun overloaded() = Failure(FailureKind.OVERLOADED, "the pool has no capacity left", RETRY_AFTER_MILLIS)

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
