// Tests that each kind of broken promise is counted, and that allowed outcomes are not.

package org.gypsumturn.bench.load

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobClassId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobSpec
import org.gypsumturn.model.JobState
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId

class VerificationTest : AnnotationSpec() {
    private val request = PlannedRequest("r1", CallKind.KEYED, "orders", "r1-abc", 1)
    private val ownAnswer = "request=r1\nkey=r1\npath=/x\ninstance=orders-1\nbody=r1-abc\n"

    private fun sent(kind: CallKind, outcome: CallOutcome, reply: Reply) =
        listOf(SentRequest(request.copy(kind = kind), FinishedCall(outcome, listOf(reply), 5)))

    private fun counts(kind: CallKind, outcome: CallOutcome, reply: Reply, executionCount: Int): LoadCounts {
        val executions = Executions(mapOf("r1" to executionCount).filterValues { it > 0 }, emptyMap(), emptyList())
        return countRequests(kind, sent(kind, outcome, reply), executions)
    }

    private fun job(state: JobState, idempotent: Boolean = false, output: String = "done j1"): SubmittedJob {
        val size = Capacity(1, 1)
        val spec =
            JobSpec(JobId("j1"), PoolId("p"), TeamId("t"), JobClassId("c"), Priority.BATCH, size, 1, idempotent)
        return SubmittedJob(
            spec,
            FinishedCall(CallOutcome.ANSWERED, listOf(Reply.Ran("")), 5),
            JobRecord(spec, state, output = output),
        )
    }

    private fun jobCounts(job: SubmittedJob, executionCount: Int) =
        countJobs(listOf(job), Executions(emptyMap(), mapOf("j1" to executionCount), emptyList()))

    @Test
    fun `an answer to the own request after one execution keeps all promises`() {
        val counts = counts(CallKind.KEYED, CallOutcome.ANSWERED, Reply.Ran(ownAnswer), 1)
        counts.holds shouldBe true
        listOf(counts.sent, counts.answered, counts.p50Millis) shouldBe listOf(1, 1, 5L)
    }

    @Test
    fun `an answer to another request, and an answer without an execution, count as crossed`() {
        counts(CallKind.KEYED, CallOutcome.ANSWERED, Reply.Ran(ownAnswer.replace("r1", "r2")), 1).crossed shouldBe 1
        counts(CallKind.KEYED, CallOutcome.ANSWERED, Reply.Ran(ownAnswer.replace("-abc", "-ab")), 1).crossed shouldBe 1
        counts(CallKind.KEYED, CallOutcome.ANSWERED, Reply.Ran(ownAnswer), 0).crossed shouldBe 1
    }

    @Test
    fun `two executions count as doubled for a keyed request and not for an idempotent one`() {
        counts(CallKind.KEYED, CallOutcome.ANSWERED, Reply.Ran(ownAnswer), 2).doubled shouldBe 1
        counts(CallKind.IDEMPOTENT, CallOutcome.ANSWERED, Reply.Ran(ownAnswer), 2).doubled shouldBe 0
    }

    @Test
    fun `a request that ran although its caller was told that it did not is falsely not run`() {
        counts(CallKind.IDEMPOTENT, CallOutcome.NOT_RUN, Reply.NotRun(""), 1).falselyNotRun shouldBe 1
        counts(CallKind.IDEMPOTENT, CallOutcome.NOT_RUN, Reply.NotRun(""), 0).holds shouldBe true
        counts(CallKind.IDEMPOTENT, CallOutcome.LOST, Reply.Broken(""), 0).holds shouldBe false
    }

    @Test
    fun `an accepted job that does not end is lost, and one that must not be repeated but runs twice is doubled`() {
        jobCounts(job(JobState.FINISHED), 1).holds shouldBe true
        jobCounts(job(JobState.RUNNING), 1).lost shouldBe 1
        jobCounts(job(JobState.MAY_HAVE_RUN), 1).mayHaveRun shouldBe 1
        jobCounts(job(JobState.FINISHED), 2).doubled shouldBe 1
        jobCounts(job(JobState.FINISHED, idempotent = true), 2).holds shouldBe true
        jobCounts(job(JobState.FINISHED, output = "done j2"), 1).crossed shouldBe 1
    }
}
