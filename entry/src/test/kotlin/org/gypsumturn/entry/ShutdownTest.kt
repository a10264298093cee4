// Checks that a graceful shutdown of an entry finishes the requests that it has received.

package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.view.Readiness
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

class ShutdownTest : AnnotationSpec() {
    @Test
    fun `a shutdown answers all requests that were received and then ends`() {
        val started = CountDownLatch(4)
        val proceed = CountDownLatch(1)
        FakeTarget { request, socket ->
            started.countDown()
            proceed.await()
            socket.answer(request.body)
        }.use { target ->
            val entry = EntryFixture(target)
            val callers = (0 until 4).map { entry.caller() }
            val idle = entry.caller()
            callers.forEachIndexed { number, caller -> caller.send("/services/orders/", "order-$number") }
            started.await()
            val shutdown = thread { entry.node.shutDown() }
            idle.isClosedByEntry() shouldBe true
            runCatching { entry.caller() }.isFailure shouldBe true
            proceed.countDown()
            val answers = callers.map { it.read() }
            answers.map { it.body } shouldBe (0 until 4).map { "order-$it" }
            answers.map { it.headers["connection"] }.toSet() shouldBe setOf("close")
            shutdown.join()
            entry.node.openRequests shouldBe 0
        }
    }

    @Test
    fun `an entry that shuts down reports not ready and still serves until the balancer has noticed`() {
        FakeTarget().use { target ->
            val config = TEST_CONFIG.copy(balancerLagMillis = 1_000)
            val entry = EntryFixture(SettableViewSource(viewOf(listOf(target.port))), config = config)
            entry.caller().use { caller ->
                caller.call("/health/ready", method = "GET").status shouldBe 200
                val shutdown = thread { entry.node.shutDown() }
                await { caller.call("/health/ready", method = "GET").status == 503 }
                caller.call("/services/orders/", "late").body shouldBe "late"
                shutdown.join()
                caller.isClosedByEntry() shouldBe true
            }
        }
    }

    @Test
    fun `a request that is queued at a shutdown gets its complete answer`() = shutDownWithQueued { _, queued, proceed ->
        proceed()
        queued.read().let { it.status to it.body } shouldBe (200 to "queued")
    }

    @Test
    fun `a queued request is not run after the lease has lapsed even during a shutdown`() =
        shutDownWithQueued { entry, queued, proceed ->
            entry.view.readiness = Readiness(false, "the view's lease lapsed")
            queued.read().verdict shouldBe "not-run"
            proceed()
        }

    // Starts a shutdown while one request occupies the only slot of the target and another one is queued. [check] gets
    // the entry, the caller of the queued request and a function that lets the target answer.
    private fun shutDownWithQueued(check: (EntryFixture, RawCaller, () -> Unit) -> Unit) {
        val started = CountDownLatch(1)
        val proceed = CountDownLatch(1)
        val script = { request: ReceivedRequest, socket: TargetSocket ->
            started.countDown()
            proceed.await()
            socket.answer(request.body)
        }
        FakeTarget(script).use { target ->
            val entry = EntryFixture(SettableViewSource(viewOf(listOf(target.port), slots = 1)))
            val running = entry.caller().apply { send("/services/orders/", "running") }
            started.await()
            val queued = entry.caller().apply { send("/services/orders/", "queued") }
            await { entry.node.openRequests == 2 }
            val shutdown = thread { entry.node.shutDown() }
            await { runCatching { entry.caller().close() }.isFailure }
            target.receivedRequests.size shouldBe 1
            check(entry, queued, proceed::countDown)
            running.read().body shouldBe "running"
            shutdown.join()
        }
    }
}
