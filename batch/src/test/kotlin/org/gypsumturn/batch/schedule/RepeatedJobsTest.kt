// Occurrences of repeated jobs: each that is due runs once, whichever of them an earlier holder had begun.

package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.HOST
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.model.TaskName
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.findOrAddTask
import org.gypsumturn.batch.state.progressRecordOf
import org.gypsumturn.batch.step
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Revision
import kotlin.random.Random

class RepeatedJobsTest : AnnotationSpec() {
    private fun repeated(
        repeats: Int,
        intervalMillis: Long,
        startAtMillis: Long,
        vararg steps: Step,
        number: Int = 1,
    ) = BatchJob(
        JobId("%016x".format(number)),
        HOST,
        "/quick/",
        "spec",
        steps.toList(),
        repeats,
        intervalMillis,
        startAtMillis,
    )

    private fun JobRegistry.takeUp(job: BatchJob, progress: ProgressRecord?): JobState =
        add(0, job, Revision.ABSENT, neverStarted = false).also { begin(0, it, progress) }

    /** Plays a repeated job under several holders in turn. The store is away for some time before some takeovers. */
    private fun simulate(seed: Long): VirtualFleet {
        val random = Random(seed)
        val fleet = VirtualFleet(random.nextInt(1, 4), ResourceAmounts(random.nextLong(1, 5) * 1_000, 32_000, 0))
        fleet.run(100)
        val steps = List(random.nextInt(1, 3)) { step(count = random.nextInt(1, 4), after = List(it) { 0 }) }
        val startAtMillis = fleet.nowMillis + random.nextLong(-1_000, 1_000)
        val job = repeated(random.nextInt(1, 12), random.nextLong(0, 800), startAtMillis, *steps.toTypedArray())
        val leastMillis = random.nextLong(50, 1_500)
        fleet.submit(job) { leastMillis + it.occurrence % 3 * 100 }
        repeat(random.nextInt(1, 4)) { takeover ->
            runInTime(fleet, job, random.nextLong(20, 4_000))
            if (random.nextBoolean()) {
                fleet.validUntilMillis = fleet.nowMillis
                runInTime(fleet, job, random.nextLong(5, 1_500))
                fleet.validUntilMillis = Long.MAX_VALUE / 2
            }
            fleet.takeOver(takeover + 2L)
        }
        runInTime(fleet, job, 90_000)
        return fleet
    }

    private fun runInTime(fleet: VirtualFleet, job: BatchJob, forMillis: Long) {
        var checked = fleet.starts.size
        val endMillis = fleet.nowMillis + forMillis
        while (fleet.nowMillis < endMillis && job.id !in fleet.completedMillis) {
            fleet.run(minOf(endMillis - fleet.nowMillis, 500)) {
                fleet.starts.drop(checked).forEach { run ->
                    val dueMillis = job.startAtMillis + run.task.occurrence * job.intervalMillis
                    dueMillis shouldBeLessThanOrEqual fleet.nowMillis
                }
                checked = fleet.starts.size
            }
        }
    }

    // Guards against: a new holder goes on after the highest occurrence that it knows, so that lower ones never run.
    @Test
    fun `each occurrence runs once and the job completes, whenever holders change`() {
        (1L..300L).forEach { seed ->
            val fleet = simulate(seed)
            fleet.breaches.shouldBeEmpty()
            val job = fleet.scheduler.jobs.single().job
            val names = (0 until job.occurrences).flatMap { occurrence ->
                job.steps.flatMapIndexed { index, step -> List(step.count) { TaskName(job.id, occurrence, index, it) } }
            }
            // A run that lags is stopped, and its task is started once more.
            val stopped = fleet.log.filter { it.startsWith("task stopped") && "(reason, lags)" in it }
            val expected = names.flatMap { name ->
                List(1 + stopped.count { "(task, $name)" in it }) { name }
            }
            fleet.starts.map { it.task }.sortedBy { it.toString() } shouldBe expected.sortedBy { it.toString() }
            fleet.completedMillis.keys shouldBe setOf(job.id)
        }
    }

    // Guards against: open occurrences are guessed from those that are known, of which any may be missing.
    @Test
    fun `from any stored progress and any reports, all open occurrences that are due are added`() {
        (1L..300L).forEach { seed ->
            val random = Random(seed)
            val job = repeated(random.nextInt(1, 40), 100, 1_000, step(count = 2))
            val registry = JobRegistry(Epoch(2)) { }
            val numbers = (0 until job.occurrences).toList()
            val completed = numbers.filter { random.nextInt(3) == 0 }.drop(1)
            val begun = numbers.filter { random.nextInt(4) == 0 } - completed.toSet()
            val state = registry.takeUp(
                job,
                ProgressRecord(done = begun.associate { "$it.0" to listOf(1) }, completed = completed),
            )
            val dueCount = random.nextInt(1, job.occurrences + 1)
            val wallMillis = 1_000 + (dueCount - 1) * 100L
            val reports = ArrayDeque(numbers.take(dueCount).shuffled(random).take(random.nextInt(5)))
            val reported = HashSet<Int>()
            repeat(job.occurrences) {
                if (reports.isNotEmpty() && random.nextInt(5) == 0) {
                    val number = reports.removeFirst().also(reported::add)
                    if (number !in state.occurrences) state.findOrAddTask(TaskName(job.id, number, 0, 0), 5_000)
                }
                registry.addDueOccurrences(5_000, wallMillis)
            }
            val open = (numbers.take(dueCount) + begun).toSet() - completed.toSet()
            state.occurrences.keys.sorted() shouldBe open.sorted()
            (open - begun.toSet() - reported).forEach { number ->
                state.occurrences.getValue(number).dueMillis shouldBe 5_000 - (dueCount - 1 - number) * 100L
            }
        }
    }

    // Guards against: a job with many occurrences holds a pass up, or takes more memory than there is.
    @Test
    fun `the open occurrences of the longest job are added in their order as memory allows`() {
        listOf(1, 100, 400).forEach { count ->
            val random = Random(1)
            val job = repeated(98_304, 1, 0, step(count = count))
            val earlier = JobState(job, 0, 1)
            earlier.completedOccurrences += (0 until 90_000) + (90_000 until 98_304).filter { random.nextInt(3) == 0 }
            val registry = JobRegistry(Epoch(2)) { }
            val bytes = progressRecordOf(earlier).encode()
            bytes.size shouldBeLessThanOrEqual ROW_BYTES
            val state = registry.takeUp(job, ProgressRecord.decode(bytes))
            var last = 0
            repeat(4_000) {
                registry.addDueOccurrences(200_000, 200_000)
                state.occurrences.size - last shouldBeLessThanOrEqual 1
                last = state.occurrences.size
            }
            val open = (0 until job.occurrences) - earlier.completedOccurrences
            val fitting = (SchedulerSettings.MAX_TASKS_IN_MEMORY / job.tasksPerOccurrence).toInt()
            val storable = (1..fitting).takeWhile { state.progressSize.mayBeUnderWay(it, ROW_BYTES.toLong()) }.last()
            state.occurrences.keys.toList() shouldBe
                open.take(minOf(fitting, SchedulerSettings.MAX_OCCURRENCES_IN_MEMORY, storable))
            state.occurrences.values.flatMap { it.steps }.flatMap { it.tasks }
                .filter { random.nextBoolean() }.forEach { it.markDone() }
            progressRecordOf(state).encode().size shouldBeLessThanOrEqual ROW_BYTES
        }
    }

    // Guards against: occurrences that wait for those that last until their job is cancelled.
    @Test
    fun `all occurrences of a job whose tasks last are added`() {
        val registry = JobRegistry(Epoch(2)) { }
        val job = repeated(1_500, 1, 0, step().copy(longRunning = true))
        val state = registry.takeUp(job, null)
        repeat(1_500) { registry.addDueOccurrences(200_000, 200_000) }
        state.occurrences.size shouldBe 1_500
    }

    // Guards against: each free place in memory goes to the same job, so that the due times of another never run.
    @Test
    fun `jobs take turns when occurrences wait for memory`() {
        val registry = JobRegistry(Epoch(2)) { }
        val jobs = List(3) { registry.takeUp(repeated(50, 1, 0, step(count = 90_000), number = it), null) }
        repeat(10) { registry.addDueOccurrences(1_000, 1_000) }
        repeat(9) {
            val oldest = jobs.flatMap { job -> job.occurrences.values.map { job to it } }.minBy { it.second.number }
            oldest.first.completedOccurrences += oldest.second.number
            oldest.first.removeOccurrence(oldest.second.number)
            registry.addDueOccurrences(1_000, 1_000)
        }
        jobs.map { it.completedOccurrences.size } shouldBe listOf(3, 3, 3)
    }

    private companion object {
        const val ROW_BYTES = SchedulerSettings.DEFAULT_MAX_PROGRESS_BYTES
    }
}
