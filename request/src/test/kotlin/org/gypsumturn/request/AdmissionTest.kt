// Checks which requests are refused on arrival, and which queued requests a full queue drops in favour of more urgent
// ones.

package org.gypsumturn.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Priority
import org.gypsumturn.model.Service
import org.gypsumturn.model.Team
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull

class AdmissionTest : AnnotationSpec() {
    private fun RequestDispatcher.refusalOf(event: RequestEvent, nowMillis: Long = 1): Verdict<ExchangeId?>? =
        handle(nowMillis, event).replies().singleOrNull()?.verdict

    private fun kindOf(verdict: Verdict<ExchangeId?>?): FailureKind? =
        (verdict as? Verdict.NotRun)?.failureOrNull()?.kind

    @Test
    fun `an entry that is not ready starts no requests and fails the queued ones`() {
        val dispatcher = dispatcher(viewOf(instance("a", slots = 1)))
        dispatcher.handle(1, arrived(1)).sends().size shouldBe 1
        dispatcher.handle(1, arrived(2)).shouldBeEmpty()
        val effects = dispatcher.handle(2, RequestEvent.ReadinessChanged(false, "isolated"))
        effects.replies().single().request shouldBe RequestId(2)
        kindOf(dispatcher.refusalOf(arrived(3))) shouldBe FailureKind.NOT_READY
    }

    @Test
    fun `an entry that shuts down gracefully finishes the requests that it has accepted`() {
        val dispatcher = dispatcher(viewOf(instance("a", slots = 1)))
        val send = dispatcher.handle(1, arrived(1)).sends().single()
        dispatcher.handle(1, arrived(2)).shouldBeEmpty()
        dispatcher.handle(2, RequestEvent.ReadinessChanged(false, "shutdown", finishesQueued = true)).shouldBeEmpty()
        kindOf(dispatcher.refusalOf(arrived(3))) shouldBe FailureKind.NOT_READY
        val answer = ExchangeResult.Answered(200, overloaded = false)
        dispatcher.handle(3, RequestEvent.ExchangeEnded(send.exchange, answer)).sends().size shouldBe 1
    }

    @Test
    fun `a request that arrives after its deadline or for an unknown service is not run`() {
        val dispatcher = dispatcher(viewOf(instance("a")))
        kindOf(dispatcher.refusalOf(arrived(1, deadlineMillis = 5), nowMillis = 5)) shouldBe FailureKind.TIMEOUT
        kindOf(RequestDispatcher(DispatchSettings(), SELF, 1).refusalOf(arrived(1))) shouldBe FailureKind.INVALID
    }

    @Test
    fun `a team at its limit of requests in flight is refused until one of its requests ends`() {
        val team = Team(TeamId("t"), maxRequestsInFlight = 1)
        val dispatcher = dispatcher(viewOf(instance("a"), teams = listOf(team)))
        val send = dispatcher.handle(1, arrived(1, team = "t")).sends().single()
        kindOf(dispatcher.refusalOf(arrived(2, team = "t"))) shouldBe FailureKind.OVERLOADED
        dispatcher.handle(2, arrived(3, team = "u")).sends().size shouldBe 1
        dispatcher.handle(3, RequestEvent.ExchangeEnded(send.exchange, ExchangeResult.Answered(200, false)))
        dispatcher.handle(4, arrived(4, team = "t")).sends().size shouldBe 1
    }

    @Test
    fun `a full queue refuses requests of the same priority and displaces batch for urgent`() {
        val service = Service(SERVICE, POOL, maxQueued = 1)
        val dispatcher = dispatcher(viewOf(service = service))
        dispatcher.handle(1, arrived(1, Priority.BATCH)).shouldBeEmpty()
        kindOf(dispatcher.refusalOf(arrived(2, Priority.BATCH))) shouldBe FailureKind.OVERLOADED
        val displaced = dispatcher.handle(2, arrived(3, Priority.URGENT)).replies().single()
        displaced.request shouldBe RequestId(1)
        kindOf(displaced.verdict) shouldBe FailureKind.OVERLOADED
    }

    @Test
    fun `a full entry refuses batch and displaces it for urgent`() {
        val dispatcher = dispatcher(viewOf(), DispatchSettings(maxQueuedTotal = 1))
        dispatcher.handle(1, arrived(1, Priority.BATCH)).shouldBeEmpty()
        kindOf(dispatcher.refusalOf(arrived(2, Priority.BATCH))) shouldBe FailureKind.OVERLOADED
        dispatcher.handle(2, arrived(3, Priority.URGENT)).replies().single().request shouldBe RequestId(1)
        kindOf(dispatcher.refusalOf(arrived(4, Priority.URGENT))) shouldBe FailureKind.OVERLOADED
    }

    @Test
    fun `a request that would wait beyond its deadline is refused at once with a retry-after time`() {
        val dispatcher = dispatcher(viewOf(instance("a", slots = 1)))
        val send = dispatcher.handle(0, arrived(1)).sends().single()
        dispatcher.handle(1_000, RequestEvent.ExchangeEnded(send.exchange, ExchangeResult.Answered(200, false)))
        (2L..4L).forEach { dispatcher.handle(1_000, arrived(it, deadlineMillis = 60_000)) }
        val verdict = dispatcher.refusalOf(arrived(9, deadlineMillis = 3_000), nowMillis = 1_000)
        kindOf(verdict) shouldBe FailureKind.OVERLOADED
        verdict?.failureOrNull()?.retryAfterMillis!! shouldBeGreaterThan 0
    }

    @Test
    fun `a queued request whose caller disconnects frees its place`() {
        val dispatcher = dispatcher(viewOf(service = Service(SERVICE, POOL, maxQueued = 1)))
        dispatcher.handle(1, arrived(1))
        dispatcher.handle(2, RequestEvent.CallerLeft(RequestId(1))).shouldBeEmpty()
        dispatcher.handle(3, arrived(2)).shouldBeEmpty()
    }
}
