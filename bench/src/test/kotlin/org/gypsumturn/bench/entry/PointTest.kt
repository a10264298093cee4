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

class PointTest : AnnotationSpec() {
    private fun pointAt(answer: (HttpExchange) -> String, test: (Point) -> Unit) {
        val server = HttpServer.create(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0)
        server.createContext("/") { exchange ->
            val body = answer(exchange).toByteArray()
            exchange.sendResponseHeaders(200, body.size.toLong())
            exchange.responseBody.use { it.write(body) }
        }
        server.start()
        try {
            val address = HostAndPort("127.0.0.1", server.address.port)
            test(Point("test", listOf(address), "/", true, HttpClient.newHttpClient()))
        } finally {
            server.stop(0)
        }
    }

    private fun own(exchange: HttpExchange) = "request=${exchange.requestHeaders.getFirst("X-Request-Id")}\n"

    @Test
    fun `another request's answer counts as failed`() = pointAt({ "request=other\n" }) { point ->
        point.runUnpaced(5, 2)
        point.unpaced.failed.get() shouldBe 5
        point.unpaced.latencyMicros.totalCount shouldBe 0
    }

    @Test
    fun `each keyed request has a key of its own`() {
        val keys = mutableSetOf<String>()
        pointAt({
            keys += it.requestHeaders.getFirst("Idempotency-Key")
            own(it)
        }) { point ->
            point.runUnpaced(5, 1)
            point.unpaced.answered.get() shouldBe 5
            keys.size shouldBe 5
        }
    }

    @Test
    fun `a stall counts for the requests that fell due during it`() {
        var first = true
        pointAt({
            if (first) Thread.sleep(200)
            first = false
            own(it)
        }) { point ->
            point.runPaced(10, 1_000, 1)
            point.paced.latencyMicros.minValue shouldBeGreaterThanOrEqual 100_000
            point.paced.answered.get() shouldBe 10
        }
    }
}
