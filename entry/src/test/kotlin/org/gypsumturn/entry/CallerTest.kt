package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class CallerTest : AnnotationSpec() {
    @Test
    fun `pipelined requests get their own answers in order, whatever the order of the targets`() {
        val laterAnswered = CountDownLatch(9)
        serving({ seen, side ->
            if (seen.line.contains("/0 ")) laterAnswered.await()
            side.answer(seen.line)
            laterAnswered.countDown()
        }, slots = 20) { target, entry ->
            entry.caller().use { caller ->
                (0 until 10).forEach { caller.send("/services/quotes/$it", method = "GET") }
                (0 until 10).map { caller.read().body } shouldBe (0 until 10).map { "GET /$it HTTP/1.1" }
            }
        }
    }

    @Test
    fun `a pipelined request that is not safe waits for those before it`() {
        val order = LinkedBlockingQueue<String>()
        serving({ seen, side ->
            order += seen.body
            side.answer(seen.body)
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
    fun `a rejected request behind a running one is answered in its place`() {
        val go = CountDownLatch(1)
        serving({ seen, side ->
            go.await()
            side.answer(seen.body)
        }) { target, entry ->
            entry.caller().use { caller ->
                caller.send("/services/orders/", "first")
                caller.write("NOT A REQUEST\r\n\r\n")
                go.countDown()
                caller.read().body shouldBe "first"
                caller.read().status shouldBe 400
                caller.isClosedByEntry() shouldBe true
            }
        }
    }

    @Test
    fun `a request that does not arrive in time is refused`() {
        serving { target, entry ->
            entry.caller().use { caller ->
                caller.write("POST /services/orders/ HTTP/1.1\r\nContent-Length: 100\r\n\r\npart")
                val answer = caller.read()
                answer.status shouldBe 408
                answer.verdict shouldBe "not-run"
                caller.isClosedByEntry() shouldBe true
            }
            target.seen.size shouldBe 0
        }
    }

    @Test
    fun `a header that is too large is refused`() {
        serving { target, entry ->
            entry.caller().use { caller ->
                val field = "X-Long: ${"x".repeat(9_000)}"
                val answer = caller.call("/services/orders/", headers = listOf(field))
                answer.status shouldBe 431
                answer.verdict shouldBe "not-run"
            }
        }
    }

    @Test
    fun `a waiting request of a caller who left is never sent`() {
        val holding = CountDownLatch(1)
        val held = CountDownLatch(1)
        serving({ seen, side ->
            if (seen.body == "holder") {
                held.countDown()
                holding.await()
            }
            side.answer(seen.body)
        }, slots = 1) { target, entry ->
            entry.caller().use { holder ->
                holder.send("/services/orders/", "holder")
                held.await()
                entry.caller().use { it.send("/services/orders/", "leaver") }
                await { entry.node.openRequests == 1 && entry.metric("left") == 1.0 }
                holding.countDown()
                holder.read().body shouldBe "holder"
                holder.call("/services/orders/", "next").body shouldBe "next"
            }
            target.seen.map { it.body } shouldBe listOf("holder", "next")
        }
    }

    @Test
    fun `a team beyond its requests in flight is told so`() {
        val holding = CountDownLatch(1)
        val held = CountDownLatch(1)
        serving({ seen, side ->
            held.countDown()
            holding.await()
            side.answer(seen.body)
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

    private fun oneConnection(test: (FakeTarget, EntryFixture) -> Unit) = FakeTarget().use { target ->
        val view = SetView(viewOf(listOf(target.port)))
        EntryFixture(view, config = TEST_CONFIG.copy(maxConnections = 1)).use { test(target, it) }
    }

    private fun succeeds(entry: EntryFixture, body: String) =
        runCatching { entry.caller().use { it.call("/services/quotes/", body).body } }.getOrNull() == body

    @Test
    fun `a connection beyond the limit is closed and counted, and its place is free again after one ends`() =
        oneConnection { target, entry ->
            entry.caller().use { first ->
                first.call("/services/quotes/", "first").body shouldBe "first"
                entry.caller().use { it.isClosedByEntry() shouldBe true }
                entry.refusedConnections() shouldBe 1.0
                first.call("/services/quotes/", "again").body shouldBe "again"
            }
            await { succeeds(entry, "next") }
            target.seen.map { it.body } shouldBe listOf("first", "again", "next")
        }

    @Test
    fun `a deadline of the caller ends its wait`() {
        serving({ _, _ -> }) { target, entry ->
            val answer = entry.caller().use {
                it.call("/services/orders/", "x", headers = listOf("X-Deadline-Millis: 200"))
            }
            answer.status shouldBe 504
            answer.verdict shouldBe "may-have-run"
        }
    }
}

/** Waits until [condition] holds; fails only if it never does. */
fun await(condition: () -> Boolean) {
    val giveUp = System.nanoTime() + TimeUnit.SECONDS.toNanos(30)
    while (!condition()) {
        check(System.nanoTime() < giveUp) { "the awaited condition never held" }
        Thread.sleep(5)
    }
}
