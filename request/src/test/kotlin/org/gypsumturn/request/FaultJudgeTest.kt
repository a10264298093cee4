// Connection, target and path are told apart, and a pool is never emptied.

package org.gypsumturn.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId

class FaultJudgeTest : AnnotationSpec() {
    private val failure = Failure(FailureKind.TIMEOUT, "test")
    private val silent = ExchangeResult.Unanswered(failure, silent = true)
    private val refused = ExchangeResult.NotSent(failure)
    private val answered = ExchangeResult.Answered(200, overloaded = false)

    private class Fixture(vararg instances: Instance) {
        val targets = TargetTable(600_000).also { it.apply(0, instances.toList()) }
        val judge = FaultJudge(DispatchSettings(), targets)

        fun target(name: String) = targets.eligible(POOL).first { it.id == InstanceId(name) }

        fun ended(name: String, result: ExchangeResult, times: Int = 1) =
            repeat(times) { judge.ended(10L + it, target(name), result) }

        fun ejected(): List<String> = targets.eligible(POOL).filter { it.health.isEjected(20) }.map { it.id.value }
    }

    private fun four() = Fixture(instance("a"), instance("b"), instance("c"), instance("d"))

    @Test
    fun `a target is not blamed for one silent connection but for several in a row`() {
        val fixture = four()
        fixture.ended("a", silent)
        fixture.ended("a", answered)
        fixture.ended("a", silent, times = 2)
        fixture.ejected() shouldBe emptyList()
        fixture.ended("a", silent)
        fixture.ejected() shouldBe listOf("a")
    }

    @Test
    fun `a data centre that goes silent as a whole is a path fault`() {
        val fixture = Fixture(instance("a"), instance("b"), instance("c", dataCentre = "dc2"))
        fixture.ended("a", silent, times = 3)
        fixture.ended("b", silent)
        fixture.ejected() shouldBe emptyList()
        fixture.judge.pathSuspected(20, fixture.target("a")) shouldBe true
        fixture.judge.pathSuspected(20, fixture.target("c")) shouldBe false
        fixture.ended("b", answered)
        fixture.judge.pathSuspected(20, fixture.target("a")) shouldBe false
    }

    @Test
    fun `a target is not blamed for what the entry was not ready to send`() {
        val fixture = four()
        fixture.ended("a", ExchangeResult.NotSent(Failure(FailureKind.NOT_READY, "test")), times = 10)
        fixture.ejected() shouldBe emptyList()
    }

    @Test
    fun `a refusing target among healthy ones is ejected`() {
        val fixture = four()
        fixture.ended("a", refused, times = 10)
        fixture.ejected() shouldBe listOf("a")
    }

    @Test
    fun `a pool is never ejected beyond its share`() {
        val fixture = four()
        listOf("a", "b", "c", "d").forEach { fixture.ended(it, refused, times = 50) }
        (fixture.ejected().size <= 2) shouldBe true
    }

    @Test
    fun `requests that fail everywhere eject nobody`() {
        val fixture = four()
        repeat(50) { listOf("a", "b", "c", "d").forEach { name -> fixture.ended(name, refused) } }
        fixture.ejected() shouldBe emptyList()
    }
}
