// Checks how an entry treats callers' connections: pipelining, slow, malformed and abandoned requests, and limits.

package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class CallerTest : AnnotationSpec() {
    @Test
    fun `pipelined requests are answered in order even if targets answer in another order`() {
        val laterAnswered = CountDownLatch(9)
        withTargetAndEntry({ request, socket ->
            if (request.line.contains("/0 ")) laterAnswered.await()
            socket.answer(request.line)
            laterAnswered.countDown()
        }, slots = 20) { target, entry ->
            entry.caller().use { caller ->
                (0 until 10).forEach { caller.send("/services/quotes/$it", method = "GET") }
                (0 until 10).map { caller.read().body } shouldBe (0 until 10).map { "GET /$it HTTP/1.1" }
            }
        }
    }

    @Test
    fun `a pipelined request whose method is not safe waits for the requests before it`() {
        val order = LinkedBlockingQueue<String>()
        withTargetAndEntry({ request, socket ->
            order += request.body
            socket.answer(request.body)
        }, slots = 20) { target, entry ->
            entry.caller().use { caller ->
                val bodies = (0 until 12).map { "order-$it" }
                bodies.forEach { caller.send("/services/orders/", it) }
                bodies.map { caller.read().body } shouldBe bodies
                order.toList() shouldBe bodies
            }
        }
    }

    @Test
    fun `a rejected request is answered after the running request before it`() {
        val proceed = CountDownLatch(1)
        withTargetAndEntry({ request, socket ->
            proceed.await()
            socket.answer(request.body)
        }) { target, entry ->
            entry.caller().use { caller ->
                caller.send("/services/orders/", "first")
                caller.write("NOT A REQUEST\r\n\r\n")
                proceed.countDown()
                caller.read().body shouldBe "first"
                caller.read().status shouldBe 400
                caller.isClosedByEntry() shouldBe true
            }
        }
    }

    @Test
    fun `a request that does not arrive in time is rejected with 408`() {
        withTargetAndEntry { target, entry ->
            entry.caller().use { caller ->
                caller.write("POST /services/orders/ HTTP/1.1\r\nContent-Length: 100\r\n\r\npart")
                val answer = caller.read()
                answer.status shouldBe 408
                answer.verdict shouldBe "not-run"
                caller.isClosedByEntry() shouldBe true
            }
            target.receivedRequests.size shouldBe 0
        }
    }

    @Test
    fun `a request whose header is too large is rejected with 431`() {
        withTargetAndEntry { target, entry ->
            entry.caller().use { caller ->
                val field = "X-Long: ${"x".repeat(9_000)}"
                val answer = caller.call("/services/orders/", headers = listOf(field))
                answer.status shouldBe 431
                answer.verdict shouldBe "not-run"
            }
        }
    }

    @Test
    fun `a queued request is not sent after its caller has left`() {
        val holding = CountDownLatch(1)
        val held = CountDownLatch(1)
        withTargetAndEntry({ request, socket ->
            if (request.body == "holder") {
                held.countDown()
                holding.await()
            }
            socket.answer(request.body)
        }, slots = 1) { target, entry ->
            entry.caller().use { holder ->
                holder.send("/services/orders/", "holder")
                held.await()
                entry.caller().use { it.send("/services/orders/", "leaver") }
                await { entry.node.openRequests == 1 && entry.countRequestsEndedWith("left") == 1.0 }
                holding.countDown()
                holder.read().body shouldBe "holder"
                holder.call("/services/orders/", "next").body shouldBe "next"
            }
            target.receivedRequests.map { it.body } shouldBe listOf("holder", "next")
        }
    }

    @Test
    fun `a request beyond the limit of its team is refused with 429`() {
        val holding = CountDownLatch(1)
        val held = CountDownLatch(1)
        withTargetAndEntry({ request, socket ->
            held.countDown()
            holding.await()
            socket.answer(request.body)
        }) { target, entry ->
            val team = listOf("X-Team: one")
            entry.caller().use { first ->
                first.send("/services/orders/", "first", headers = team)
                held.await()
                val refused = entry.caller().use { it.call("/services/orders/", "second", headers = team) }
                refused.status shouldBe 429
                refused.verdict shouldBe "not-run"
                refused.headers.keys shouldContain "retry-after"
                holding.countDown()
                first.read().body shouldBe "first"
            }
        }
    }

    private fun withOneAllowedConnection(test: (FakeTarget, EntryFixture) -> Unit) = FakeTarget().use { target ->
        val view = SettableViewSource(viewOf(listOf(target.port)))
        EntryFixture(view, config = TEST_CONFIG.copy(maxConnections = 1)).use { test(target, it) }
    }

    private fun isAnswered(entry: EntryFixture, body: String) =
        runCatching { entry.caller().use { it.call("/services/quotes/", body).body } }.getOrNull() == body

    @Test
    fun `a connection beyond the limit is closed and counted and new ones are accepted after one ends`() =
        withOneAllowedConnection { target, entry ->
            entry.caller().use { first ->
                first.call("/services/quotes/", "first").body shouldBe "first"
                entry.caller().use { it.isClosedByEntry() shouldBe true }
                entry.refusedConnections() shouldBe 1.0
                first.call("/services/quotes/", "again").body shouldBe "again"
            }
            await { isAnswered(entry, "next") }
            target.receivedRequests.map { it.body } shouldBe listOf("first", "again", "next")
        }

    @Test
    fun `a caller gets its answer when its own deadline passes`() {
        withTargetAndEntry({ _, _ -> }) { target, entry ->
            val answer = entry.caller().use {
                it.call("/services/orders/", "x", headers = listOf("X-Deadline-Millis: 200"))
            }
            answer.status shouldBe 504
            answer.verdict shouldBe "may-have-run"
        }
    }
}

/** Waits until [condition] is true. Fails if it is not true within 30 s. */
fun await(condition: () -> Boolean) {
    val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30)
    while (!condition()) {
        check(System.nanoTime() < deadlineNanos) { "the awaited condition was not true within 30 s" }
        Thread.sleep(5)
    }
}
