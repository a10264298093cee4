// Targets that leave, drain, start or warm up.

package org.gypsumturn.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.ViewVersion

class TargetTest : AnnotationSpec() {
    private fun RequestDispatcher.startable(nowMillis: Long, from: Long = 1): Int =
        (from..from + 7).sumOf { handle(nowMillis, arrived(it, deadlineMillis = 1_000_000)).sends().size }

    @Test
    fun `a leaving target gets nothing from the notice on`() {
        val dispatcher = dispatcher(viewOf(instance("a"), instance("b")))
        dispatcher.handle(1, RequestEvent.TargetLeaving(InstanceId("a")))
        (1L..16L).flatMap { dispatcher.handle(2, arrived(it)).sends() }.map { it.target.value }.toSet() shouldBe
            setOf("b")
    }

    @Test
    fun `an unchanged view does not take the notice back and a return to service does`() {
        val dispatcher = dispatcher(viewOf(instance("a")))
        dispatcher.handle(1, RequestEvent.TargetLeaving(InstanceId("a")))
        dispatcher.handle(2, RequestEvent.ViewChanged(viewOf(instance("a"))))
        dispatcher.handle(3, arrived(1)).shouldBeEmpty()
        dispatcher.handle(4, RequestEvent.ViewChanged(viewOf(instance("a", state = InstanceState.REBOOTING))))
        dispatcher.handle(5, RequestEvent.ViewChanged(viewOf(instance("a")))).sends().size shouldBe 1
    }

    @Test
    fun `a notice that comes before the view counts`() {
        val dispatcher = RequestDispatcher(DispatchSettings(), SELF, seed = 1)
        dispatcher.handle(1, RequestEvent.TargetLeaving(InstanceId("a")))
        dispatcher.handle(2, RequestEvent.ViewChanged(viewOf(instance("a"))))
        dispatcher.handle(3, arrived(1)).shouldBeEmpty()
    }

    @Test
    fun `a draining target gets nothing new and finishes what it runs`() {
        val dispatcher = dispatcher(viewOf(instance("a")))
        val send = dispatcher.handle(1, arrived(1)).sends().single()
        dispatcher.handle(2, RequestEvent.ViewChanged(viewOf(instance("a", state = InstanceState.DRAINING))))
        dispatcher.handle(3, arrived(2)).shouldBeEmpty()
        val answer = ExchangeResult.Answered(200, overloaded = false)
        dispatcher.handle(4, RequestEvent.ExchangeEnded(send.exchange, answer)).replies().size shouldBe 1
    }

    @Test
    fun `a fresh target is opened step by step`() {
        val dispatcher = dispatcher(viewOf(instance("a", state = InstanceState.REBOOTING)))
        dispatcher.handle(0, RequestEvent.ViewChanged(viewOf(instance("a"))))
        dispatcher.startable(1) shouldBe 1
        dispatcher.handle(5_000, RequestEvent.Tick).sends().size shouldBe 3
        dispatcher.handle(10_000, RequestEvent.Tick).sends().size shouldBe 4
    }

    @Test
    fun `a warming target gets half of its slots at most`() {
        val dispatcher = dispatcher(viewOf(instance("a", state = InstanceState.WARMING)))
        dispatcher.handle(60_000, RequestEvent.Tick)
        dispatcher.startable(60_000) shouldBe 4
    }

    @Test
    fun `a view that was overtaken by a newer one changes nothing`() {
        val drained = viewOf(instance("a", state = InstanceState.DRAINING)).copy(version = ViewVersion(9))
        val dispatcher = dispatcher(drained)
        dispatcher.handle(1, RequestEvent.ViewChanged(viewOf(instance("a")).copy(version = ViewVersion(8))))
        dispatcher.handle(2, arrived(1)).shouldBeEmpty()
    }
}
