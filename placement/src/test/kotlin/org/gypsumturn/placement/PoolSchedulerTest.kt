// Checks which jobs a pool scheduler starts on which workers, and in which order.

package org.gypsumturn.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Priority
import org.gypsumturn.model.Team
import org.gypsumturn.model.TeamId

class PoolSchedulerTest : AnnotationSpec() {
    private fun scheduler(vararg workers: WorkerCapacity, settings: PlacementSettings = NO_RESERVE) =
        PoolScheduler(settings).apply { setWorkers(workers.toList(), 0) }

    @Test
    fun `a worker gets no more jobs than fit and a release makes room for another`() {
        val scheduler = scheduler(worker(1), worker(2))
        (1..10).forEach { scheduler.submit(jobSpec("job-$it")) }
        val first = scheduler.place(0, 100)
        first.groupBy { it.worker }.mapValues { it.value.size } shouldBe
            mapOf(InstanceId("worker-1") to 4, InstanceId("worker-2") to 4)
        scheduler.release(first.first().job.id, 1)
        scheduler.place(1, 100) shouldHaveSize 1
    }

    @Test
    fun `a job that waits for accelerators does not delay other jobs`() {
        val scheduler = scheduler(worker(1), worker(2, Capacity(4_000, 8_192, 2)))
        scheduler.submit(jobSpec("big", declared = Capacity(1_000, 1_024, 2)))
        scheduler.submit(jobSpec("bigger", declared = Capacity(1_000, 1_024, 2)))
        scheduler.submit(jobSpec("small"))
        scheduler.place(0, 100).map { it.job.id.value } shouldContainExactly listOf("big", "small")
    }

    @Test
    fun `teams get capacity in proportion to their share and within their quota`() {
        val teamUsage = TeamUsageTracker()
        val quota = Team(TeamId("kits"), jobQuota = Capacity(3_000, 100_000))
        val plans = Team(TeamId("plans"), share = 3.0)
        teamUsage.setTeams(listOf(quota, plans, Team(TeamId("quotes"))).associateBy { it.id })
        val scheduler = PoolScheduler(NO_RESERVE, teamUsage = teamUsage)
        scheduler.setWorkers((1..4).map { worker(it) }, 0)
        listOf("kits", "plans", "quotes").forEach { team ->
            (1..20).forEach { scheduler.submit(jobSpec("$team-$it", team = team)) }
        }
        val byTeam = scheduler.place(0, 100).groupBy { it.job.team.value }.mapValues { it.value.size }
        byTeam shouldBe mapOf("kits" to 3, "plans" to 10, "quotes" to 3)
    }

    @Test
    fun `measured sizes outweigh declared ones`() {
        val scheduler = scheduler(worker(1))
        repeat(200) {
            val spec = jobSpec("old-$it")
            scheduler.recordSuccess(spec, InstanceId("worker-1"), Capacity(100, 64), 500, 0)
        }
        (1..40).forEach { scheduler.submit(jobSpec("job-$it")) }
        scheduler.place(0, 100).size shouldBe (4_000 / 143)
    }

    @Test
    fun `urgent jobs use the reserve, then throttle batch jobs, then evict jobs by checkpoint and at last by stop`() {
        val settings = PlacementSettings(urgentReserve = 0.5, checkpointTimeoutMillis = 800)
        val scheduler = scheduler(worker(1), worker(2), settings = settings)
        (1..8).forEach { scheduler.submit(jobSpec("batch-$it", priority = Priority.BATCH)) }
        scheduler.place(0, 100) shouldHaveSize 4
        val urgent = { id: String, milli: Long ->
            scheduler.submit(jobSpec(id, priority = Priority.URGENT, declared = Capacity(milli, 1_024)))
        }
        urgent("u1", 4_000)
        scheduler.place(1, 100).single().worker shouldBe InstanceId("worker-2")
        urgent("u2", 3_000)
        scheduler.place(2, 100).single().worker shouldBe InstanceId("worker-1")
        scheduler.takeActions(InstanceId("worker-1")).map { it.action }.toSet() shouldBe setOf(RunningAction.THROTTLE)
        urgent("u3", 500)
        scheduler.place(3, 100).shouldBeEmpty()
        scheduler.takeActions(InstanceId("worker-1")).map { it.action }.toSet() shouldBe setOf(RunningAction.CHECKPOINT)
        scheduler.place(1_000, 100).shouldBeEmpty()
        val stopped = scheduler.takeActions(InstanceId("worker-1"))
        stopped.map { it.action }.toSet() shouldBe setOf(RunningAction.STOP)
        stopped.forEach { scheduler.release(it.job, 1_100) }
        scheduler.place(1_100, 100).single().job.id shouldBe JobId("u3")
    }

    @Test
    fun `a worker is reserved for a large job, which then starts within a bounded time`() {
        val scheduler = scheduler(worker(1), settings = NO_RESERVE.copy(reservationDelayMillis = 10_000))
        scheduler.submit(jobSpec("large", declared = Capacity(4_000, 4_096), priority = Priority.BATCH))
        val ends = ArrayDeque<Pair<Long, JobId>>()
        var startedAt = Long.MAX_VALUE
        var number = 0
        scheduler.allocate(jobSpec("first"), InstanceId("worker-1"), 0)
        ends += 5_000L to JobId("first")
        for (now in 0L..60_000L step 1_000) {
            while (ends.isNotEmpty() && ends.first().first <= now) scheduler.release(ends.removeFirst().second, now)
            scheduler.submit(jobSpec("small-${number++}"), now)
            for (placement in scheduler.place(now, 100)) {
                if (placement.job.id.value == "large") startedAt = minOf(startedAt, now)
                ends += now + 5_000 to placement.job.id
            }
        }
        startedAt shouldBeLessThan 20_000
    }

    @Test
    fun `batch jobs start within a bounded time although normal jobs are always waiting`() {
        val settings = NO_RESERVE.copy(batchAgingMillis = 10_000)
        val scheduler = scheduler(worker(1), settings = settings)
        (1..5).forEach { scheduler.submit(jobSpec("batch-$it", priority = Priority.BATCH), 0) }
        val running = ArrayDeque<JobId>()
        val startedAt = mutableListOf<Long>()
        for (now in 0L..60_000L step 1_000) {
            repeat(2) { scheduler.submit(jobSpec("normal-$now-$it"), now) }
            if (running.isNotEmpty()) scheduler.release(running.removeFirst(), now)
            for (placement in scheduler.place(now, 100)) {
                running += placement.job.id
                if (placement.job.priority == Priority.BATCH) startedAt += now
            }
        }
        startedAt shouldHaveSize 5
        startedAt.max() shouldBeLessThan 40_000
        startedAt[2] shouldBe 10_000
    }

    @Test
    fun `a job larger than every worker is reported with its reason`() {
        val scheduler = scheduler(worker(1))
        scheduler.submit(jobSpec("huge", declared = Capacity(64_000, 1_024)))
        scheduler.unplaceableJobs(0).shouldBeEmpty()
        scheduler.unplaceableJobs(600_000).single().reason shouldContain "64000 millicores"
    }

    @Test
    fun `a job that failed on all workers outside the urgent reserve runs on one of them again`() {
        val settings = PlacementSettings(urgentReserve = 0.34)
        val scheduler = scheduler(worker(1), worker(2), worker(3), settings = settings)
        val avoid = setOf(InstanceId("worker-1"), InstanceId("worker-2"))
        scheduler.enqueue(WaitingJob(jobSpec("job"), 0, avoid))
        scheduler.place(0, 100) shouldHaveSize 1
    }

    @Test
    fun `a quarantined worker gets one job as a trial when its quarantine ends`() {
        val scheduler = scheduler(worker(1))
        repeat(20) {
            scheduler.recordSuccess(jobSpec("ok-$it"), InstanceId("elsewhere"), Capacity(1_000, 1_024), 500, 0)
        }
        var number = 0
        while (scheduler.quarantinedWorkers().isEmpty() && number < 50) {
            val spec = jobSpec("job-${number++}")
            scheduler.submit(spec)
            scheduler.place(0, 1) shouldHaveSize 1
            scheduler.recordFailure(failedOnce(spec, "worker-1"), InstanceId("worker-1"), "exit 1", 0)
            scheduler.release(spec.id, 0)
        }
        scheduler.quarantinedWorkers() shouldBe setOf(InstanceId("worker-1"))
        listOf("next-1", "next-2").forEach { scheduler.submit(jobSpec(it)) }
        scheduler.place(1, 100).shouldBeEmpty()
        scheduler.place(300_000, 100) shouldHaveSize 1
    }

    private companion object {
        val NO_RESERVE = PlacementSettings(urgentReserve = 0.0)
    }
}
