package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.view.Readiness
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

    @Test
    fun `a request that is queued at a shutdown gets its whole answer`() = shutDownWithQueued { _, queued, go ->
        go()
        queued.read().let { it.status to it.body } shouldBe (200 to "queued")
    }

    @Test
    fun `a queued request is not run once the view may no longer be used, also in a shutdown`() =
        shutDownWithQueued { entry, queued, go ->
            entry.view.readiness = Readiness(false, "the view's lease lapsed")
            queued.read().verdict shouldBe "not-run"
            go()
        }

    // One request holds the only slot of the target until [check] lets it go; the other one is queued.
    private fun shutDownWithQueued(check: (EntryFixture, RawCaller, () -> Unit) -> Unit) {
        val started = CountDownLatch(1)
        val go = CountDownLatch(1)
        val script = { seen: SeenRequest, side: TargetSide ->
            started.countDown()
            go.await()
            side.answer(seen.body)
        }
        FakeTarget(script).use { target ->
            val entry = EntryFixture(SetView(viewOf(listOf(target.port), slots = 1)))
            val running = entry.caller().apply { send("/services/orders/", "running") }
            started.await()
            val queued = entry.caller().apply { send("/services/orders/", "queued") }
            await { entry.node.openRequests == 2 }
            val ending = thread { entry.node.shutDown() }
            await { runCatching { entry.caller().close() }.isFailure }
            target.seen.size shouldBe 1
            check(entry, queued, go::countDown)
            running.read().body shouldBe "running"
            ending.join()
        }
    }
}
