// The cap of a workspace under load and through takeovers, in virtual time. Load: one workspace submits several times
// what its cap lets run, while another one works as usual. The fleet reports each start beyond the cap as a breach.

package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.shouldBe
import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.step
import org.gypsumturn.batch.takeOverFromLiveHolder
import org.gypsumturn.batch.workspace
import org.gypsumturn.model.JobId
import org.gypsumturn.model.WorkspaceId

class WorkspaceLedgerTest : AnnotationSpec() {
    private val hot = WorkspaceId("hot")
    private val calm = WorkspaceId("calm")
    private val workspaces = listOf(workspace("hot", capCpuMillis = CAP_CPU_MILLIS), workspace("calm"))

    private fun fleet(executors: Int = 6) =
        VirtualFleet(executors, configuration = configuration(queue(), workspaces = workspaces))

    private fun job(number: Int, workspace: WorkspaceId, count: Int = 6): BatchJob =
        job(number, step(count)).copy(workspace = workspace)

    private fun VirtualFleet.submitHotJobs(count: Int = 12) {
        repeat(count) { submit(job(it, hot)) }
    }

    @Test
    fun `a workspace uses its cap and no more, while others use the rest of the pool`() {
        val fleet = fleet()
        fleet.run(200)
        fleet.submitHotJobs()
        fleet.submit(job(100, calm, count = 60))
        fleet.run(400)
        fleet.capMonitor.usedBy(hot) shouldBe CAP_CPU_MILLIS
        fleet.capMonitor.usedBy(calm) shouldBe 60_000
        fleet.run(12_000)
        fleet.scheduler.activeJobs.shouldBeEmpty()
        fleet.breaches.shouldBeEmpty()
    }

    // Guards against: what is being stopped is given out again before it has ended.
    @Test
    fun `runs that are being stopped count until they have ended`() {
        val fleet = fleet()
        fleet.run(200)
        fleet.submitHotJobs(2)
        fleet.run(300)
        fleet.scheduler.cancelJob(fleet.nowMillis, JobId("%016x".format(0)))
        fleet.run(3_000)
        fleet.scheduler.job(JobId("%016x".format(1)))!!.phase shouldBe JobPhase.COMPLETED
        fleet.breaches.shouldBeEmpty()
    }

    // Guards against: starts without an answer are not counted, so that the cap is given out twice.
    @Test
    fun `starts that are not answered count`() {
        val fleet = fleet()
        fleet.run(200)
        fleet.executors.values.forEach { it.answersArrive = false }
        fleet.submitHotJobs()
        fleet.run(250)
        fleet.executors.values.forEach { it.answersArrive = true }
        fleet.run(15_000)
        fleet.breaches.shouldBeEmpty()
    }

    // Guards against: a new holder counts from zero and lets the workspace start its whole cap once more.
    @Test
    fun `a holder that takes over while the cap is full starts nothing beyond it`() {
        val fleet = fleet()
        fleet.run(200)
        fleet.submitHotJobs()
        fleet.run(300)
        fleet.capMonitor.usedBy(hot) shouldBe CAP_CPU_MILLIS
        fleet.executors.values.take(3).forEach { it.reachable = false }
        fleet.takeOver(2)
        repeat(6) { fleet.submit(job(200 + it, hot)) }
        fleet.run(1_000)
        fleet.executors.values.forEach { it.reachable = true }
        fleet.run(30_000)
        fleet.scheduler.activeJobs.shouldBeEmpty()
        fleet.breaches.shouldBeEmpty()
    }

    // Guards against: a holder that was paused goes on by its old count beside its successor.
    @Test
    fun `a former holder and its successor together keep the cap`() {
        (1L..40L).forEach { seed ->
            val random = RandomSource.SPLIT_MIX_64.create(seed)
            val fleet = fleet()
            fleet.run(200)
            fleet.submitHotJobs()
            fleet.run(100L + random.nextInt(2_000))
            val former = fleet.scheduler
            fleet.executors.values.filter { random.nextInt(3) == 0 }.forEach { it.unreachableFrom += former }
            fleet.takeOverFromLiveHolder(2, fleet.nowMillis - random.nextInt(2_000))
            fleet.executors.values.filter { random.nextInt(3) == 0 }.forEach { it.unreachableFrom += fleet.scheduler }
            repeat(6) { fleet.submit(job(200 + it, hot)) }
            fleet.run(1_500)
            fleet.executors.values.forEach { it.unreachableFrom.clear() }
            fleet.run(25_000)
            fleet.breaches.shouldBeEmpty()
            fleet.capMonitor.highestUseCpuMillis shouldContainKey hot
        }
    }

    // Guards against: runs of a job that has ended are forgotten at a takeover while they are being stopped.
    @Test
    fun `runs of cancelled jobs count after a takeover`() {
        val fleet = fleet()
        fleet.run(200)
        repeat(2) { number -> fleet.submit(job(number, hot)) { 3_000 } }
        fleet.run(300)
        fleet.executors.values.forEach { it.unreachableFrom += fleet.scheduler }
        fleet.scheduler.cancelJob(fleet.nowMillis, JobId("%016x".format(0)))
        fleet.scheduler.cancelJob(fleet.nowMillis, JobId("%016x".format(1)))
        fleet.run(50)
        fleet.executors.values.take(3).forEach { it.reachable = false }
        fleet.takeOver(2)
        repeat(3) { fleet.submit(job(300 + it, hot)) }
        fleet.run(600)
        fleet.executors.values.forEach { it.reachable = true }
        fleet.run(20_000)
        fleet.breaches.shouldBeEmpty()
        fleet.scheduler.activeJobs.shouldBeEmpty()
    }

    // Guards against: a task that is larger than its workspace's cap is never started.
    @Test
    fun `a task above the cap runs alone`() {
        val fleet = fleet()
        fleet.run(200)
        repeat(3) { fleet.submit(job(it, step(1, cpuMillis = 15_000)).copy(workspace = hot)) }
        fleet.run(6_000)
        fleet.scheduler.activeJobs.shouldBeEmpty()
        fleet.capMonitor.highestUseCpuMillis.getValue(hot) shouldBe 15_000
    }

    // Guards against: a lower cap stops nothing, but lets more start.
    @Test
    fun `a cap that is lowered holds back starts until the use is below it`() {
        val fleet = fleet()
        fleet.run(200)
        fleet.submitHotJobs()
        fleet.run(300)
        val lowered = listOf(workspace("hot", capCpuMillis = 4_000), workspace("calm"))
        fleet.configuration = configuration(queue(), version = 2, workspaces = lowered)
        fleet.scheduler.configure(fleet.configuration)
        val before = fleet.starts.size
        fleet.run(400)
        fleet.starts.size shouldBe before
        fleet.run(30_000)
        fleet.scheduler.activeJobs.shouldBeEmpty()
        fleet.starts.shouldNotBeEmpty()
        fleet.starts.size.toLong() shouldBeGreaterThan before.toLong()
    }

    private companion object {
        const val CAP_CPU_MILLIS = 10_000L
    }
}
