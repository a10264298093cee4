// Tests that callers repeat a call only where that is safe, and which outcome follows from their replies.

package org.gypsumturn.bench.load

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class CallPolicyTest : AnnotationSpec() {
    private val ran = Reply.Ran("")
    private val notRun = Reply.NotRun("")
    private val mayHaveRun = Reply.MayHaveRun("")
    private val noConnection = Reply.NoConnection("")
    private val broken = Reply.Broken("")

    private fun finalOutcome(kind: CallKind, vararg history: Reply) =
        (nextStep(kind, history.toList(), mayRetry = false) as? NextStep.Finish)?.outcome

    private fun retries(kind: CallKind, vararg history: Reply) =
        nextStep(kind, history.toList(), mayRetry = true) == NextStep.RetryAtNextEntry

    @Test
    fun `a not-run verdict is final only if no earlier attempt may have run`() {
        CallKind.entries.forEach { kind ->
            finalOutcome(kind, noConnection, notRun) shouldBe CallOutcome.NOT_RUN
            retries(kind, notRun) shouldBe false
            retries(kind, broken, notRun) shouldBe true
            finalOutcome(kind, broken, notRun) shouldBe CallOutcome.MAY_HAVE_RUN
        }
    }

    @Test
    fun `a broken attempt is repeated, and the call is lost only if no attempt got a verdict`() {
        CallKind.entries.forEach { kind ->
            retries(kind, broken) shouldBe true
            finalOutcome(kind, broken, noConnection) shouldBe CallOutcome.LOST
            finalOutcome(kind, broken, mayHaveRun) shouldBe CallOutcome.MAY_HAVE_RUN
            finalOutcome(kind, broken, ran) shouldBe CallOutcome.ANSWERED
        }
    }

    @Test
    fun `a keyed call that may have run is repeated a few times, an idempotent one until the time is up`() {
        retries(CallKind.KEYED, mayHaveRun, mayHaveRun) shouldBe true
        retries(CallKind.KEYED, mayHaveRun, mayHaveRun, mayHaveRun) shouldBe false
        retries(CallKind.IDEMPOTENT, mayHaveRun, mayHaveRun, mayHaveRun) shouldBe true
    }

    @Test
    fun `a call for which no connection was ever made was not run`() {
        retries(CallKind.KEYED, noConnection) shouldBe true
        finalOutcome(CallKind.KEYED, noConnection, noConnection) shouldBe CallOutcome.NOT_RUN
    }
}
