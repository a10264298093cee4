// Tests that starts wait for knowledge of jobs that is current enough, and that nothing else does.

package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.StartFault
import org.gypsumturn.batch.TEST_SETTINGS
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.job
import org.gypsumturn.batch.step

class StaleKnowledgeTest : AnnotationSpec() {
    private val maxAgeMillis = TEST_SETTINGS.maxJobsAgeMillis

    // Guards against: starts on knowledge that lacks cancellations, or work that waits during an outage of the store.
    @Test
    fun `starts are allowed on recent knowledge, and on older knowledge only while the store does not answer`() {
        fun allows(asOfMillis: Long, answeredMillis: Long, failedSentMillis: Long?) =
            JobKnowledge(asOfMillis, answeredMillis, failedSentMillis).allowsStarts(10_000, 2_400)
        allows(7_600, 10_000, null) shouldBe true
        allows(7_599, 10_000, null) shouldBe false
        allows(7_599, 10_000, 9_999) shouldBe false
        // The store has been silent since shortly after the feed was read last.
        allows(2_000, 4_400, 7_600) shouldBe true
        allows(2_000, 4_401, 7_600) shouldBe false
        // No call was made for some time, as after a suspension: the store may have answered others meanwhile.
        allows(2_000, 4_400, 7_599) shouldBe false
        allows(2_000, 4_400, null) shouldBe false
    }

    // Guards against: a call that failed counts as evidence of an outage although the store has answered since.
    @Test
    fun `a call that was sent before the last answer of the store shows no outage when it fails`() {
        fun allows(answeredMillis: Long, failedSentMillis: Long) =
            JobKnowledge(0, answeredMillis, failedSentMillis).allowsStarts(2_900, 2_400)
        allows(2_300, 600) shouldBe false
        allows(2_300, 2_299) shouldBe false
        allows(2_300, 2_300) shouldBe true
    }

    private fun VirtualFleet.pass(knowledge: JobKnowledge): List<ExecutorOrder> =
        scheduler.runSchedulingPass(nowMillis, nowMillis, -1_000, knowledge)

    private fun VirtualFleet.staleKnowledge() = JobKnowledge(nowMillis - maxAgeMillis - 1, nowMillis)

    // Guards against: a holder with stale knowledge starts tasks, or also stops to stop, poll and extend leases.
    @Test
    fun `stale knowledge holds back starts, and neither stops nor polls nor extensions of leases`() {
        val fleet = VirtualFleet(2)
        fleet.run(100)
        val running = job(1, step(count = 4))
        fleet.submit(running) { 60_000 }
        fleet.run(200)
        val waiting = job(2, step(count = 4))
        fleet.submit(waiting)
        fleet.scheduler.cancelJob(fleet.nowMillis, running.id)
        fleet.nowMillis += 1_000
        val held = fleet.pass(fleet.staleKnowledge())
        held.filterIsInstance<ExecutorOrder.Start>().shouldBeEmpty()
        held.count { it is ExecutorOrder.Stop } shouldBe 4
        fleet.log.count { it.startsWith("starts held back") } shouldBe 1
        fleet.pass(fleet.staleKnowledge()).filterIsInstance<ExecutorOrder.Start>().shouldBeEmpty()
        fleet.log.count { it.startsWith("starts held back") } shouldBe 1
        val released = fleet.pass(JobKnowledge.current(fleet.nowMillis))
        released.count { it is ExecutorOrder.Start } shouldBe 4
        fleet.log.single { it.startsWith("starts go on") }.contains("(held_ms, 0)") shouldBe true
    }

    // Guards against: leases lapse while starts are held back, so that running tasks end; or held starts wait on.
    @Test
    fun `running tasks go on while starts are held back, and held starts go on at once after it`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        fleet.submit(job(1, step(count = 2))) { 60_000 }
        fleet.run(700)
        val heldMillis = fleet.nowMillis
        fleet.jobKnowledge = { JobKnowledge(heldMillis - maxAgeMillis - 1, it) }
        fleet.submit(job(2, step(count = 2)))
        fleet.run(2 * TEST_SETTINGS.leaseMillis)
        fleet.starts.size shouldBe 2
        fleet.executors.values.single().runs.size shouldBe 2
        fleet.jobKnowledge = JobKnowledge::current
        fleet.run(20)
        fleet.starts.size shouldBe 4
    }

    // Guards against: a start without an answer is repeated on stale knowledge.
    @Test
    fun `a start without an answer is repeated only once the knowledge is current`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        fleet.submit(job(1, step(count = 1))) { 60_000 }
        fleet.run(200)
        fleet.executors.values.single().startFaults += StartFault.NEVER_APPLIED
        fleet.submit(job(2, step(count = 1)))
        fleet.run(100)
        fleet.starts.size shouldBe 1
        val heldMillis = fleet.nowMillis
        fleet.jobKnowledge = { JobKnowledge(heldMillis - maxAgeMillis - 1, it) }
        fleet.run(3_000)
        fleet.starts.size shouldBe 1
        fleet.jobKnowledge = JobKnowledge::current
        fleet.run(50)
        fleet.starts.size shouldBe 2
    }
}
