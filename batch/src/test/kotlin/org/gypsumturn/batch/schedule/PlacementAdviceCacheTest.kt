package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.StartFault
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.AdvisorTiming
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.step

class PlacementAdviceCacheTest : AnnotationSpec() {
    private val advised = queue("advised").copy(advice = AdvisorTiming(5.0, 2.0, 2_000))
    private val configuration = configuration(queue(), advised)

    private fun fleet(executors: Int): VirtualFleet {
        val fleet = VirtualFleet(executors, configuration = configuration)
        fleet.run(100)
        return fleet
    }

    @Test
    fun `a step of an advised queue runs only where the advisor allows it`() {
        val fleet = fleet(6)
        fleet.allowedByPolicy += fleet.executors.keys.take(2)
        fleet.submit(job(1, step(count = 8), step(count = 3, after = listOf(0)), queue = "advised"))
        fleet.run(5_000)
        fleet.completedMillis.size shouldBe 1
        fleet.questionCount shouldBe 2
        fleet.log.none { it.startsWith("start refused") } shouldBe true
    }

    @Test
    fun `expired tickets are asked for again, and jobs of other queues do not wait meanwhile`() {
        val fleet = fleet(2)
        fleet.allowedByPolicy += fleet.executors.keys.take(1)
        fleet.submit(job(1, step(count = 40), queue = "advised"))
        fleet.submit(job(2, step(count = 16)))
        fleet.run(1_500)
        (job(2, step()).id in fleet.completedMillis) shouldBe true
        fleet.run(6_000)
        fleet.completedMillis.size shouldBe 2
        fleet.questionCount shouldBeLessThanOrEqual 12
    }

    @Test
    fun `a task whose start is not answered before its ticket expires is stopped and run with another ticket`() {
        val fleet = fleet(2)
        fleet.allowedByPolicy += fleet.executors.keys
        fleet.executors.values.forEach { executor ->
            repeat(6) { executor.startFaults += StartFault.NEVER_APPLIED }
        }
        fleet.submit(job(1, step(), queue = "advised"))
        fleet.run(12_000)
        fleet.completedMillis.size shouldBe 1
        fleet.breaches.shouldBeEmpty()
    }

    @Test
    fun `the advisor is asked about an executor that joins later`() {
        val fleet = fleet(1)
        fleet.submit(job(1, step(), queue = "advised"))
        fleet.run(1_000)
        val late = fleet.add("late", ResourceAmounts(16_000, 32_000, 0))
        fleet.allowedByPolicy += late.id
        fleet.run(3_000)
        fleet.completedMillis.size shouldBe 1
    }

    @Test
    fun `a gang that needs more executors than a question names is placed after several questions`() {
        val fleet = fleet(80)
        fleet.allowedByPolicy += fleet.executors.keys.filterIndexed { number, _ -> number % 2 == 0 }
        val gang = step(count = 24).copy(gang = true, maxPerExecutor = 1)
        fleet.submit(job(1, gang, queue = "advised"))
        fleet.run(4_000)
        fleet.completedMillis.size shouldBe 1
        fleet.questionCount shouldBe 2
    }
}
