// Checks how many exchanges a target gets while it leaves, drains, starts or warms up.

package org.gypsumturn.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.ViewVersion

class TargetTest : AnnotationSpec() {
    private fun RequestDispatcher.startedCount(nowMillis: Long, from: Long = 1): Int =
        (from..from + 7).sumOf { handle(nowMillis, arrived(it, deadlineMillis = 1_000_000)).sends().size }

    @Test
    fun `a leaving target gets no requests after the notice`() {
        val dispatcher = dispatcher(viewOf(instance("a"), instance("b")))
        dispatcher.handle(1, RequestEvent.TargetLeaving(InstanceId("a")))
        (1L..16L).flatMap { dispatcher.handle(2, arrived(it)).sends() }.map { it.target.value }.toSet() shouldBe
            setOf("b")
    }

    @Test
    fun `a leaving notice stays under an unchanged view and ends when the target returns to service`() {
        val dispatcher = dispatcher(viewOf(instance("a")))
        dispatcher.handle(1, RequestEvent.TargetLeaving(InstanceId("a")))
        dispatcher.handle(2, RequestEvent.ViewChanged(viewOf(instance("a"))))
        dispatcher.handle(3, arrived(1)).shouldBeEmpty()
        dispatcher.handle(4, RequestEvent.ViewChanged(viewOf(instance("a", state = InstanceState.REBOOTING))))
        dispatcher.handle(5, RequestEvent.ViewChanged(viewOf(instance("a")))).sends().size shouldBe 1
    }

    @Test
    fun `a leaving notice that arrives before the view is honoured`() {
        val dispatcher = RequestDispatcher(DispatchSettings(), SELF, seed = 1)
        dispatcher.handle(1, RequestEvent.TargetLeaving(InstanceId("a")))
        dispatcher.handle(2, RequestEvent.ViewChanged(viewOf(instance("a"))))
        dispatcher.handle(3, arrived(1)).shouldBeEmpty()
    }

    @Test
    fun `a draining target gets no new requests and finishes the running ones`() {
        val dispatcher = dispatcher(viewOf(instance("a")))
        val send = dispatcher.handle(1, arrived(1)).sends().single()
        dispatcher.handle(2, RequestEvent.ViewChanged(viewOf(instance("a", state = InstanceState.DRAINING))))
        dispatcher.handle(3, arrived(2)).shouldBeEmpty()
        val answer = ExchangeResult.Answered(200, overloaded = false)
        dispatcher.handle(4, RequestEvent.ExchangeEnded(send.exchange, answer)).replies().size shouldBe 1
    }

    @Test
    fun `the slots of a new target are opened gradually`() {
        val dispatcher = dispatcher(viewOf(instance("a", state = InstanceState.REBOOTING)))
        dispatcher.handle(0, RequestEvent.ViewChanged(viewOf(instance("a"))))
        dispatcher.startedCount(1) shouldBe 1
        dispatcher.handle(5_000, RequestEvent.Tick).sends().size shouldBe 3
        dispatcher.handle(10_000, RequestEvent.Tick).sends().size shouldBe 4
    }

    @Test
    fun `a warming target gets at most half of its slots`() {
        val dispatcher = dispatcher(viewOf(instance("a", state = InstanceState.WARMING)))
        dispatcher.handle(60_000, RequestEvent.Tick)
        dispatcher.startedCount(60_000) shouldBe 4
    }

    @Test
    fun `a view that is older than the current one is ignored`() {
        val drained = viewOf(instance("a", state = InstanceState.DRAINING)).copy(version = ViewVersion(9))
        val dispatcher = dispatcher(drained)
        dispatcher.handle(1, RequestEvent.ViewChanged(viewOf(instance("a")).copy(version = ViewVersion(8))))
        dispatcher.handle(2, arrived(1)).shouldBeEmpty()
    }
}
