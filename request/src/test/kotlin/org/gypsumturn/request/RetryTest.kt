// Checks which failed exchanges are retried, and on which target.

package org.gypsumturn.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Verdict

class RetryTest : AnnotationSpec() {
    private val refused = ExchangeResult.NotSent(Failure(FailureKind.UNREACHABLE, "refused"))
    private val reset = ExchangeResult.Unanswered(Failure(FailureKind.BROKEN_ANSWER, "reset"), silent = false)
    private val silent = ExchangeResult.Unanswered(Failure(FailureKind.TIMEOUT, "silent"), silent = true)
    private val busy = ExchangeResult.Answered(503, overloaded = true)
    private val ampleRetryBudget = DispatchSettings(retryBudgetShare = 10.0)

    private fun RequestDispatcher.end(send: RequestEffect.Send, result: ExchangeResult, nowMillis: Long = 2) =
        handle(nowMillis, RequestEvent.ExchangeEnded(send.exchange, result))

    private fun twoTargets(settings: DispatchSettings = ampleRetryBudget) =
        dispatcher(viewOf(instance("a"), instance("b")), settings)

    @Test
    fun `a request that was not sent goes to another target`() {
        val dispatcher = twoTargets()
        val first = dispatcher.handle(1, arrived(1, idempotent = false)).sends().single()
        dispatcher.end(first, refused).sends().single().target shouldNotBe first.target
    }

    @Test
    fun `a request that may have run is retried only if it is idempotent`() {
        val dispatcher = twoTargets()
        val unsafe = dispatcher.handle(1, arrived(1, idempotent = false)).sends().single()
        dispatcher.end(unsafe, reset).replies().single().verdict.shouldBeInstanceOf<Verdict.MayHaveRun>()
        val safe = dispatcher.handle(1, arrived(2)).sends().single()
        dispatcher.end(safe, reset).sends().size shouldBe 1
    }

    @Test
    fun `an exchange on a silent connection times out early and is retried on the same target`() {
        val dispatcher = twoTargets()
        val first = dispatcher.handle(1, arrived(1, deadlineMillis = 1_000)).sends().single()
        first.timeoutMillis shouldBeLessThan 999L
        dispatcher.end(first, silent, nowMillis = 500).sends().single().target shouldBe first.target
    }

    @Test
    fun `an overloaded target is paused and the request waits without using up an attempt`() {
        val dispatcher = dispatcher(viewOf(instance("a")), DispatchSettings(maxAttempts = 1))
        val first = dispatcher.handle(1, arrived(1)).sends().single()
        dispatcher.end(first, busy).shouldBeEmpty()
        dispatcher.handle(60, RequestEvent.Tick).sends().single().request shouldBe RequestId(1)
    }

    @Test
    fun `at the deadline a running request ends as may have run and a queued one as not run`() {
        val dispatcher = dispatcher(viewOf(instance("a", slots = 1)))
        val sent = dispatcher.handle(1, arrived(1, deadlineMillis = 100)).sends().single()
        dispatcher.handle(1, arrived(2, deadlineMillis = 100))
        val verdicts = dispatcher.handle(100, RequestEvent.Tick).replies().associate { it.request.value to it.verdict }
        verdicts.getValue(1).shouldBeInstanceOf<Verdict.MayHaveRun>()
        verdicts.getValue(2).shouldBeInstanceOf<Verdict.NotRun>()
        dispatcher.end(sent, ExchangeResult.Answered(200, false), nowMillis = 101).replies().shouldBeEmpty()
    }

    @Test
    fun `retries stay within the budget when all targets fail`() {
        val dispatcher = twoTargets(DispatchSettings(retryBudgetShare = 0.1))
        var sends = 0
        val open = ArrayDeque<RequestEffect.Send>()
        (1L..200L).forEach { id ->
            open += dispatcher.handle(id * 10, arrived(id, deadlineMillis = 100_000)).sends()
            while (open.isNotEmpty()) {
                sends++
                open += dispatcher.end(open.removeFirst(), refused, id * 10).sends()
            }
        }
        sends shouldBeLessThanOrEqual 220
    }

    @Test
    fun `the first failed attempt after the start of an entry is retried and the next one is not`() {
        val dispatcher = twoTargets(DispatchSettings(retryBudgetShare = 0.1))
        val first = dispatcher.handle(1, arrived(1)).sends().single()
        dispatcher.end(first, refused).sends().map { it.request.value } shouldBe listOf(1L)
        val second = dispatcher.handle(2, arrived(2)).sends().single()
        dispatcher.end(second, refused, 2).sends().shouldBeEmpty()
    }

    @Test
    fun `a request is not retried after its caller disconnected`() {
        val dispatcher = twoTargets()
        val first = dispatcher.handle(1, arrived(1)).sends().single()
        dispatcher.handle(2, RequestEvent.CallerLeft(RequestId(1)))
        dispatcher.end(first, refused).shouldBeEmpty()
    }
}
