// Checks the job state machine over all job records that short sequences of events can produce.

package org.gypsumturn.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobRecord
import org.gypsumturn.model.JobState
import org.gypsumturn.model.isFinal

class JobLifecycleTest : AnnotationSpec() {
    private val events =
        listOf(
            JobEvent.Assigned(InstanceId("worker-1"), Epoch(1)),
            JobEvent.Started,
            JobEvent.NotStarted,
            JobEvent.Checkpointed("at 5"),
            JobEvent.Finished("done"),
            JobEvent.Failed("exit 1"),
            JobEvent.Stopped,
            JobEvent.Lapsed,
            JobEvent.CancelRequested,
            JobEvent.Quarantined("never runs"),
        )

    /** All records that at most [depth] events can produce from [start]. */
    private fun reachable(start: JobRecord, depth: Int): Set<JobRecord> {
        var frontier = setOf(start)
        val seen = mutableSetOf(start)
        repeat(depth) {
            frontier = frontier.flatMap { record -> events.mapNotNull { next(record, it) } }.toSet() - seen
            seen += frontier
        }
        return seen
    }

    private fun next(record: JobRecord, event: JobEvent) = (record.after(event, 1) as? Transition.Changed)?.record

    @Test
    fun `no event changes a final state`() {
        val records = reachable(JobRecord(jobSpec("a")), 4)
        val ended = records.filter { it.state.isFinal }
        ended.map { it.state }.toSet() shouldBe JobState.entries.filter { it.isFinal }.toSet() - JobState.MAY_HAVE_RUN
        ended.forEach { record -> events.forEach { next(record, it) shouldBe null } }
    }

    private fun afterLoss(record: JobRecord, worker: Int): JobRecord {
        val assigned = next(record, JobEvent.Assigned(InstanceId("worker-$worker"), Epoch(1)))!!
        return next(assigned, JobEvent.Lapsed)!!
    }

    // Guards against: a job that takes its workers down with it is assigned to worker after worker without end.
    @Test
    fun `a job is given up once its attempts were lost on five workers in a row`() {
        val lost = (1..4).fold(JobRecord(jobSpec("a")), ::afterLoss)
        lost.state shouldBe JobState.ACCEPTED
        afterLoss(lost, 4).state shouldBe JobState.ACCEPTED
        afterLoss(lost, 5).state shouldBe JobState.QUARANTINED
    }

    @Test
    fun `a report of the job from any worker clears the lost attempts before it`() {
        listOf(JobEvent.Checkpointed("at 5"), JobEvent.Failed("exit 1"), JobEvent.Stopped).forEach { event ->
            val lost = (1..4).fold(JobRecord(jobSpec("a")), ::afterLoss)
            val reported = next(next(lost, JobEvent.Assigned(InstanceId("worker-5"), Epoch(1)))!!, event)!!
            afterLoss(reported, 6).state.isWaiting shouldBe true
        }
    }

    @Test
    fun `a job that is not idempotent waits again only if it did not start or was checkpointed`() {
        val waitsAgain = setOf(JobEvent.NotStarted::class, JobEvent.Checkpointed::class)
        reachable(JobRecord(jobSpec("a", idempotent = false)), 5)
            .filter { it.state.hasActiveAttempt }
            .forEach { record ->
                events.filter { next(record, it)?.state?.isWaiting == true }
                    .forEach { (it::class in waitsAgain) shouldBe true }
            }
    }

    @Test
    fun `a job whose cancellation was requested never waits again`() {
        reachable(JobRecord(jobSpec("a")), 5)
            .filter { it.cancelRequested && !it.state.isFinal }
            .forEach { record ->
                events.forEach { next(record, it)?.state?.isWaiting shouldBe falseIfChanged(record, it) }
            }
    }

    private fun falseIfChanged(record: JobRecord, event: JobEvent) = if (next(record, event) == null) null else false
}
