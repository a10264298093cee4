// The progress of a job fits into its row whatever happens to its tasks.

package org.gypsumturn.batch.schedule

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobLimits
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.applyProgress
import org.gypsumturn.batch.state.packAttempts
import org.gypsumturn.batch.state.progressRecordOf
import org.gypsumturn.batch.state.unpackAttempts
import org.gypsumturn.batch.step
import kotlin.random.Random

class ProgressSizeTest : AnnotationSpec() {
    private val rowBytes = 65_536
    private val maxAttempts = 3

    private fun drawnJob(random: Random): BatchJob {
        val stepCount = random.nextInt(1, if (random.nextInt(4) == 0) 1_000 else 20)
        val tasks = 1 shl random.nextInt(17)
        val steps = List(stepCount) { Step(count = random.nextInt(1, maxOf(2, 2 * tasks / stepCount))) }
        val repeats = if (random.nextInt(3) == 0) random.nextInt(1, 100_000) else 0
        return job(1, *steps.toTypedArray()).copy(repeats = repeats, intervalMillis = 1, startAtMillis = 1)
    }

    /** As many occurrences and attempts of [job] as the scheduler allows, at random tasks. */
    private fun filledState(random: Random, job: BatchJob): JobState {
        val state = JobState(job, 0, 1)
        val inMemory = minOf(job.occurrences, SchedulerSettings.MAX_OCCURRENCES_IN_MEMORY)
        val memoryBound = maxOf(1, minOf(inMemory, (MAX_TASKS / job.tasksPerOccurrence).toInt()))
        val number =
            (2..memoryBound).takeWhile { state.progressSize.mayBeUnderWay(it, rowBytes.toLong()) }.lastOrNull() ?: 1
        repeat(number) { state.addOccurrence(it, 0) }
        // Other occurrences may be complete already.
        repeat(job.occurrences - number) { if (random.nextBoolean()) state.completedOccurrences += number + it }
        val tasks = state.occurrences.values.flatMap { it.steps }.flatMap { it.tasks }.shuffled(random)
        val done = random.nextInt(tasks.size)
        tasks.take(done).forEach { it.markDone() }
        var room = state.progressSize.roomForRuns(state, maxAttempts, rowBytes.toLong())
        // The attempts of later epochs have high numbers.
        val firstAttempt = random.nextLong(1, 4_000_000_000)
        for (task in tasks.drop(done)) {
            val count = random.nextInt(1, maxAttempts + 5).toLong()
            if (count > room) break
            room -= count
            val attempts = (0 until count).map { firstAttempt + random.nextLong(2_000_000_000) }
            when (random.nextInt(4)) {
                0 -> task.failedAttempts += attempts
                1 -> task.crashes.atStart += attempts
                2 -> task.crashes.cleared += attempts
                else -> task.crashes.unresolved += attempts
            }
        }
        return state
    }

    // Guards against: a job is accepted whose progress can outgrow its row (review/7, LOST).
    @Test
    fun `the largest progress that an accepted job can reach fits into a row and is read back`() {
        val limits = JobLimits(rowBytes)
        var accepted = 0
        (1..150).forEach { seed ->
            val random = Random(seed)
            val job = drawnJob(random)
            if (limits.exceededBy(job, 1_000, maxAttempts) != null) return@forEach
            accepted++
            val state = filledState(random, job)
            val record = progressRecordOf(state)
            withClue("seed $seed") {
                val bytes = record.encode()
                bytes.size.toLong() shouldBeLessThanOrEqual rowBytes.toLong()
                val read = JobState(job, 0, 1)
                applyProgress(read, ProgressRecord.decode(bytes), 0)
                progressRecordOf(read) shouldBe record
            }
        }
        accepted shouldBeGreaterThan 75
    }

    // Guards against: done tasks of many steps of middling size take more room than a set of bits (review/7).
    @Test
    fun `a job of ten steps of two thousand tasks takes few bytes however many are done`() {
        val state = JobState(job(1, *Array(10) { step(count = 2_000) }), 0, 1)
        val tasks = state.addOccurrence(0, 0).steps.flatMap { it.tasks }
        listOf(1, 100, 10_000, 19_999).forEach { done ->
            tasks.take(done).forEach { it.markDone() }
            progressRecordOf(state).encode().size.toLong() shouldBeLessThanOrEqual 4_000
        }
    }

    // Guards against: a few done tasks are stored in a form that earlier versions do not read.
    @Test
    fun `few done tasks and few attempts are stored as plain lists`() {
        val state = JobState(job(1, step(count = 5_000)), 0, 1)
        val tasks = state.addOccurrence(0, 0).steps.single().tasks
        tasks[4_999].markDone()
        tasks[7].failedAttempts += 1_001L
        val record = progressRecordOf(state)
        record.done shouldBe mapOf("0.0" to listOf(4_999))
        record.failed shouldBe mapOf("0.0.7" to listOf(1_001L))
        record.packed shouldBe emptyMap()
    }

    @Test
    fun `attempts are packed and unpacked`() {
        val random = Random(1)
        repeat(200) {
            val attempts = (0 until random.nextInt(1, 300)).associate { index ->
                index * 7 to List(random.nextInt(1, 6)) { random.nextLong(1, Long.MAX_VALUE / 2) }.distinct().sorted()
            }
            unpackAttempts(packAttempts(attempts)) shouldBe attempts
        }
    }

    // Guards against: executors that fail all runs make the progress of a large job outgrow its row.
    @Test
    fun `a job whose tasks all fail once stays within a small row and completes`() {
        val settings = SchedulerSettings(5_000, 6_000, 120, maxProgressBytes = SMALL_ROW_BYTES)
        val fleet = VirtualFleet(4, settings = settings)
        fleet.run(100)
        val job = job(1, step(count = 400, cpuMillis = 100), step(count = 300, cpuMillis = 100, after = listOf(0)))
        JobLimits(SMALL_ROW_BYTES).exceededBy(job, 100, maxAttempts = 2) shouldBe null
        fleet.executors.values.forEach { it.failsAllRuns = true }
        fleet.submit(job) { 100 }
        var largestBytes = 0
        fleet.run(60_000) {
            val state = fleet.scheduler.job(job.id)!!
            largestBytes = maxOf(largestBytes, progressRecordOf(state).encode().size)
            // The executors fail everything until the first task has failed.
            val tasks = state.occurrences.values.flatMap { it.steps }.flatMap { it.tasks }
            if (tasks.any { it.failedAttempts.isNotEmpty() }) fleet.executors.values.forEach { it.failsAllRuns = false }
        }
        largestBytes.toLong() shouldBeLessThanOrEqual SMALL_ROW_BYTES.toLong()
        fleet.breaches.shouldBeEmpty()
        (job.id in fleet.completedMillis) shouldBe true
    }

    private companion object {
        const val SMALL_ROW_BYTES = 2_048
        const val MAX_TASKS = SchedulerSettings.MAX_TASKS_IN_MEMORY
    }
}
