package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.job
import org.gypsumturn.batch.step
import kotlin.random.Random

/**
 * Two holders at once: the lease of the first lapsed while the store was unreachable, and the second has taken over.
 */
class TakeoverTest : AnnotationSpec() {
    /** Runs one random schedule. The former holder believes that its lease lapsed [lateMillis] later than it did. */
    private fun simulate(seed: Long, lateMillis: Long): VirtualFleet {
        val random = Random(seed)
        val fleet = VirtualFleet(3)
        fleet.run(100)
        repeat(random.nextInt(2, 6)) { number -> submit(fleet, random, number) }
        fleet.run(random.nextLong(100, 1_500))
        fleet.validUntilMillis = fleet.nowMillis
        val validUntilMillis = fleet.nowMillis + lateMillis
        fleet.run(random.nextLong(1, 2_000))
        fleet.validUntilMillis = Long.MAX_VALUE / 2
        val old = fleet.scheduler
        fleet.takeOverFromLiveHolder(2, validUntilMillis)
        fleet.executors.values.forEach { executor ->
            if (random.nextInt(3) == 0) executor.unreachableFrom += old
            if (random.nextInt(2) == 0) executor.unreachableFrom += fleet.scheduler
        }
        repeat(3) { number ->
            fleet.run(random.nextLong(100, 1_000))
            submit(fleet, random, 10 + number)
        }
        fleet.run(random.nextLong(1, 6_000))
        fleet.executors.values.forEach { it.unreachableFrom.clear() }
        fleet.run(random.nextLong(1, 3_000))
        fleet.formerHolder = null
        fleet.run(15_000)
        return fleet
    }

    private fun submit(fleet: VirtualFleet, random: Random, number: Int) {
        val steps = arrayOf(step(count = random.nextInt(1, 5)), step(count = 2, after = listOf(0)))
        val leastMillis = random.nextLong(50, 1_200)
        fleet.submit(job(number, *steps)) { leastMillis + it.index * 100 }
    }

    @Test
    fun `no task runs twice beside a holder whose lease has lapsed, whichever links are cut, and all jobs end`() {
        (1L..300L).forEach { seed ->
            val fleet = simulate(seed, lateMillis = 0)
            fleet.breaches.shouldBeEmpty()
            fleet.scheduler.activeJobs.shouldBeEmpty()
        }
    }

    @Test
    fun `the simulation detects a holder that counts its lease too long`() {
        (1L..300L).any { seed -> simulate(seed, lateMillis = 6_000).breaches.isNotEmpty() } shouldBe true
    }
}
