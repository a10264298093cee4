package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import org.gypsumturn.batch.StartFault
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.step
import kotlin.random.Random

/** What the scheduler takes as evidence that a run whose end was not reported can't go on. */
class RunEndEvidenceTest : AnnotationSpec() {
    // Guards against: runs on the next incarnation of an executor are ended together with those of the earlier one.
    @Test
    fun `a run that the next incarnation has begun is not started elsewhere when the restart is noticed`() {
        (1L..300L).forEach { seed ->
            val random = Random(seed)
            val fleet = VirtualFleet(2)
            fleet.run(100)
            fleet.submit(job(1, step(count = 4))) { 3_000 }
            fleet.run(random.nextLong(50, 500))
            fleet.executors.values.forEach { it.pollAnswerMillis = random.nextLong(1, 60) }
            fleet.restart(fleet.executors.values.first())
            repeat(10) { number ->
                fleet.run(random.nextLong(1, 20))
                fleet.submit(job(10 + number, step())) { 1_000 }
            }
            fleet.run(15_000)
            fleet.breaches.shouldBeEmpty()
            fleet.scheduler.activeJobs.shouldBeEmpty()
        }
    }

    // Guards against: an executor that has restarted drops ends that nobody has seen, since polls still acknowledge the
    // numbers of its earlier incarnation.
    @Test
    fun `a task that ends on the next incarnation while the answers to polls are lost is not started again`() {
        val breaches = (1L..300L).flatMap { seed ->
            val random = Random(seed)
            val fleet = VirtualFleet(2)
            fleet.run(100)
            fleet.submit(job(1, step(count = 8))) { 200 }
            fleet.run(1_000)
            val executor = fleet.executors.values.first()
            executor.pollAnswerMillis = random.nextLong(1, 60)
            fleet.restart(executor)
            executor.answersArrive = false
            repeat(4) { number ->
                val taskMillis = random.nextLong(20, 300)
                fleet.submit(job(10 + number, step())) { taskMillis }
                fleet.run(random.nextLong(1, 20))
            }
            fleet.run(random.nextLong(200, 1_500))
            executor.answersArrive = true
            fleet.run(15_000)
            fleet.breaches.map { "seed $seed: $it" }
        }
        breaches.shouldBeEmpty()
    }

    // Guards against: leases of an earlier term count as lapsed before this term has given any.
    @Test
    fun `a run adopted from an earlier term is not started elsewhere while a lease of that term may hold`() {
        val fleet = VirtualFleet(2)
        fleet.run(100)
        fleet.submit(job(1, step(count = 4, estimateMillis = 20_000))) { 20_000 }
        fleet.run(1_000)
        fleet.takeOver(2)
        fleet.validUntilMillis = fleet.nowMillis - 4_000
        fleet.run(100)
        fleet.executors.values.first().unreachableFrom += fleet.scheduler
        fleet.run(1_500)
        fleet.validUntilMillis = Long.MAX_VALUE / 2
        fleet.run(20_000)
        fleet.breaches.shouldBeEmpty()
    }

    // Guards against: a run whose first start may still be carried out is removed, since a repeated one was confirmed.
    @Test
    fun `a confirmed run whose earlier start may be carried out late stays until its stop is confirmed`() {
        val breaches = (0L..399L step 5).flatMap { offsetMillis ->
            val fleet = VirtualFleet(2)
            fleet.run(100)
            fleet.executors.values.forEach { it.startFaults += StartFault.APPLIED_LATE }
            fleet.submit(job(1, step())) { 10_000 }
            fleet.run(30)
            val executor = fleet.scheduler.jobs.single().runs().single().executor
            fleet.executors.values.forEach { if (it.id != executor.record.id) it.startFaults.clear() }
            fleet.run(625, everyMillis = 1)
            fleet.run(1 + offsetMillis, everyMillis = 1)
            fleet.executors.values.forEach { it.pollAnswerMillis = 50 }
            fleet.restart(fleet.executors.getValue(executor.record.id))
            fleet.run(3_000, everyMillis = 1)
            fleet.breaches.map { "restart ${656 + offsetMillis} ms after the submission: $it" }
        }
        breaches.shouldBeEmpty()
    }

    // Guards against: a stop that an earlier incarnation confirmed counts for a run that the present one has begun.
    @Test
    fun `a stopped run that the next incarnation has begun late is stopped there`() {
        val left = (1L..300L).filter { seed ->
            val random = Random(seed)
            val fleet = VirtualFleet(1)
            fleet.run(100)
            val executor = fleet.executors.values.single()
            executor.startFaults += StartFault.APPLIED_LATE
            executor.pollAnswerMillis = 600
            val job = job(1, step())
            fleet.submit(job) { 60_000 }
            fleet.run(random.nextLong(400, 700))
            fleet.scheduler.cancelJob(fleet.nowMillis, job.id)
            fleet.run(random.nextLong(5, 400))
            fleet.restart(executor)
            // An executor without known runs is polled every four seconds.
            fleet.run(12_000)
            executor.runs.isNotEmpty()
        }
        left.shouldBeEmpty()
    }

    // Guards against: the run that shows a restart is taken for its cause.
    @Test
    fun `a task that the next incarnation has begun is not suspected of having crashed the earlier one`() {
        val suspected = (1L..300L).mapNotNull { seed ->
            val random = Random(seed)
            val fleet = VirtualFleet(1)
            fleet.run(100)
            val executor = fleet.executors.values.single()
            executor.pollAnswerMillis = random.nextLong(1, 60)
            fleet.submit(job(1, step())) { 600 }
            fleet.run(random.nextLong(50, 500))
            fleet.restart(executor)
            fleet.run(random.nextLong(1, 100), everyMillis = 1)
            fleet.submit(job(2, step())) { 5_000 }
            fleet.run(300, everyMillis = 1)
            val steps = fleet.scheduler.job(job(2, step()).id)!!.occurrences.values.single().steps
            val task = steps.single().tasks.single()
            val wasLost = fleet.starts.any { it.task == task.name && it !in executor.runs }
            "seed $seed: ${task.crashes.atStart} ${task.crashes.unresolved}"
                .takeIf { task.crashes.suspicion > 0 && !wasLost }
        }
        suspected.shouldBeEmpty()
    }

    // Guards against: a crash that the task can't have caused, since it was begun after it, ends its job.
    @Test
    fun `a job is not given up for a restart that its task has not met`() {
        val failed = (0L..399L step 2).mapNotNull { offsetMillis ->
            val fleet = VirtualFleet(1)
            fleet.run(100)
            val executor = fleet.executors.values.single()
            executor.pollAnswerMillis = 40
            val job = job(1, step())
            fleet.submit(job) { 5_000 }
            fleet.run(200, everyMillis = 1)
            var met = if (executor.runs.isEmpty()) 0 else 1
            fleet.restart(executor)
            fleet.run(1 + offsetMillis, everyMillis = 1)
            if (executor.runs.isNotEmpty()) met++
            fleet.restart(executor)
            fleet.run(20_000)
            val phase = fleet.scheduler.job(job.id)!!.phase
            "second restart after ${1 + offsetMillis} ms, $met met: $phase"
                .takeIf { met < 2 && phase != JobPhase.COMPLETED }
        }
        failed.shouldBeEmpty()
    }
}
