// What the order by cost puts back, one property at a time: priority, deadline, work and the shares of workspaces.
// Load: jobs that wait for a pool which can do some of them in time.

package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.state.JobState
import org.gypsumturn.batch.step
import org.gypsumturn.model.WorkspaceId

class CostOrderTest : AnnotationSpec() {
    private val nowMillis = 10_000L

    /** A pool that does a task of one core and a second in 100 ms. */
    private val pool = PoolCapacity(ResourceAmounts(10_000, 1_000_000, 0))

    private fun waiting(
        number: Int,
        step: Step,
        queue: Queue = queue(),
        workspace: String? = null,
        dueMillis: Long = nowMillis,
    ): WaitingStep {
        val state = JobState(job(number, step).copy(workspace = workspace?.let(::WorkspaceId)), dueMillis, 1)
        val occurrence = state.addOccurrence(0, dueMillis)
        return WaitingStep(queue, occurrence, occurrence.steps.single())
    }

    private fun sort(
        steps: List<WaitingStep>,
        capacity: PoolCapacity = pool,
        weightOf: WeightOf = { null },
    ): List<Int> = orderByCost(weightOf)(nowMillis, steps, capacity).map { it.step.job.job.id.value.toInt(16) }

    @Test
    fun `with room for all, the job with the least time left goes first`() {
        val steps = listOf(waiting(1, step()), waiting(2, step(), dueMillis = nowMillis - 300), waiting(3, step()))
        sort(steps).first() shouldBe 2
    }

    // Guards against: a job that fills the pool makes many callers miss their deadlines.
    @Test
    fun `one large job waits rather than several small ones`() {
        val large = waiting(1, step(count = 20))
        val small = (2..9).map { waiting(it, step()) }
        sort(listOf(large) + small).last() shouldBe 1
    }

    // Guards against: jobs of a less urgent queue are kept because they are small.
    @Test
    fun `jobs of the less urgent queue wait first`() {
        val urgent = (1..8).map { waiting(it, step(count = 2)) }
        val other = (11..18).map { waiting(it, step(), queue("other", priority = 1)) }
        sort(other + urgent).take(8) shouldContainExactlyInAnyOrder (1..8).toList()
    }

    // Guards against: a workspace with many jobs takes the room of those with few.
    @Test
    fun `the workspace that asks for several times its share waits first`() {
        val hot = (1..40).map { waiting(it, step(), workspace = "hot") }
        val calm = (101..104).map { waiting(it, step(), workspace = "calm") }
        sort(hot + calm).take(13).count { it > 100 } shouldBe 4
    }

    // Guards against: weights are passed over, so that each workspace gets as much as any other.
    @Test
    fun `a workspace of more weight keeps more of its jobs`() {
        val heavy = (1..20).map { waiting(it, step(), workspace = "heavy") }
        val light = (101..120).map { waiting(it, step(), workspace = "light") }
        val weights = mapOf(WorkspaceId("heavy") to 4.0, WorkspaceId("light") to 1.0)
        val first = sort(light + heavy) { weights[it] }.take(10)
        first.count { it <= 100 } shouldBeGreaterThan 2 * first.count { it > 100 }
    }

    // Guards against: the running tasks of a workspace do not count, so that it keeps a pool that it has filled.
    @Test
    fun `what a workspace has running counts towards its share`() {
        val busy = PoolCapacity(pool.total) { mapOf(WorkspaceId("hot") to 900.0) }
        val hot = (1..10).map { waiting(it, step(), workspace = "hot") }
        val calm = (101..110).map { waiting(it, step(), workspace = "calm") }
        sort(hot + calm, busy).take(8).count { it > 100 } shouldBeGreaterThan 4
    }

    // Guards against: the share of a workspace without work stays unused.
    @Test
    fun `a workspace alone is not held to its share`() {
        val steps = (1..4).map { waiting(it, step(), workspace = "only") }
        sort(steps) { 0.01 } shouldContainExactly listOf(1, 2, 3, 4)
    }

    // Guards against: memory is not planned, so that jobs are begun that can't end in time.
    @Test
    fun `memory is planned like processors`() {
        val scarce = PoolCapacity(ResourceAmounts(1_000_000, 1_000, 0))
        val large = waiting(1, step(count = 20))
        val small = (2..9).map { waiting(it, step()) }
        sort(listOf(large) + small, scarce).last() shouldBe 1
    }

    // Guards against: late jobs, which cost their callers little more by waiting, hold up those in time.
    @Test
    fun `late jobs come last, the one with the least work first`() {
        val late = listOf(
            waiting(1, step(count = 9), dueMillis = nowMillis - 60_000),
            waiting(2, step(), dueMillis = nowMillis - 60_000),
        )
        sort(late + waiting(3, step())) shouldContainExactly listOf(3, 2, 1)
    }

    // Guards against: the plan of a long queue takes longer than the pause between two placements.
    @Test
    fun `a queue of two thousand jobs is planned in reasonable time`() {
        val steps = (1..2_000).map { waiting(it, step(1 + it % 7), workspace = "w${it % 20}") }
        sort(steps)
        val startNanos = System.nanoTime()
        sort(steps)
        ((System.nanoTime() - startNanos) / 1_000_000).toInt() shouldBeLessThan 1_000
    }
}
