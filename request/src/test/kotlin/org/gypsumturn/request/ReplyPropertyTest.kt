// Property test with random events: each request gets exactly one reply, or none if its caller disconnected first, and
// each recorded intent gets exactly one outcome.

package org.gypsumturn.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Priority

class ReplyPropertyTest : AnnotationSpec() {
    @Test
    fun `each request gets exactly one reply`() {
        (1L..20L).forEach { seed ->
            println("seed $seed")
            RandomRun(seed).check()
        }
    }
}

private val FAILURE = Failure(FailureKind.UNREACHABLE, "test")

private val RESULTS = listOf(
    ExchangeResult.Answered(200, overloaded = false),
    ExchangeResult.Answered(500, overloaded = false),
    ExchangeResult.Answered(503, overloaded = true),
    ExchangeResult.NotSent(FAILURE),
    ExchangeResult.Unanswered(FAILURE, silent = false),
    ExchangeResult.Unanswered(FAILURE, silent = true),
)

private val OUTCOMES = listOf(
    IntentOutcome.Recorded,
    IntentOutcome.AlreadyAnswered,
    IntentOutcome.AlreadyStarted,
    IntentOutcome.PayloadDiffers,
    IntentOutcome.NotRecorded(FAILURE),
    IntentOutcome.Unknown(FAILURE),
)

/** Feeds random events to a dispatcher and collects its effects. */
private class RandomRun(seed: Long) {
    private val random = RandomSource.SPLIT_MIX_64.create(seed)
    private val dispatcher = dispatcher(viewOf(instance("a", slots = 2), instance("b", slots = 2)))
    private val open = ArrayList<ExchangeId>()
    private val openIntents = ArrayList<RequestId>()
    private val replied = ArrayList<RequestId>()
    private val recordedOutcomes = ArrayList<RequestId>()
    private val recordedIntents = ArrayList<RequestId>()
    private val abandoned = HashSet<RequestId>()
    private var nowMillis = 0L

    fun check() {
        (1L..500L).forEach { step(it) }
        nowMillis += 10_000
        feed(RequestEvent.Tick)
        while (openIntents.isNotEmpty()) endIntent()
        while (open.isNotEmpty()) endExchange()
        replied.shouldBeUnique()
        replied shouldContainExactlyInAnyOrder (1L..500L).map { RequestId(it) }.filter { it !in abandoned }
        recordedOutcomes shouldContainExactlyInAnyOrder recordedIntents
    }

    private fun step(id: Long) {
        nowMillis += random.nextInt(20)
        val key = if (random.nextInt(3) == 0) "k$id" else null
        val priority = Priority.entries[random.nextInt(3)]
        feed(arrived(id, priority, key = key, deadlineMillis = nowMillis + random.nextInt(300)))
        if (random.nextInt(10) == 0) leave(RequestId(1L + random.nextLong(id)))
        if (openIntents.isNotEmpty() && random.nextBoolean()) endIntent()
        if (open.isNotEmpty() && random.nextBoolean()) endExchange()
        if (random.nextInt(50) == 0) feed(RequestEvent.ReadinessChanged(random.nextInt(3) > 0, "test"))
        feed(RequestEvent.Tick)
    }

    private fun leave(request: RequestId) {
        if (request !in replied) abandoned += request
        feed(RequestEvent.CallerLeft(request))
    }

    private fun endIntent() {
        val id = openIntents.removeAt(random.nextInt(openIntents.size))
        val outcome = OUTCOMES[random.nextInt(OUTCOMES.size)]
        if (outcome == IntentOutcome.Recorded || outcome is IntentOutcome.Unknown) recordedIntents += id
        feed(RequestEvent.IntentEnded(id, outcome))
    }

    private fun endExchange() {
        val id = open.removeAt(random.nextInt(open.size))
        feed(RequestEvent.ExchangeEnded(id, RESULTS[random.nextInt(RESULTS.size)]))
    }

    private fun feed(event: RequestEvent) {
        dispatcher.handle(nowMillis, event).forEach { effect ->
            when (effect) {
                is RequestEffect.Send -> open += effect.exchange
                is RequestEffect.RecordIntent -> openIntents += effect.request
                is RequestEffect.Reply -> replied += effect.request
                is RequestEffect.RecordOutcome -> recordedOutcomes += effect.request
                is RequestEffect.SendSlotReport -> Unit
            }
        }
    }
}
