// Tests that each accepted job is recorded exactly once despite repeats and table faults, and that cancellation and
// listing cover waiting and ended jobs.

package org.gypsumturn.jobs

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobState
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.failureOrNull
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.PortFault

class JobAcceptanceTest : AnnotationSpec() {
    private class Fixture {
        val faults = ArrayDeque<PortFault>()
        val table = FakeTableStore { isCommit ->
            if (isCommit) faults.removeFirstOrNull() ?: PortFault.NONE else PortFault.NONE
        }
        val acceptance = JobAcceptance(table)
    }

    @Test
    fun `a repeated job is recognised and the same id with other content is a conflict`(): Unit = with(Fixture()) {
        acceptance.accept(1, spec("a"), TIMEOUT_MILLIS) shouldBe Verdict.Ran(AcceptedJob(JobId("a"), false))
        acceptance.accept(2, spec("a"), TIMEOUT_MILLIS) shouldBe Verdict.Ran(AcceptedJob(JobId("a"), true))
        val other = acceptance.accept(3, spec("a", payload = "other"), TIMEOUT_MILLIS)
        other.shouldBeInstanceOf<Verdict.NotRun>().failure.kind shouldBe FailureKind.CONFLICT
        Unit
    }

    @Test
    fun `after a lost answer the row is read back, whether or not the write took effect`(): Unit = with(Fixture()) {
        faults += listOf(PortFault.LOSE_ANSWER)
        acceptance.accept(1, spec("kept"), TIMEOUT_MILLIS).valueOrNull() shouldBe AcceptedJob(JobId("kept"), false)
        faults += listOf(PortFault.LOSE_REQUEST)
        acceptance.accept(1, spec("gone"), TIMEOUT_MILLIS).valueOrNull() shouldBe AcceptedJob(JobId("gone"), false)
        acceptance.get(POOL, JobId("gone"), TIMEOUT_MILLIS).valueOrNull()?.state shouldBe JobState.ACCEPTED
        Unit
    }

    @Test
    fun `accepting a job while the table is down is reported as not run`(): Unit = with(Fixture()) {
        faults += listOf(PortFault.REFUSE)
        val verdict = acceptance.accept(1, spec("a"), TIMEOUT_MILLIS)
        verdict.shouldBeInstanceOf<Verdict.NotRun>()
        acceptance.get(POOL, JobId("a"), TIMEOUT_MILLIS) shouldBe Verdict.Ran(null)
        Unit
    }

    @Test
    fun `accepting a job may have run if its answer is lost and the table then fails`(): Unit = with(Fixture()) {
        faults += listOf(PortFault.LOSE_REQUEST, PortFault.REFUSE)
        acceptance.accept(1, spec("a"), TIMEOUT_MILLIS).shouldBeInstanceOf<Verdict.MayHaveRun>()
        Unit
    }

    @Test
    fun `a group with repeats, conflicts and malformed ids gives each job its own verdict`(): Unit = with(Fixture()) {
        acceptance.accept(1, spec("known"), TIMEOUT_MILLIS)
        val group = listOf(spec("known"), spec("new"), spec("new"), spec("a/b"), spec("known", payload = "other"))
        val verdicts = acceptance.acceptAll(2, group, TIMEOUT_MILLIS)
        verdicts.map { it.valueOrNull()?.repeated } shouldBe listOf(true, false, true, null, null)
        verdicts.map { it.failureOrNull()?.kind } shouldBe
            listOf(null, null, null, FailureKind.INVALID, FailureKind.CONFLICT)
        Unit
    }

    @Test
    fun `many jobs are accepted with one commit for each group of 100`(): Unit = with(Fixture()) {
        val before = table.usage().commits
        acceptance.acceptAll(1, (1..250).map { spec("job-$it") }, TIMEOUT_MILLIS)
        table.usage().commits - before shouldBe 3
        Unit
    }

    @Test
    fun `the waiting jobs of a team are cancelled and listed as ended`(): Unit = with(Fixture()) {
        acceptance.acceptAll(
            1,
            (1..30).map {
                spec(
                    "job-$it",
                    team = if (it <=
                        10
                    ) {
                        "plans"
                    } else {
                        "kits"
                    },
                )
            },
            TIMEOUT_MILLIS,
        )
        val answer = acceptance.cancel(2, CancelSelection.OfTeam(POOL, TeamId("plans")), TIMEOUT_MILLIS)
        answer.valueOrNull() shouldBe CancelledJobs(10, 0, 0, emptyList())
        val again = acceptance.cancel(3, CancelSelection.Ids(POOL, listOf(JobId("job-1"), JobId("no"))), TIMEOUT_MILLIS)
        again.valueOrNull() shouldBe CancelledJobs(0, 0, 1, listOf(JobId("no")))
        acceptance.list(POOL, JobState.CANCELLED, null, 100, TIMEOUT_MILLIS).valueOrNull()!!.jobs.size shouldBe 10
        val pages = mutableListOf<JobId>()
        do {
            val page = acceptance.list(POOL, null, pages.lastOrNull(), 7, TIMEOUT_MILLIS).valueOrNull()!!
            pages += page.jobs.map { it.spec.id }
        } while (page.hasMore)
        pages shouldBe (1..30).map { JobId("job-$it") }.sorted()
        Unit
    }
}
