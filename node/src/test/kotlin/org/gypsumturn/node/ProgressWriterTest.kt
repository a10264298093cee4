// What happens to the progress of jobs when the store refuses some of it.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.ProgressChange
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

class ProgressWriterTest : AnnotationSpec() {
    /** Refuses each transaction with a row for which [refuses] holds, without an effect. */
    private class RefusingStore(private val memory: MemoryRowStore) : RowStore by memory {
        var refuses: (RowWrite) -> Boolean = { false }

        override fun transact(
            transaction: RowTransaction,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<TransactionOutcome>,
        ) {
            if (transaction.writes.any(refuses)) {
                onVerdict(Verdict.NotRun(Failure(FailureKind.INVALID, "store answered 400: a value of 70000 bytes")))
            } else {
                memory.transact(transaction, timeoutMillis, onVerdict)
            }
        }
    }

    private val memory = MemoryRowStore()
    private val store = RefusingStore(memory)
    private lateinit var scheduler: BatchScheduler
    private lateinit var writer: ProgressWriter
    private val events = ArrayList<String>()

    @BeforeEach
    fun reset() {
        memory.rows.clear()
        store.refuses = { false }
        events.clear()
        scheduler = BatchScheduler(SchedulerSettings(5_000, 6_000, 120), Epoch(1), { event, _ -> events += event })
        val fence = ProgressFence(store, Epoch(1), { it() }) { _, _ -> }
        fence.writeEpoch { }
        writer = ProgressWriter(scheduler, fence, store, 65_536) { it() }
    }

    private fun addJob(number: Int, steps: Int = 1, tasks: Int = 1): BatchJob {
        val id = JobId("%016x".format(number))
        val job = BatchJob(id, "h", "/q/", "", List(steps) { Step(tasks, ResourceAmounts(500)) })
        scheduler.addJob(0, job, null, Revision.ABSENT, true)
        return job
    }

    private fun storedPhase(job: BatchJob): JobPhase? =
        memory.rows[JobRows.progress(job.id)]?.value?.let { ProgressRecord.decode(it).phase }

    /** Lets the writer do all that is due for [millis] milliseconds. */
    private fun write(millis: Long) {
        val startMillis = NodeClock.steadyMillis()
        (0..millis step 10).forEach { writer.writeIfDue(startMillis + it + CLOCK_LEAD_MILLIS) }
    }

    private fun refusesProgressOf(job: BatchJob): (RowWrite) -> Boolean = { write ->
        val value = write.value
        write.address == JobRows.progress(job.id) && value != null && !ProgressRecord.decode(value).phase.ended
    }

    // Guards against: one job whose progress the store refuses stops the progress of all jobs (review/7, LOST).
    @Test
    fun `progress that the store refuses does not hold up that of other jobs, and its job ends as failed`() {
        val refused = addJob(1)
        val others = (2..60).map { addJob(it) }
        store.refuses = refusesProgressOf(refused)
        (listOf(refused) + others).forEach { markChanged(it) }
        write(1_000)
        others.forEach { storedPhase(it) shouldBe JobPhase.QUEUED }
        repeat(20) {
            markChanged(others.first())
            write(1_000)
        }
        storedPhase(refused) shouldBe JobPhase.FAILED
        scheduler.job(refused.id)!!.visiblePhase shouldBe JobPhase.FAILED
        events.count { it == "progress too large" } shouldBe 1
    }

    // Guards against: rows of a refused group wait for as long as other progress is to be stored.
    @Test
    fun `the other rows of a refused group are stored soon although progress of other jobs changes all the time`() {
        val refused = addJob(1)
        val group = (2..20).map { addJob(it) }
        val busy = (21..60).map { addJob(it) }
        store.refuses = refusesProgressOf(refused)
        (listOf(refused) + group).forEach(::markChanged)
        repeat(400) {
            busy.forEach(::markChanged)
            writer.writeIfDue(NodeClock.steadyMillis() + CLOCK_LEAD_MILLIS)
        }
        group.forEach { storedPhase(it) shouldBe JobPhase.QUEUED }
        storedPhase(refused) shouldBe JobPhase.FAILED
    }

    // Guards against: jobs are given up because the store refuses everything for a while.
    @Test
    fun `no job ends as failed while the store refuses all rows`() {
        val jobs = (1..5).map { addJob(it) }
        store.refuses = { true }
        jobs.forEach(::markChanged)
        repeat(20) { write(1_000) }
        scheduler.activeJobs.size shouldBe 5
        store.refuses = { false }
        write(2_000)
        jobs.forEach { storedPhase(it) shouldBe JobPhase.QUEUED }
    }

    // Guards against: a row that is known to be too large is sent again and again.
    @Test
    fun `a job whose progress is larger than a row ends as failed without a write`() {
        val large = addJob(1, steps = 900, tasks = 300)
        val other = addJob(2)
        scheduler.job(large.id)!!.occurrences.getValue(0).steps.flatMap { it.tasks }
            .forEach { it.failedAttempts += 4_000_000_001L }
        listOf(large, other).forEach(::markChanged)
        write(1_000)
        storedPhase(large) shouldBe JobPhase.FAILED
        storedPhase(other) shouldBe JobPhase.QUEUED
    }

    private fun markChanged(job: BatchJob) {
        scheduler.returnChanges(listOf(changeOf(job))) { null }
    }

    private fun changeOf(job: BatchJob): ProgressChange {
        val state = scheduler.job(job.id)!!
        state.latestChangeNumber++
        return ProgressChange(state, state.latestChangeNumber, state.revision, ProgressRecord(state.phase))
    }

    private companion object {
        /** The writer reads its clock at each answer, so that the time that it is given must be ahead of that. */
        const val CLOCK_LEAD_MILLIS = 60_000L
    }
}
