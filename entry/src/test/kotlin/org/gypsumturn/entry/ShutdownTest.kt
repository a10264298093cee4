package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

class ShutdownTest : AnnotationSpec() {
    @Test
    fun `a shutdown answers everything that was received and then ends`() {
        val started = CountDownLatch(4)
        val go = CountDownLatch(1)
        FakeTarget { seen, side ->
            started.countDown()
            go.await()
            side.answer(seen.body)
        }.use { target ->
            val entry = EntryFixture(target)
            val callers = (0 until 4).map { entry.caller() }
            val idle = entry.caller()
            callers.forEachIndexed { number, caller -> caller.send("/services/orders/", "order-$number") }
            started.await()
            val ending = thread { entry.node.shutDown() }
            idle.isClosedByEntry() shouldBe true
            runCatching { entry.caller() }.isFailure shouldBe true
            go.countDown()
            val answers = callers.map { it.read() }
            answers.map { it.body } shouldBe (0 until 4).map { "order-$it" }
            answers.map { it.headers["connection"] }.toSet() shouldBe setOf("close")
            ending.join()
            entry.node.openRequests shouldBe 0
        }
    }

    @Test
    fun `an entry that leaves is not ready first, and still serves until the balancer has seen it`() {
        FakeTarget().use { target ->
            val config = TEST_CONFIG.copy(balancerLagMillis = 1_000)
            val entry = EntryFixture(SetView(viewOf(listOf(target.port))), config = config)
            entry.caller().use { caller ->
                caller.call("/health/ready", method = "GET").status shouldBe 200
                val ending = thread { entry.node.shutDown() }
                await { caller.call("/health/ready", method = "GET").status == 503 }
                caller.call("/services/orders/", "late").body shouldBe "late"
                ending.join()
                caller.isClosedByEntry() shouldBe true
            }
        }
    }
}
