package org.gypsumturn.bench.load

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class CallPolicyTest : AnnotationSpec() {
    private val ran = Reply.Ran("")
    private val notRun = Reply.NotRun("")
    private val mayHaveRun = Reply.MayHaveRun("")
    private val noConnection = Reply.NoConnection("")
    private val broken = Reply.Broken("")

    private fun end(kind: CallKind, vararg history: Reply) =
        (nextStep(kind, history.toList(), mayAskAgain = false) as? NextStep.Finish)?.end

    private fun asksAgain(kind: CallKind, vararg history: Reply) =
        nextStep(kind, history.toList(), mayAskAgain = true) == NextStep.AskNext

    @Test
    fun `a not-run verdict is final only if no earlier attempt may have run`() {
        CallKind.entries.forEach { kind ->
            end(kind, noConnection, notRun) shouldBe CallEnd.NOT_RUN
            asksAgain(kind, notRun) shouldBe false
            asksAgain(kind, broken, notRun) shouldBe true
            end(kind, broken, notRun) shouldBe CallEnd.MAY_HAVE_RUN
        }
    }

    @Test
    fun `a broken attempt is repeated, and lost only if no verdict ever came`() {
        CallKind.entries.forEach { kind ->
            asksAgain(kind, broken) shouldBe true
            end(kind, broken, noConnection) shouldBe CallEnd.LOST
            end(kind, broken, mayHaveRun) shouldBe CallEnd.MAY_HAVE_RUN
            end(kind, broken, ran) shouldBe CallEnd.ANSWERED
        }
    }

    @Test
    fun `a keyed call is asked again under its key a few times, an idempotent one as long as there is time`() {
        asksAgain(CallKind.KEYED, mayHaveRun, mayHaveRun) shouldBe true
        asksAgain(CallKind.KEYED, mayHaveRun, mayHaveRun, mayHaveRun) shouldBe false
        asksAgain(CallKind.IDEMPOTENT, mayHaveRun, mayHaveRun, mayHaveRun) shouldBe true
    }

    @Test
    fun `a call that never reached anyone was not run`() {
        asksAgain(CallKind.KEYED, noConnection) shouldBe true
        end(CallKind.KEYED, noConnection, noConnection) shouldBe CallEnd.NOT_RUN
    }
}
