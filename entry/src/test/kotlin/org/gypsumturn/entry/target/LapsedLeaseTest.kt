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

    private fun TargetClient.call(target: FakeTarget, body: String): ExchangeResult {
        val end = CompletableFuture<ExchangeEnd>()
        val place = TargetPlace(InstanceId("i"), Address("127.0.0.1", target.port), maxConnections = 1)
        val request = TargetRequest("POST", "/", emptyList(), body.toByteArray())
        send(TargetExchange(place, request, nowMillis() + 20_000, 1_000) { end.complete(it) })
        return end.get(30, TimeUnit.SECONDS).result
    }

    private fun withClient(mayWrite: () -> Boolean, test: (TargetClient, FakeTarget) -> Unit) {
        val loops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        try {
            FakeTarget().use { test(TargetClient(loops, TEST_CONFIG.targetLimits, ::nowMillis, mayWrite), it) }
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly()
        }
    }

    @Test
    fun `a lease that lapses while the connection opens lets nothing be sent`() {
        val answers = ArrayDeque(listOf(true, false, true))
        withClient({ answers.removeFirst() }) { client, target ->
            client.call(target, "lapsed").shouldBeInstanceOf<ExchangeResult.NotSent>()
            client.call(target, "renewed").shouldBeInstanceOf<ExchangeResult.Answered>()
            target.connections.get() shouldBe 1
            target.seen.map { it.body } shouldBe listOf("renewed")
        }
    }

    @Test
    fun `a lease that lapses between dispatch and an open connection lets nothing be sent`() {
        val answers = ArrayDeque(listOf(true, true, false))
        withClient({ answers.removeFirst() }) { client, target ->
            client.call(target, "first").shouldBeInstanceOf<ExchangeResult.Answered>()
            client.call(target, "lapsed").shouldBeInstanceOf<ExchangeResult.NotSent>()
            target.seen.map { it.body } shouldBe listOf("first")
        }
    }
}
