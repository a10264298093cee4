// Tests how answers and failures of an entry become replies and retries, and how the load tool reads its options and
// fault schedule and draws its plan.

package org.gypsumturn.bench.load

import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.runtime.settings.HostAndPort
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

class EntryHttpTest : AnnotationSpec() {
    private val loopback = InetAddress.getLoopbackAddress()
    private val call = HttpCall("/services/s/load", emptyList(), "body")
    private val http = EntryHttp(timeoutMillis = 500)

    private fun <T> withEntry(status: Int, verdict: String?, use: (HostAndPort) -> T): T {
        val server = HttpServer.create(InetSocketAddress(loopback, 0), 0)
        server.createContext("/") { exchange ->
            verdict?.let { exchange.responseHeaders.add("X-Verdict", it) }
            exchange.sendResponseHeaders(status, -1)
            exchange.close()
        }
        server.start()
        try {
            return use(HostAndPort(loopback.hostAddress, server.address.port))
        } finally {
            server.stop(0)
        }
    }

    // An entry that reads from a request and then closes the connection, or never answers.
    private fun <T> withDyingEntry(hangs: Boolean, use: (HostAndPort) -> T): T =
        ServerSocket(0, 50, loopback).use { listener ->
            thread(isDaemon = true) {
                runCatching {
                    val socket = listener.accept()
                    socket.getInputStream().read()
                    if (!hangs) socket.close()
                }
            }
            use(HostAndPort(loopback.hostAddress, listener.localPort))
        }

    @Test
    fun `the verdict decides on the reply, and an answer without one counts as broken`() {
        withEntry(200, "ran") { http.send(it, call) }.shouldBeInstanceOf<Reply.Ran>()
        withEntry(503, "not-run") { http.send(it, call) }.shouldBeInstanceOf<Reply.NotRun>()
        withEntry(504, "may-have-run") { http.send(it, call) }.shouldBeInstanceOf<Reply.MayHaveRun>()
        withEntry(200, null) { http.send(it, call) }.shouldBeInstanceOf<Reply.Broken>()
    }

    @Test
    fun `only a connection that was never made proves that nothing ran`() {
        val closed = HostAndPort(loopback.hostAddress, ServerSocket(0, 1, loopback).use { it.localPort })
        http.send(closed, call).shouldBeInstanceOf<Reply.NoConnection>()
        withDyingEntry(hangs = false) { http.send(it, call) }.shouldBeInstanceOf<Reply.Broken>()
        withDyingEntry(hangs = true) { http.send(it, call) }.shouldBeInstanceOf<Reply.Broken>()
    }

    @Test
    fun `a call whose entry dies is repeated at the next entry`() {
        withDyingEntry(hangs = false) { dying ->
            withEntry(200, "ran") { running ->
                val caller = Caller(listOf(dying, running), http, retryWindowMillis = 60_000)
                val finished = caller.makeCall(call, CallKind.KEYED, 0, System.nanoTime())
                finished.outcome shouldBe CallOutcome.ANSWERED
                finished.history shouldHaveSize 2
            }
        }
    }

    @Test
    fun `the plan is the same for the same seed, and every id and payload is unique`() {
        val options = LoadOptions.parse(
            "--entries 127.0.0.1:1 --standin 127.0.0.1:2 --idempotent-services a,b --keyed-services c".split(' '),
        )
        val plan = planLoad(options, "x")
        planLoad(options, "x") shouldBe plan
        plan.requests.map { it.id }.toSet() shouldHaveSize 1_000
        plan.requests.map { it.payload }.toSet() shouldHaveSize 1_000
        plan.requests.filter { it.kind == CallKind.KEYED }.map { it.service }.toSet() shouldBe setOf("c")
    }

    @Test
    fun `faults are sorted by time, and a malformed or unknown one is refused`() {
        parseFaults("9:store:down, 2:plans-1:silent") shouldBe
            listOf(ScheduledFault(2, "plans-1", "silent"), ScheduledFault(9, "store", "down"))
        listOf("9:store:gone", "x:plans-1:cut", "5:plans-1").map(::parseFaults) shouldBe listOf(null, null, null)
    }

    @Test
    fun `a wrong command line ends with the exit code for wrong usage`() {
        runLoad(listOf("--entries", "localhost:1", "--standin", "127.0.0.1:2"), {}) shouldBe ExitCode.USAGE
        runLoad(listOf("--jobs", "5"), {}) shouldBe ExitCode.USAGE
    }
}
