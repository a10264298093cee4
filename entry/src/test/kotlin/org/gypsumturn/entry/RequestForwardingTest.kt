// Checks the path of a request through an entry to a target and back, and the answers to requests that are not
// forwarded.

package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import org.gypsumturn.model.FleetView
import org.gypsumturn.runtime.settings.CommonSettings
import org.gypsumturn.runtime.settings.SettingsResult
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.trace.Tracing
import org.gypsumturn.view.Readiness
import java.io.File

class RequestForwardingTest : AnnotationSpec() {
    @Test
    fun `a request gets the complete answer of a target with the verdict ran`() {
        withTargetAndEntry({ request, socket ->
            socket.answer("<${request.body}>", 201, "X-Own: yes\r\nX-Verdict: not-run\r\n")
        }) { target, entry ->
            val answer = entry.caller().use { it.call("/services/quotes/kit/7?size=2", "castle") }
            answer.status shouldBe 201
            answer.verdict shouldBe "ran"
            answer.headers["x-own"] shouldBe "yes"
            answer.body shouldBe "<castle>"
            target.receivedRequests.single().line shouldBe "POST /kit/7?size=2 HTTP/1.1"
        }
    }

    @Test
    fun `the trace context is forwarded to the target`() {
        val parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
        withTargetAndEntry { target, entry ->
            entry.caller().use { it.call("/services/quotes/", headers = listOf("traceparent: $parent")) }
            target.receivedRequests.single().headers.getValue("traceparent") shouldStartWith
                "00-0af7651916cd43dd8448eb211c80319c"
        }
    }

    @Test
    fun `invalid requests are rejected with the verdict not-run`() {
        withTargetAndEntry { target, entry ->
            entry.caller().use { caller ->
                caller.call("/services/unknown/x").status shouldBe 404
                caller.call("/nothing").status shouldBe 404
                caller.call("/services/quotes/", headers = listOf("X-Deadline-Millis: 5s")).status shouldBe 400
                caller.call("/services/quotes/", headers = listOf("Idempotency-Key: a/b")).status shouldBe 400
                val large = caller.call("/services/quotes/", "x".repeat(2_001))
                large.status shouldBe 413
                large.verdict shouldBe "not-run"
                caller.isClosedByEntry() shouldBe true
            }
            entry.caller().use { caller ->
                caller.write("POST /services/quotes/ HTTP/1.1\r\nContent-Length: x\r\n\r\n")
                val answer = caller.read()
                answer.status shouldBe 400
                answer.verdict shouldBe "not-run"
            }
            target.receivedRequests.size shouldBe 0
        }
    }

    @Test
    fun `an entry whose lease has lapsed is alive but not ready and forwards no request`() {
        withTargetAndEntry { target, entry ->
            entry.caller().use { caller ->
                caller.call("/health/ready", method = "GET").status shouldBe 200
                entry.view.readiness = Readiness(false, "the view's lease lapsed")
                val ready = caller.call("/health/ready", method = "GET")
                ready.status shouldBe 503
                ready.body shouldContain "lease lapsed"
                caller.call("/health/live", method = "GET").status shouldBe 200
                val answer = caller.call("/services/quotes/")
                answer.status shouldBe 503
                answer.verdict shouldBe "not-run"
                target.receivedRequests.size shouldBe 0
            }
        }
    }

    @Test
    fun `an entry without a view answers 503 instead of 404 for a service that it does not know`() {
        val view = SettableViewSource(FleetView())
        view.readiness = Readiness(false, "no view has been received")
        EntryFixture(view).use { entry ->
            val answer = entry.caller().use { it.call("/services/orders/") }
            answer.status shouldBe 503
            answer.verdict shouldBe "not-run"
        }
    }

    @Test
    fun `the target receives the trace id of the caller with a new span id`() {
        val schema = SettingsSchema(CommonSettings.all)
        val file = File.createTempFile("traces", ".ini")
        file.deleteOnExit()
        file.writeText("[node]\nname=e\nregion=r\ndata_centre=d\n[metrics]\naddress=127.0.0.1:0\n")
        val settings = (schema.load(file) as SettingsResult.Loaded).settings
        val parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
        val target = FakeTarget()
        EntryFixture(SettableViewSource(viewOf(listOf(target.port))), tracing = Tracing.of(settings)).use { entry ->
            entry.caller().use { it.call("/services/quotes/", headers = listOf("traceparent: $parent")) }
        }
        target.close()
        val passedOn = target.receivedRequests.single().headers.getValue("traceparent").split('-')
        passedOn[1] shouldBe "0af7651916cd43dd8448eb211c80319c"
        passedOn[2] shouldNotBe "b7ad6b7169203331"
    }
}
