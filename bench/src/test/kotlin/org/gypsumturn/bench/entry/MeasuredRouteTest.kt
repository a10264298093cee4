// Checks which answers count, that keys are unique, and that the latency includes the time that a request is overdue.

package org.gypsumturn.bench.entry

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.gypsumturn.runtime.settings.HostAndPort
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.http.HttpClient

class MeasuredRouteTest : AnnotationSpec() {
    private fun withRoute(answer: (HttpExchange) -> String, test: (MeasuredRoute) -> Unit) {
        val server = HttpServer.create(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0)
        server.createContext("/") { exchange ->
            val body = answer(exchange).toByteArray()
            exchange.sendResponseHeaders(200, body.size.toLong())
            exchange.responseBody.use { it.write(body) }
        }
        server.start()
        try {
            val address = HostAndPort("127.0.0.1", server.address.port)
            test(MeasuredRoute("test", listOf(address), "/", true, HttpClient.newHttpClient()))
        } finally {
            server.stop(0)
        }
    }

    private fun ownAnswer(exchange: HttpExchange) = "request=${exchange.requestHeaders.getFirst("X-Request-Id")}\n"

    @Test
    fun `a request that gets the answer of another one counts as failed`() = withRoute({ "request=other\n" }) { route ->
        route.runClosedLoop(5, 2)
        route.closedLoop.failed.get() shouldBe 5
        route.closedLoop.latencyMicros.totalCount shouldBe 0
    }

    @Test
    fun `each keyed request carries a different idempotency key`() {
        val keys = mutableSetOf<String>()
        withRoute({
            keys += it.requestHeaders.getFirst("Idempotency-Key")
            ownAnswer(it)
        }) { route ->
            route.runClosedLoop(5, 1)
            route.closedLoop.answered.get() shouldBe 5
            keys.size shouldBe 5
        }
    }

    @Test
    fun `a stall of the target adds to the latency of the requests that are due during it`() {
        var first = true
        withRoute({
            if (first) Thread.sleep(200)
            first = false
            ownAnswer(it)
        }) { route ->
            route.runAtFixedRate(10, 1_000, 1)
            route.fixedRate.latencyMicros.minValue shouldBeGreaterThanOrEqual 100_000
            route.fixedRate.answered.get() shouldBe 10
        }
    }
}
