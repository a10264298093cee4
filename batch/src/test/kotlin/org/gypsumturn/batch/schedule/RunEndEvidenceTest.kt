package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.job
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
}
