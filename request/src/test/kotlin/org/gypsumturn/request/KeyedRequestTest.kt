// Checks that a keyed request is dispatched only after its intent is recorded, and at most once.

package org.gypsumturn.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict

class KeyedRequestTest : AnnotationSpec() {
    private val storeDown = Failure(FailureKind.UNREACHABLE, "store down")

    private fun effectsOfIntent(outcome: IntentOutcome): List<RequestEffect> {
        val dispatcher = dispatcher(viewOf(instance("a")))
        dispatcher.handle(1, arrived(1, key = "k")) shouldContainExactly
            listOf(RequestEffect.RecordIntent(RequestId(1)))
        return dispatcher.handle(2, RequestEvent.IntentEnded(RequestId(1), outcome))
    }

    @Test
    fun `a keyed request is sent when its intent is recorded`() {
        effectsOfIntent(IntentOutcome.Recorded).sends().size shouldBe 1
    }

    @Test
    fun `a keyed request is not run while the store is down`() {
        effectsOfIntent(IntentOutcome.NotRecorded(storeDown)) shouldContainExactly
            listOf(RequestEffect.Reply(RequestId(1), Verdict.NotRun(storeDown)))
    }

    @Test
    fun `an intent whose write has an unknown outcome is withdrawn`() {
        effectsOfIntent(IntentOutcome.Unknown(storeDown)) shouldContainExactly listOf(
            RequestEffect.RecordOutcome(RequestId(1), Verdict.NotRun(storeDown)),
            RequestEffect.Reply(RequestId(1), Verdict.NotRun(storeDown)),
        )
    }

    @Test
    fun `a repeated request gets the recorded answer, or may have run if none is recorded`() {
        effectsOfIntent(IntentOutcome.AlreadyAnswered) shouldContainExactly
            listOf(RequestEffect.Reply(RequestId(1), Verdict.Ran(null)))
        effectsOfIntent(IntentOutcome.AlreadyStarted)
            .replies()
            .single()
            .verdict
            .shouldBeInstanceOf<Verdict.MayHaveRun>()
    }

    @Test
    fun `a different payload with the same key is refused`() {
        effectsOfIntent(IntentOutcome.PayloadDiffers).replies().single().verdict.shouldBeInstanceOf<Verdict.NotRun>()
    }

    @Test
    fun `a keyed request is not sent again after an exchange without an answer`() {
        val dispatcher = dispatcher(viewOf(instance("a"), instance("b")))
        dispatcher.handle(1, arrived(1, key = "k", idempotent = true))
        val send = dispatcher.handle(2, RequestEvent.IntentEnded(RequestId(1), IntentOutcome.Recorded)).sends().single()
        val lost = ExchangeResult.Unanswered(Failure(FailureKind.TIMEOUT, "reset"), silent = false)
        val effects = dispatcher.handle(3, RequestEvent.ExchangeEnded(send.exchange, lost))
        effects.sends().shouldBeEmpty()
        effects.replies().single().verdict.shouldBeInstanceOf<Verdict.MayHaveRun>()
    }

    @Test
    fun `the outcome of a keyed request is recorded even if its caller has disconnected`() {
        val dispatcher = dispatcher(viewOf(instance("a")))
        dispatcher.handle(1, arrived(1, key = "k"))
        val send = dispatcher.handle(2, RequestEvent.IntentEnded(RequestId(1), IntentOutcome.Recorded)).sends().single()
        dispatcher.handle(3, RequestEvent.CallerLeft(RequestId(1))).shouldBeEmpty()
        val answer = ExchangeResult.Answered(200, overloaded = false)
        dispatcher.handle(4, RequestEvent.ExchangeEnded(send.exchange, answer)) shouldContainExactly
            listOf(RequestEffect.RecordOutcome(RequestId(1), Verdict.Ran(send.exchange)))
    }
}
