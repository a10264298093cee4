package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.StartFault
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.step
import org.gypsumturn.model.InstanceId

class BatchSchedulerTest : AnnotationSpec() {
    private val first = InstanceId("x0")

    @Test
    fun `runs the steps of a job in their order and completes it`() {
        val fleet = VirtualFleet(2)
        val job = job(1, step(count = 3), step(count = 2, after = listOf(0)), step(after = listOf(1)))
        fleet.submit(job)
        fleet.run(6_000)
        fleet.scheduler.job(job.id)?.visiblePhase shouldBe JobPhase.COMPLETED
        fleet.starts shouldHaveSize 6
        fleet.starts.all { it.attempt == 1L } shouldBe true
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `starts a job within a few milliseconds if capacity is free`() {
        val fleet = VirtualFleet(2)
        fleet.run(100)
        val begunMillis = fleet.nowMillis
        fleet.submit(job(1, step()))
        fleet.run(100) { if (fleet.starts.isEmpty()) (fleet.nowMillis - begunMillis) shouldBeLessThan 20L }
        fleet.starts shouldHaveSize 1
    }

    @Test
    fun `never sends an executor more runs than its capacity holds`() {
        val fleet = VirtualFleet(2)
        repeat(20) { fleet.submit(job(it, step(count = 8, cpuMillis = 3_000))) }
        fleet.run(30_000)
        fleet.scheduler.activeJobs.shouldBeEmpty()
        fleet.log.none { "NO_ROOM" in it } shouldBe true
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `a job fails when one of its tasks has failed too often, and its other tasks are stopped`() {
        val fleet = VirtualFleet(2)
        val job = job(1, step(count = 4))
        fleet.submit(job)
        fleet.failingJobs += job.id
        fleet.run(10_000)
        fleet.scheduler.job(job.id)?.visiblePhase shouldBe JobPhase.FAILED
        fleet.executors.values.all { it.runs.isEmpty() } shouldBe true
    }

    @Test
    fun `the runs of a cancelled job are stopped and none of its tasks is started again`() {
        val fleet = VirtualFleet(1)
        val job = job(1, step(count = 30, cpuMillis = 4_000))
        fleet.submit(job)
        fleet.run(500)
        fleet.scheduler.cancelJob(fleet.nowMillis, job.id)
        val started = fleet.starts.size
        fleet.run(5_000)
        fleet.starts shouldHaveSize started
        fleet.executors.values.all { it.runs.isEmpty() } shouldBe true
        fleet.scheduler.job(job.id)?.visiblePhase shouldBe JobPhase.CANCELLED
    }

    @Test
    fun `tasks of a silent executor start elsewhere only after its lease has lapsed`() {
        val fleet = VirtualFleet(2)
        fleet.submit(job(1, step(count = 8, cpuMillis = 4_000))) { 4_000 }
        fleet.run(500)
        val cut = fleet.executors.getValue(first)
        cut.runs.isEmpty() shouldBe false
        cut.reachable = false
        val cutMillis = fleet.nowMillis
        var again = 0L
        fleet.run(20_000) { if (again == 0L && fleet.starts.any { it.attempt > 1 }) again = fleet.nowMillis }
        fleet.breaches.shouldBeEmpty()
        (again - cutMillis) shouldBeGreaterThanOrEqual 4_000L
        fleet.scheduler.activeJobs.shouldBeEmpty()
    }

    @Test
    fun `tasks of an executor that has restarted start elsewhere at once`() {
        val fleet = VirtualFleet(2)
        fleet.submit(job(1, step(count = 8, cpuMillis = 4_000))) { 4_000 }
        fleet.run(500)
        val crashed = fleet.executors.getValue(first)
        crashed.runs.clear()
        crashed.incarnationStartMillis++
        crashed.endNumber = 0
        crashed.ends.clear()
        fleet.run(1_000)
        fleet.starts.count { it.attempt > 1 } shouldBe 4
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `a start without an answer is repeated and the task runs once`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        fleet.executors.getValue(first).answersArrive = false
        fleet.submit(job(1, step()))
        fleet.run(400)
        fleet.executors.getValue(first).answersArrive = true
        fleet.run(8_000)
        fleet.starts shouldHaveSize 1
        fleet.scheduler.activeJobs.shouldBeEmpty()
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `a task that has ended is not started again when its repeated start is refused as superseded`() {
        val fleet = VirtualFleet(1)
        val only = fleet.executors.values.single()
        fleet.run(100)
        only.pollAnswerMillis = 900
        only.startFaults += StartFault.ANSWER_LOST
        fleet.run(4_000)
        val job = job(1, step())
        fleet.submit(job) { 100 }
        fleet.run(200)
        fleet.add("other", only.capacity)
        fleet.run(5_000)
        fleet.breaches.shouldBeEmpty()
        fleet.starts.size shouldBe 1
        (job.id in fleet.completedMillis) shouldBe true
    }

    @Test
    fun `a task whose start may be carried out late is not started elsewhere until that start is ruled out`() {
        val fleet = VirtualFleet(1)
        val only = fleet.executors.values.single()
        only.startFaults += listOf(StartFault.APPLIED_LATE, StartFault.NO_ROOM)
        fleet.run(100)
        val job = job(1, step())
        fleet.submit(job) { 3_000 }
        fleet.run(200)
        fleet.add("other", only.capacity)
        fleet.run(6_000)
        fleet.breaches.shouldBeEmpty()
        (job.id in fleet.completedMillis) shouldBe true
    }

    @Test
    fun `a start whose repeat does not reach the executor is sent again`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        fleet.executors.values.single().startFaults += listOf(StartFault.NEVER_APPLIED, StartFault.UNREACHABLE)
        val job = job(1, step())
        fleet.submit(job)
        fleet.run(5_000)
        (job.id in fleet.completedMillis) shouldBe true
    }

    @Test
    fun `a start that is never answered is ruled out and the task runs elsewhere`() {
        val fleet = VirtualFleet(1)
        val only = fleet.executors.values.single()
        fleet.run(100)
        repeat(20) { only.startFaults += StartFault.NEVER_APPLIED }
        val job = job(1, step())
        fleet.submit(job)
        fleet.run(200)
        fleet.add("other", only.capacity)
        fleet.run(8_000)
        (job.id in fleet.completedMillis) shouldBe true
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `runs on an executor whose reports arrive late do not count as slow`() {
        val fleet = VirtualFleet(3)
        fleet.run(100)
        fleet.executors.values.first().pollAnswerMillis = 2_500
        val job = job(1, step(count = 48))
        fleet.submit(job) { 1_000 }
        fleet.run(10_000)
        fleet.log.none { it.startsWith("run lags") } shouldBe true
        (job.id in fleet.completedMillis) shouldBe true
    }

    @Test
    fun `long tasks of a step with tasks of different lengths are not moved`() {
        val fleet = VirtualFleet(4)
        fleet.run(100)
        repeat(6) { number ->
            fleet.submit(job(number, step(count = 8, estimateMillis = 800))) { if (it.index % 4 == 1) 3_000 else 500 }
        }
        fleet.run(8_000)
        fleet.completedMillis.size shouldBe 6
        fleet.starts.size shouldBe 48
    }

    @Test
    fun `tasks are moved away from an executor that is several times slower than the others`() {
        val fleet = VirtualFleet(4)
        fleet.run(100)
        fleet.executors.values.first().slowness = 6.0
        repeat(6) { number -> fleet.submit(job(number, step(count = 8, estimateMillis = 800))) { 900 } }
        fleet.run(4_500)
        fleet.completedMillis.size shouldBe 6
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `a new holder adopts running tasks and starts none of them twice`() {
        val fleet = VirtualFleet(3)
        repeat(10) { fleet.submit(job(it, step(count = 4, cpuMillis = 2_000), step(after = listOf(0)))) }
        fleet.run(700)
        fleet.takeOver(2)
        fleet.run(20_000)
        fleet.scheduler.activeJobs.shouldBeEmpty()
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `a new holder does not restart tasks of an unreachable executor until their leases have lapsed`() {
        val fleet = VirtualFleet(3)
        repeat(6) { fleet.submit(job(it, step(count = 4, cpuMillis = 2_000))) { 6_000 } }
        fleet.run(700)
        fleet.executors.getValue(first).reachable = false
        fleet.takeOver(2)
        fleet.run(30_000)
        fleet.scheduler.activeJobs.shouldBeEmpty()
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `a holder whose lease has lapsed continues known jobs but extends no run lease beyond the time allowed`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        val job = job(1, step(), step(after = listOf(0)))
        fleet.submit(job) { 800 }
        fleet.run(400)
        fleet.validUntilMillis = fleet.nowMillis
        fleet.run(2_500)
        fleet.starts.size shouldBe 2
        (fleet.executors.values.single().leaseEndMillis <= fleet.validUntilMillis + 5_000) shouldBe true
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `a holder whose lease has lapsed uses no jobs and no executors that it learned of later`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        val wide = job(1, step(count = 20))
        fleet.submit(wide) { 3_000 }
        fleet.run(200)
        fleet.validUntilMillis = fleet.nowMillis
        fleet.run(20)
        fleet.add("late", fleet.executors.values.single().capacity)
        fleet.submit(job(2, step()))
        fleet.run(2_500)
        fleet.starts.size shouldBe 16
        fleet.starts.all { it.task.job == wide.id } shouldBe true
    }

    @Test
    fun `a holder whose lease lapsed long ago starts nothing and extends no lease`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        fleet.submit(job(1, step()))
        fleet.validUntilMillis = fleet.nowMillis - 4_000
        fleet.run(2_000)
        fleet.starts.shouldBeEmpty()
        fleet.executors.values.single().leaseEndMillis shouldBe 0
        fleet.validUntilMillis = Long.MAX_VALUE / 2
        fleet.run(2_000)
        fleet.scheduler.activeJobs.shouldBeEmpty()
    }

    @Test
    fun `a draining executor gets no new runs`() {
        val fleet = VirtualFleet(2)
        fleet.run(100)
        fleet.scheduler.onExecutorListed(fleet.nowMillis, fleet.executors.getValue(first).record(draining = true))
        repeat(5) { fleet.submit(job(it, step(count = 4, cpuMillis = 2_000))) }
        fleet.run(4_000)
        fleet.executors.getValue(first).endNumber shouldBe 0
    }

    @Test
    fun `long-running tasks are moved away from a draining executor`() {
        val fleet = VirtualFleet(2)
        fleet.submit(job(1, step(count = 3).copy(longRunning = true))) { Long.MAX_VALUE / 1_000 }
        fleet.run(1_000)
        val busy = fleet.executors.values.first { it.runs.isNotEmpty() }
        fleet.scheduler.onExecutorListed(fleet.nowMillis, busy.record(draining = true))
        fleet.run(1_500)
        busy.runs.isEmpty() shouldBe true
        fleet.executors.values.sumOf { it.runs.size } shouldBe 3
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `a copy that finds no other executor does not hold back other jobs`() {
        val fleet = VirtualFleet(1)
        val stuck = job(1, step(count = 3, estimateMillis = 20_000).copy(speculative = true))
        fleet.submit(stuck) { if (it.index == 0) Long.MAX_VALUE / 1_000 else 500 }
        fleet.run(11_000)
        val other = job(2, step(count = 2))
        fleet.submit(other)
        fleet.run(200)
        fleet.starts.count { it.task.job == other.id } shouldBe 2
    }

    @Test
    fun `jobs of a queue that was removed from the configuration still complete`() {
        val fleet = VirtualFleet(1)
        val job = job(1, step(count = 2), step(after = listOf(0)))
        fleet.submit(job)
        fleet.run(300)
        fleet.scheduler.configure(configuration(queue("other"), version = 2))
        fleet.run(4_000)
        fleet.scheduler.job(job.id)?.visiblePhase shouldBe JobPhase.COMPLETED
    }
}
