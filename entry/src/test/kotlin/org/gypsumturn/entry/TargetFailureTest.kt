package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean

/** What targets do to `orders`, whose requests must not be repeated. */
class TargetFailureTest : AnnotationSpec() {
    /** The first request meets [failure]; the answer to it and to a second one, which is served well. */
    private fun failThenServe(timeoutMillis: Long = 5_000, failure: (TargetSide) -> Unit): List<SeenAnswer> {
        var answers = emptyList<SeenAnswer>()
        serving(timeoutMillis = timeoutMillis, script = { seen, side ->
            if (seen.body == "first") failure(side) else side.answer(seen.body)
        }) { target, entry ->
            entry.caller().use { caller ->
                answers = listOf("first", "second").map { caller.call("/services/orders/", it) }
            }
            target.seen.map { it.body } shouldContainExactly listOf("first", "second")
            target.seen.map { it.connection } shouldContainExactly listOf(1, 2)
        }
        return answers
    }

    private fun shouldBeMaybeThenOwn(answers: List<SeenAnswer>, status: Int) {
        answers.map { it.verdict } shouldBe listOf("may-have-run", "ran")
        answers[0].status shouldBe status
        answers[1].body shouldBe "second"
    }

    @Test
    fun `a reset after the request was read may have run`() = shouldBeMaybeThenOwn(failThenServe { it.reset() }, 502)

    @Test
    fun `an answer that ends early is never passed on`() = shouldBeMaybeThenOwn(
        failThenServe {
            it.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            it.close()
        },
        502,
    )

    @Test
    fun `an answer without a marked end is never passed on`() = shouldBeMaybeThenOwn(
        failThenServe {
            it.write("HTTP/1.1 200 OK\r\n\r\nperhaps all")
            it.close()
        },
        502,
    )

    @Test
    fun `a chunked answer without its last chunk is never passed on`() = shouldBeMaybeThenOwn(
        failThenServe {
            it.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
            it.close()
        },
        502,
    )

    @Test
    fun `an answer with two lengths is malformed`() = shouldBeMaybeThenOwn(
        failThenServe {
            it.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n")
        },
        502,
    )

    @Test
    fun `an answer that is not HTTP is malformed`() =
        shouldBeMaybeThenOwn(failThenServe { it.write("SMTP ready\r\n\r\n") }, 502)

    @Test
    fun `an answer above the service's bound is never passed on`() =
        shouldBeMaybeThenOwn(failThenServe { it.answer("x".repeat(1_001)) }, 502)

    @Test
    fun `a chunked answer above the service's bound is never passed on`() = shouldBeMaybeThenOwn(
        failThenServe {
            val chunk = "1f4\r\n${"x".repeat(500)}\r\n"
            it.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n$chunk$chunk$chunk")
        },
        502,
    )

    @Test
    fun `a silent target may have run the request, and its connection is not used again`() =
        shouldBeMaybeThenOwn(failThenServe(timeoutMillis = 300) {}, 504)

    @Test
    fun `an answer after the deadline reaches nobody`() {
        val late = CountDownLatch(1)
        serving(timeoutMillis = 300, script = { seen, side ->
            if (seen.body == "first") {
                late.await()
                runCatching { side.answer("answer to the first") }
            } else {
                side.answer(seen.body)
            }
        }) { target, entry ->
            entry.caller().use { caller ->
                caller.call("/services/orders/", "first").status shouldBe 504
                late.countDown()
                val bodies = (1..20).map { "unique-$it" }
                bodies.map { caller.call("/services/orders/", it).body } shouldBe bodies
                target.seen.filter { it.body != "first" }.none { it.connection == 1 } shouldBe true
            }
        }
    }

    @Test
    fun `bytes behind a whole answer are dropped with their connection`() {
        serving(script = { seen, side ->
            side.write("HTTP/1.1 200 OK\r\nContent-Length: ${seen.body.length}\r\n\r\n${seen.body}HTTP/1.1 200 O")
        }) { target, entry ->
            entry.caller().use { caller ->
                val bodies = (1..10).map { "unique-$it" }
                bodies.map { caller.call("/services/orders/", it).body } shouldBe bodies
            }
            target.connections.get() shouldBe 10
        }
    }

    @Test
    fun `a second answer to one request reaches nobody`() {
        serving(script = { seen, side ->
            val answer = "HTTP/1.1 200 OK\r\nContent-Length: ${seen.body.length}\r\n\r\n${seen.body}"
            side.write(answer + answer)
        }) { _, entry ->
            entry.caller().use { caller ->
                val bodies = (1..10).map { "unique-$it" }
                bodies.map { caller.call("/services/orders/", it).body } shouldBe bodies
            }
        }
    }

    @Test
    fun `whole answers share one connection`() {
        serving(script = { seen, side -> side.answer(seen.body) }) { target, entry ->
            entry.caller().use { caller -> repeat(5) { caller.call("/services/orders/", "$it").body shouldBe "$it" } }
            target.connections.get() shouldBe 1
        }
    }

    @Test
    fun `a target that cannot be reached has not run the request`() {
        val closedPort = FakeTarget().use { it.port }
        EntryFixture(SetView(viewOf(listOf(closedPort), timeoutMillis = 500))).use { entry ->
            val answer = entry.caller().use { it.call("/services/orders/", "x") }
            answer.verdict shouldBe "not-run"
            answer.status shouldBe 503
        }
    }

    @Test
    fun `an overloaded target has not run the request, which another one then runs`() {
        FakeTarget { _, side -> side.refuse() }.use { full ->
            serving(others = listOf(full.port)) { _, entry ->
                val bodies = (1..10).map { "order-$it" }
                entry.caller().use { caller -> bodies.map { caller.call("/services/orders/", it).body } } shouldBe
                    bodies
            }
        }
    }

    // The retry budget is earned by first attempts, so both tests send some before the reset.
    private fun resetOnceAfterWarmUp(service: String): Pair<SeenAnswer, Int> {
        var result: Pair<SeenAnswer, Int>? = null
        val reset = AtomicBoolean()
        serving(script = { seen, side ->
            if (seen.body == "last" && reset.compareAndSet(false, true)) side.reset() else side.answer(seen.body)
        }) { target, entry ->
            entry.caller().use { caller ->
                repeat(WARM_UP) { caller.call(service, "$it").body shouldBe "$it" }
                val answer = caller.call(service, "last")
                result = answer to target.seen.count { it.body == "last" }
            }
        }
        return checkNotNull(result)
    }

    @Test
    fun `a repeatable request is sent again after a reset`() {
        val (answer, sent) = resetOnceAfterWarmUp("/services/quotes/")
        answer.body shouldBe "last"
        answer.verdict shouldBe "ran"
        sent shouldBe 2
    }

    @Test
    fun `a request that must not be repeated is not sent again after a reset`() {
        val (answer, sent) = resetOnceAfterWarmUp("/services/orders/")
        answer.verdict shouldBe "may-have-run"
        sent shouldBe 1
    }

    @Test
    fun `an answer without a body passes with its own status`() {
        serving(script = { seen, side ->
            when {
                seen.line.startsWith("HEAD") -> side.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
                else -> side.write("HTTP/1.1 204 No Content\r\n\r\n")
            }
        }) { target, entry ->
            entry.caller().use { caller ->
                caller.call("/services/orders/").status shouldBe 204
                caller.call("/services/orders/", method = "HEAD").headers["content-length"] shouldBe "5"
                caller.call("/services/orders/").status shouldBe 204
            }
            target.connections.get() shouldBe 1
        }
    }

    private companion object {
        const val WARM_UP = 20
    }
}
