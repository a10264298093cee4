// Guards against requests that are sent after the entry's view lease has lapsed. The lease can lapse after the dispatch
// of a request, while its connection is being opened or before it is written.

package org.gypsumturn.entry.target

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.gypsumturn.entry.FakeTarget
import org.gypsumturn.entry.TEST_CONFIG
import org.gypsumturn.model.Address
import org.gypsumturn.model.InstanceId
import org.gypsumturn.request.ExchangeResult
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class LapsedLeaseTest : AnnotationSpec() {
    private fun nowMillis() = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    private fun TargetClient.sendAndAwait(target: FakeTarget, body: String): ExchangeResult {
        val outcome = CompletableFuture<ExchangeOutcome>()
        val endpoint = TargetEndpoint(InstanceId("i"), Address("127.0.0.1", target.port), maxConnections = 1)
        val request = TargetRequest("POST", "/", emptyList(), body.toByteArray())
        send(TargetExchange(endpoint, request, nowMillis() + 20_000, 1_000) { outcome.complete(it) })
        return outcome.get(30, TimeUnit.SECONDS).result
    }

    private fun withClient(mayWrite: () -> Boolean, test: (TargetClient, FakeTarget) -> Unit) {
        val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        try {
            FakeTarget().use { test(TargetClient(eventLoops, TEST_CONFIG.targetLimits, ::nowMillis, mayWrite), it) }
        } finally {
            eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly()
        }
    }

    @Test
    fun `no request is sent if the lease lapses while the connection is being opened`() {
        val answers = ArrayDeque(listOf(true, false, true))
        withClient({ answers.removeFirst() }) { client, target ->
            client.sendAndAwait(target, "lapsed").shouldBeInstanceOf<ExchangeResult.NotSent>()
            client.sendAndAwait(target, "renewed").shouldBeInstanceOf<ExchangeResult.Answered>()
            target.connections.get() shouldBe 1
            target.receivedRequests.map { it.body } shouldBe listOf("renewed")
        }
    }

    @Test
    fun `no request is sent over an idle connection if the lease lapses after dispatch`() {
        val answers = ArrayDeque(listOf(true, true, false))
        withClient({ answers.removeFirst() }) { client, target ->
            client.sendAndAwait(target, "first").shouldBeInstanceOf<ExchangeResult.Answered>()
            client.sendAndAwait(target, "lapsed").shouldBeInstanceOf<ExchangeResult.NotSent>()
            target.receivedRequests.map { it.body } shouldBe listOf("first")
        }
    }
}
