// Executors on which more runs have ended than one report lists, since the ends can't be stored and acknowledged.

package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.job
import org.gypsumturn.batch.step
import kotlin.random.Random

class ManyEndsTest : AnnotationSpec() {
    private fun fleetWithManyEnds(random: Random): VirtualFleet {
        val fleet = VirtualFleet(2)
        fleet.executors.values.forEach { it.endsPerReport = random.nextInt(2, 12) }
        fleet.run(100)
        repeat(4) { number ->
            val millis = random.nextLong(20, 200)
            fleet.submit(job(number, step(count = 30))) { millis }
        }
        fleet.run(random.nextLong(20, 300))
        fleet.validUntilMillis = fleet.nowMillis
        fleet.run(random.nextLong(500, 3_500))
        return fleet
    }

    // Guards against: an ended run that does not fit into a report is taken for vanished and started again.
    @Test
    fun `no task is started again while its end does not fit into the report`() {
        (1L..200L).forEach { seed ->
            val fleet = fleetWithManyEnds(Random(seed))
            fleet.validUntilMillis = Long.MAX_VALUE / 2
            fleet.run(8_000)
            fleet.breaches.shouldBeEmpty()
            fleet.completedMillis.size shouldBe 4
        }
    }

    // Guards against: a new holder takes the first ends that an executor lists for all of them.
    @Test
    fun `a new holder starts no task again before it knows all ends`() {
        (1L..200L).forEach { seed ->
            val random = Random(seed)
            val fleet = fleetWithManyEnds(random)
            if (random.nextBoolean()) fleet.executors.values.first().pollAnswerMillis = random.nextLong(1, 200)
            fleet.takeOver(2)
            fleet.run(random.nextLong(1, 7_000))
            fleet.validUntilMillis = Long.MAX_VALUE / 2
            fleet.run(16_000)
            fleet.breaches.shouldBeEmpty()
            fleet.completedMillis.size shouldBe 4
        }
    }
}
