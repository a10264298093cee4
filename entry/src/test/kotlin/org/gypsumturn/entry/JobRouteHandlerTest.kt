// Checks how an entry accepts jobs and returns their records.

package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.PortFault

class JobRouteHandlerTest : AnnotationSpec() {
    private fun job(id: String, pool: String = "plans", payload: String = "nest") =
        """{"id":"$id","pool":"$pool","team":"one","jobClass":"nesting","priority":"BATCH",""" +
            """"declared":{"processorsMilli":1000,"memoryMib":64},"declaredMillis":500,"idempotent":true,""" +
            """"payload":"$payload"}"""

    private fun withEntry(table: FakeTableStore = FakeTableStore(), test: (RawCaller) -> Unit) =
        EntryFixture(SettableViewSource(viewOf(emptyList())), table).use { entry -> entry.caller().use(test) }

    @Test
    fun `a job is accepted after it is recorded and a repeat of it is reported as repeated`() = withEntry { caller ->
        val first = caller.call("/jobs", job("j1"))
        first.status shouldBe 202
        first.body shouldBe """{"id":"j1","repeated":false}"""
        caller.call("/jobs", job("j1")).body shouldBe """{"id":"j1","repeated":true}"""
        val other = caller.call("/jobs", job("j1", payload = "other"))
        other.status shouldBe 409
        other.verdict shouldBe "not-run"
        val found = caller.call("/jobs/plans/j1", method = "GET")
        found.status shouldBe 200
        found.body shouldContain "nest"
    }

    @Test
    fun `invalid jobs and requests for unknown jobs are rejected`() = withEntry { caller ->
        caller.call("/jobs", "{}").status shouldBe 400
        caller.call("/jobs", job("a/b")).status shouldBe 400
        caller.call("/jobs", job("j1", pool = "unknown")).status shouldBe 404
        caller.call("/jobs/plans/unknown", method = "GET").status shouldBe 404
        caller.call("/jobs", method = "PUT").status shouldBe 405
    }

    @Test
    fun `no job is accepted while the store is down`() {
        var fault = PortFault.REFUSE
        withEntry(FakeTableStore { fault }) { caller ->
            val answer = caller.call("/jobs", job("j1"))
            answer.status shouldBe 503
            answer.verdict shouldBe "not-run"
            fault = PortFault.NONE
            caller.call("/jobs", job("j1")).body shouldBe """{"id":"j1","repeated":false}"""
        }
    }
}
