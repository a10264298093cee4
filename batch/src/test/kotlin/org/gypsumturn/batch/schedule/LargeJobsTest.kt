// Jobs with so many tasks that the holder can't keep all of them in memory.

package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.HOST
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobLimits
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.applyProgress
import org.gypsumturn.batch.state.progressRecordOf
import org.gypsumturn.batch.step
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Revision
import kotlin.random.Random

class LargeJobsTest : AnnotationSpec() {
    private val limits = JobLimits(65_536)

    private fun VirtualFleet.tasksInMemory(): Long = scheduler.jobs.sumOf { job ->
        job.occurrences.values.sumOf { it.steps.sumOf { step -> step.tasks.size.toLong() } }
    }

    // Guards against: a job whose tasks take more memory than the holder has is accepted.
    @Test
    fun `jobs beyond a limit are rejected with the reason`() {
        limits.exceededBy(job(1, step(count = 1_000_000)), 100, 3) shouldBe
            "the steps of the job have 1000000 tasks; the limit is 98304"
        limits.exceededBy(job(1, step(count = Int.MAX_VALUE), step(count = Int.MAX_VALUE)), 100, 3) shouldBe
            "the steps of the job have 4294967294 tasks; the limit is 98304"
        limits.exceededBy(job(1, *Array(1_001) { step() }), 100, 3) shouldBe "the job has 1001 steps; the limit is 1000"
        limits.exceededBy(job(1, step()).copy(repeats = Int.MAX_VALUE), 100, 3) shouldBe
            "the job has 2147483647 occurrences; the limit is 98304"
        limits.exceededBy(job(1, step()), 65_537, 3) shouldBe
            "the job takes 65537 bytes in the store; the limit is 65536"
        limits.exceededBy(job(1, step(count = 98_304)), 65_536, 3) shouldBe null
    }

    // Guards against: a job that an older version has stored ends each holder in turn, and no job is run any more.
    @Test
    fun `a stored job that is too large ends as failed and all others complete`() {
        val fleet = VirtualFleet(2)
        fleet.run(100)
        val huge = job(1, step(count = 1_000_000))
        fleet.scheduler.addJob(fleet.nowMillis, huge, null, Revision.ABSENT, false)
        fleet.submit(job(2, step(count = 3)))
        fleet.run(3_000)
        fleet.scheduler.job(huge.id)!!.visiblePhase shouldBe JobPhase.FAILED
        fleet.completedMillis.keys shouldBe setOf(job(2).id)
        fleet.tasksInMemory() shouldBe 0
    }

    // Guards against: jobs that are small enough each take more memory together than the holder has.
    @Test
    fun `jobs wait while too many tasks are in memory, and small ones do not wait behind them`() {
        val fleet = VirtualFleet(2)
        fleet.run(100)
        repeat(5) { fleet.submit(job(it, step(count = 90_000))) }
        fleet.submit(job(9, step(count = 2)))
        fleet.run(100)
        fleet.tasksInMemory() shouldBeLessThanOrEqual SchedulerSettings.MAX_TASKS_IN_MEMORY
        fleet.scheduler.job(job(3).id)!!.occurrences.isEmpty() shouldBe true
        fleet.scheduler.cancelJob(fleet.nowMillis, job(0).id)
        fleet.run(100)
        fleet.scheduler.job(job(3).id)!!.occurrences.size shouldBe 1
        fleet.tasksInMemory() shouldBeLessThanOrEqual SchedulerSettings.MAX_TASKS_IN_MEMORY
        fleet.breaches.shouldBeEmpty()
    }

    // Guards against: occurrences that are all due at once take more memory than the holder has.
    @Test
    fun `occurrences of a repeated job that are due are added as memory allows`() {
        val fleet = VirtualFleet(2)
        fleet.run(100)
        val repeated =
            BatchJob(JobId("%016x".format(1)), HOST, "/quick/", "spec", listOf(step(count = 90_000)), 50, 1, 1)
        fleet.submit(repeated)
        fleet.run(200)
        fleet.tasksInMemory() shouldBe 270_000
    }

    // Guards against: progress that does not fit into its row, so that no end of the job can be stored.
    @Test
    fun `the progress of the largest job fits into a row and is read back`() {
        val random = Random(1)
        val large = job(1, step(count = 98_304))
        val state = JobState(large, 0, 1)
        val tasks = state.addOccurrence(0, 0).steps.single().tasks
        tasks.filter { random.nextBoolean() }.forEach {
            it.failedAttempts += 3_001L
            it.markDone()
        }
        val bytes = progressRecordOf(state).encode()
        bytes.size.toLong() shouldBeLessThanOrEqual 65_536
        val read = JobState(large, 0, 1)
        applyProgress(read, ProgressRecord.decode(bytes), 0)
        read.occurrences.getValue(0).steps.single().tasks.map { it.done } shouldBe tasks.map { it.done }
    }
}
