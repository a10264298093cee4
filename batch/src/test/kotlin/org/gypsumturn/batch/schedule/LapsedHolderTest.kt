package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.step
import org.gypsumturn.batch.takeOverFromLiveHolder
import kotlin.random.Random

/**
 * A holder that goes on after its control lease has lapsed, while executors that it can't reach are polled by its
 * successor.
 */
class LapsedHolderTest : AnnotationSpec() {
    /**
     * Runs one random schedule in which some executors are silent to a holder before its control lease lapses, and
     * another takes over, which may reach other executors than the first. The first believes that its lease lapsed
     * [lateMillis] later than it did.
     */
    private fun simulate(seed: Long, lateMillis: Long): VirtualFleet {
        val random = Random(seed)
        val fleet = VirtualFleet(3)
        fleet.run(100)
        repeat(random.nextInt(1, 4)) { number ->
            fleet.submit(job(number, step(count = random.nextInt(1, 5), estimateMillis = 15_000))) { 15_000 }
        }
        fleet.run(2_500)
        val former = fleet.scheduler
        fleet.executors.values.filter { random.nextBoolean() }.forEach { it.unreachableFrom += former }
        fleet.run(random.nextLong(1, 4_000))
        val validUntilMillis = fleet.nowMillis
        fleet.validUntilMillis = validUntilMillis
        fleet.run(random.nextLong(CLAIM_MILLIS, 1_500))
        fleet.validUntilMillis = Long.MAX_VALUE / 2
        fleet.takeOverFromLiveHolder(2, validUntilMillis + lateMillis)
        fleet.executors.values.filter { random.nextInt(3) == 0 }.forEach { it.unreachableFrom += fleet.scheduler }
        fleet.run(random.nextLong(1_000, 8_000))
        fleet.executors.values.forEach { it.unreachableFrom.clear() }
        fleet.run(random.nextLong(1, 3_000))
        fleet.formerHolder = null
        fleet.run(30_000)
        return fleet
    }

    // Guards against: a holder without a valid lease fails a job and stops its tasks, while its successor goes on with
    // them.
    @Test
    fun `a holder gives up a job only with a valid control lease`() {
        val fleet = VirtualFleet(3)
        fleet.run(100)
        val failing = job(1, step(count = 1), step(count = 2, estimateMillis = 20_000))
        fleet.failingJobs += failing.id
        fleet.submit(failing) { if (it.step == 0) 500 else 20_000 }
        fleet.run(700)
        fleet.validUntilMillis = fleet.nowMillis
        fleet.run(1_000)
        fleet.log.count { "job hopeless" in it } shouldBe 1
        fleet.scheduler.job(failing.id)!!.phase shouldBe JobPhase.RUNNING
        fleet.log.none { "task stopped" in it } shouldBe true
        fleet.validUntilMillis = Long.MAX_VALUE / 2
        fleet.run(300)
        fleet.scheduler.job(failing.id)!!.phase shouldBe JobPhase.FAILED
        fleet.executors.values.flatMap { it.runs.keys }.shouldBeEmpty()
        fleet.starts.count { it.task.step == 0 } shouldBe 2
    }

    // Guards against: a holder without a valid lease takes the leases that it gave to a silent executor for the last
    // ones, although its successor has extended them.
    @Test
    fun `no task runs twice if a holder loses an executor and then its control lease`() {
        val breaches = (1L..300L).flatMap { seed ->
            val fleet = simulate(seed, lateMillis = 0)
            val left = fleet.scheduler.activeJobs.map { "job ${it.job.id} has not ended" }
            (fleet.breaches + left).map { "seed $seed: $it" }
        }
        breaches.shouldBeEmpty()
    }

    // Guards against: a holder without a valid lease takes the leases of its predecessor for lapsed, although its
    // successor has extended them.
    @Test
    fun `no task runs twice if a holder loses its control lease while it waits for its predecessor's leases`() {
        val breaches = (2_000L..4_600L step 200).flatMap { validMillis ->
            val fleet = VirtualFleet(2)
            fleet.run(100)
            fleet.submit(job(1, step(estimateMillis = 30_000))) { 30_000 }
            fleet.run(2_500)
            val (busy, idle) = fleet.executors.values.partition { it.runs.isNotEmpty() }
            fleet.takeOver(2)
            busy.forEach { it.unreachableFrom += fleet.scheduler }
            val validUntilMillis = fleet.nowMillis + validMillis
            fleet.validUntilMillis = validUntilMillis
            fleet.run(validMillis + CLAIM_MILLIS)
            fleet.validUntilMillis = Long.MAX_VALUE / 2
            fleet.takeOverFromLiveHolder(3, validUntilMillis)
            idle.forEach { it.unreachableFrom += fleet.scheduler }
            fleet.run(6_000)
            fleet.breaches.map { "lease lapses $validMillis ms after the takeover: $it" }
        }
        breaches.shouldBeEmpty()
    }

    // Guards against: tasks of an executor that is lost during an outage of the store wait for longer than the outage.
    @Test
    fun `a holder that renews its lapsed lease restarts the tasks of a lost executor at once`() {
        val fleet = VirtualFleet(2)
        fleet.run(100)
        fleet.submit(job(1, step(estimateMillis = 10_000))) { 10_000 }
        fleet.run(2_500)
        fleet.executors.values.single { it.runs.isNotEmpty() }.reachable = false
        fleet.validUntilMillis = fleet.nowMillis
        fleet.run(8_000)
        fleet.starts.size shouldBe 1
        fleet.validUntilMillis = Long.MAX_VALUE / 2
        fleet.run(200)
        fleet.starts.size shouldBe 2
        fleet.run(15_000)
        fleet.breaches.shouldBeEmpty()
        fleet.completedMillis.size shouldBe 1
    }

    @Test
    fun `the simulation detects a holder that counts its control lease too long`() {
        (1L..300L).any { seed -> simulate(seed, lateMillis = 2_000).breaches.isNotEmpty() } shouldBe true
    }

    private companion object {
        /** Time between the lapse of the control lease for its holder and the first claim by another process. */
        const val CLAIM_MILLIS = 150L
    }
}
