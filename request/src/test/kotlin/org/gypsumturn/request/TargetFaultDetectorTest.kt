// Checks that faults of a connection, a target and a network path are distinguished, and that a pool never loses all
// its targets to ejection.

package org.gypsumturn.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId

class TargetFaultDetectorTest : AnnotationSpec() {
    private val failure = Failure(FailureKind.TIMEOUT, "test")
    private val silent = ExchangeResult.Unanswered(failure, silent = true)
    private val refused = ExchangeResult.NotSent(failure)
    private val answered = ExchangeResult.Answered(200, overloaded = false)

    private class Fixture(vararg instances: Instance) {
        val targets = TargetTable(600_000).also { it.applyInstances(0, instances.toList()) }
        val faultDetector = TargetFaultDetector(DispatchSettings(), targets)

        fun target(name: String) = targets.eligible(POOL).first { it.id == InstanceId(name) }

        fun recordResults(name: String, result: ExchangeResult, times: Int = 1) =
            repeat(times) { faultDetector.recordResult(10L + it, target(name), result) }

        fun ejected(): List<String> = targets.eligible(POOL).filter { it.health.isEjected(20) }.map { it.id.value }
    }

    private fun fourTargets() = Fixture(instance("a"), instance("b"), instance("c"), instance("d"))

    @Test
    fun `a target is ejected after several consecutive silent exchanges but not after one`() {
        val fixture = fourTargets()
        fixture.recordResults("a", silent)
        fixture.recordResults("a", answered)
        fixture.recordResults("a", silent, times = 2)
        fixture.ejected() shouldBe emptyList()
        fixture.recordResults("a", silent)
        fixture.ejected() shouldBe listOf("a")
    }

    @Test
    fun `when most targets of a data centre are silent, the path is suspected and no target is ejected`() {
        val fixture = Fixture(instance("a"), instance("b"), instance("c", dataCentre = "dc2"))
        fixture.recordResults("a", silent, times = 3)
        fixture.recordResults("b", silent)
        fixture.ejected() shouldBe emptyList()
        fixture.faultDetector.isPathSuspected(20, fixture.target("a")) shouldBe true
        fixture.faultDetector.isPathSuspected(20, fixture.target("c")) shouldBe false
        fixture.recordResults("b", answered)
        fixture.faultDetector.isPathSuspected(20, fixture.target("a")) shouldBe false
    }

    @Test
    fun `a target is not ejected for requests that the entry was not ready to send`() {
        val fixture = fourTargets()
        fixture.recordResults("a", ExchangeResult.NotSent(Failure(FailureKind.NOT_READY, "test")), times = 10)
        fixture.ejected() shouldBe emptyList()
    }

    @Test
    fun `a target that refuses connections among healthy ones is ejected`() {
        val fixture = fourTargets()
        fixture.recordResults("a", refused, times = 10)
        fixture.ejected() shouldBe listOf("a")
    }

    @Test
    fun `no more than the allowed share of a pool is ejected`() {
        val fixture = fourTargets()
        listOf("a", "b", "c", "d").forEach { fixture.recordResults(it, refused, times = 50) }
        (fixture.ejected().size <= 2) shouldBe true
    }

    @Test
    fun `requests that fail on all targets cause no ejection`() {
        val fixture = fourTargets()
        repeat(50) { listOf("a", "b", "c", "d").forEach { name -> fixture.recordResults(name, refused) } }
        fixture.ejected() shouldBe emptyList()
    }
}
