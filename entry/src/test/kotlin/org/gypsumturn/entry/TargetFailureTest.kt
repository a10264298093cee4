// Checks how an entry treats resets, time-outs and malformed answers of targets: no caller may get a partial answer or
// the answer to another request, and no request may run twice that must not.

package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean

/** Failures of targets during requests to `orders`, which is not idempotent unless the test says otherwise. */
class TargetFailureTest : AnnotationSpec() {
    /** Sends two requests; the target fails the first one by [failure]. Returns both answers. */
    private fun failThenServe(timeoutMillis: Long = 5_000, failure: (TargetSocket) -> Unit): List<ReceivedAnswer> {
        var answers = emptyList<ReceivedAnswer>()
        withTargetAndEntry(timeoutMillis = timeoutMillis, script = { request, socket ->
            if (request.body == "first") failure(socket) else socket.answer(request.body)
        }) { target, entry ->
            entry.caller().use { caller ->
                answers = listOf("first", "second").map { caller.call("/services/orders/", it) }
            }
            target.receivedRequests.map { it.body } shouldContainExactly listOf("first", "second")
            target.receivedRequests.map { it.connectionNumber } shouldContainExactly listOf(1, 2)
        }
        return answers
    }

    private fun shouldBeMayHaveRunThenRan(answers: List<ReceivedAnswer>, status: Int) {
        answers.map { it.verdict } shouldBe listOf("may-have-run", "ran")
        answers[0].status shouldBe status
        answers[1].body shouldBe "second"
    }

    @Test
    fun `a request is reported as may-have-run if the target resets the connection after reading it`() =
        shouldBeMayHaveRunThenRan(failThenServe { it.reset() }, 502)

    @Test
    fun `an answer shorter than its Content-Length is not forwarded`() = shouldBeMayHaveRunThenRan(
        failThenServe {
            it.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
            it.close()
        },
        502,
    )

    @Test
    fun `an answer without a length or chunked encoding is not forwarded`() = shouldBeMayHaveRunThenRan(
        failThenServe {
            it.write("HTTP/1.1 200 OK\r\n\r\nperhaps all")
            it.close()
        },
        502,
    )

    @Test
    fun `a chunked answer without its last chunk is not forwarded`() = shouldBeMayHaveRunThenRan(
        failThenServe {
            it.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
            it.close()
        },
        502,
    )

    @Test
    fun `an answer with a Content-Length and a Transfer-Encoding is not forwarded`() = shouldBeMayHaveRunThenRan(
        failThenServe {
            it.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n")
        },
        502,
    )

    @Test
    fun `an answer that is not HTTP is not forwarded`() =
        shouldBeMayHaveRunThenRan(failThenServe { it.write("SMTP ready\r\n\r\n") }, 502)

    @Test
    fun `an answer that exceeds the size limit of the service is not forwarded`() =
        shouldBeMayHaveRunThenRan(failThenServe { it.answer("x".repeat(1_001)) }, 502)

    @Test
    fun `a chunked answer that exceeds the size limit of the service is not forwarded`() = shouldBeMayHaveRunThenRan(
        failThenServe {
            val chunk = "1f4\r\n${"x".repeat(500)}\r\n"
            it.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n$chunk$chunk$chunk")
        },
        502,
    )

    @Test
    fun `a request to a target that does not answer is reported as may-have-run and its connection is not reused`() =
        shouldBeMayHaveRunThenRan(failThenServe(timeoutMillis = 300) {}, 504)

    @Test
    fun `an answer that arrives after the deadline reaches no caller`() {
        val late = CountDownLatch(1)
        withTargetAndEntry(timeoutMillis = 300, script = { request, socket ->
            if (request.body == "first") {
                late.await()
                runCatching { socket.answer("answer to the first") }
            } else {
                socket.answer(request.body)
            }
        }) { target, entry ->
            entry.caller().use { caller ->
                caller.call("/services/orders/", "first").status shouldBe 504
                late.countDown()
                val bodies = (1..20).map { "unique-$it" }
                bodies.map { caller.call("/services/orders/", it).body } shouldBe bodies
                target.receivedRequests.filter { it.body != "first" }.none { it.connectionNumber == 1 } shouldBe true
            }
        }
    }

    @Test
    fun `a connection with extra bytes after a complete answer is not reused`() {
        withTargetAndEntry(script = { request, socket ->
            socket.write(
                "HTTP/1.1 200 OK\r\nContent-Length: ${request.body.length}\r\n\r\n${request.body}HTTP/1.1 200 O",
            )
        }) { target, entry ->
            entry.caller().use { caller ->
                val bodies = (1..10).map { "unique-$it" }
                bodies.map { caller.call("/services/orders/", it).body } shouldBe bodies
            }
            target.connections.get() shouldBe 10
        }
    }

    @Test
    fun `a second answer to the same request reaches no caller`() {
        withTargetAndEntry(script = { request, socket ->
            val answer = "HTTP/1.1 200 OK\r\nContent-Length: ${request.body.length}\r\n\r\n${request.body}"
            socket.write(answer + answer)
        }) { _, entry ->
            entry.caller().use { caller ->
                val bodies = (1..10).map { "unique-$it" }
                bodies.map { caller.call("/services/orders/", it).body } shouldBe bodies
            }
        }
    }

    @Test
    fun `a connection is reused after a complete answer`() {
        withTargetAndEntry(script = { request, socket -> socket.answer(request.body) }) { target, entry ->
            entry.caller().use { caller -> repeat(5) { caller.call("/services/orders/", "$it").body shouldBe "$it" } }
            target.connections.get() shouldBe 1
        }
    }

    @Test
    fun `a request to an unreachable target is reported as not run`() {
        val closedPort = FakeTarget().use { it.port }
        EntryFixture(SettableViewSource(viewOf(listOf(closedPort), timeoutMillis = 500))).use { entry ->
            val answer = entry.caller().use { it.call("/services/orders/", "x") }
            answer.verdict shouldBe "not-run"
            answer.status shouldBe 503
        }
    }

    @Test
    fun `a request that an overloaded target refuses is run by another target`() {
        FakeTarget { _, socket -> socket.refuse() }.use { full ->
            withTargetAndEntry(otherPorts = listOf(full.port)) { _, entry ->
                val bodies = (1..10).map { "order-$it" }
                entry.caller().use { caller -> bodies.map { caller.call("/services/orders/", it).body } } shouldBe
                    bodies
            }
        }
    }

    // The retry budget grows with the number of first attempts, so both tests send some requests before the reset.
    private fun resetOnceAfterWarmUp(service: String): Pair<ReceivedAnswer, Int> {
        var result: Pair<ReceivedAnswer, Int>? = null
        val reset = AtomicBoolean()
        withTargetAndEntry(script = { req, socket ->
            if (req.body == "last" && reset.compareAndSet(false, true)) socket.reset() else socket.answer(req.body)
        }) { target, entry ->
            entry.caller().use { caller ->
                repeat(WARM_UP_REQUESTS) { caller.call(service, "$it").body shouldBe "$it" }
                val answer = caller.call(service, "last")
                result = answer to target.receivedRequests.count { it.body == "last" }
            }
        }
        return checkNotNull(result)
    }

    @Test
    fun `an idempotent request is sent again after a reset`() {
        val (answer, sent) = resetOnceAfterWarmUp("/services/quotes/")
        answer.body shouldBe "last"
        answer.verdict shouldBe "ran"
        sent shouldBe 2
    }

    @Test
    fun `a request that is not idempotent is not sent again after a reset`() {
        val (answer, sent) = resetOnceAfterWarmUp("/services/orders/")
        answer.verdict shouldBe "may-have-run"
        sent shouldBe 1
    }

    @Test
    fun `an answer without a body is forwarded with its own status`() {
        withTargetAndEntry(script = { request, socket ->
            when {
                request.line.startsWith("HEAD") -> socket.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
                else -> socket.write("HTTP/1.1 204 No Content\r\n\r\n")
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
        const val WARM_UP_REQUESTS = 20
    }
}
