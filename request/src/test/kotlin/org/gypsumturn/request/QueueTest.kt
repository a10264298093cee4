// Checks the order in which queued requests start.

package org.gypsumturn.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import org.gypsumturn.model.Priority
import org.gypsumturn.model.TeamId

class QueueTest : AnnotationSpec() {
    private fun pending(id: Long, priority: Priority = Priority.NORMAL, team: String? = null) =
        PendingRequest(arrived(id, priority, team).request, POOL, 0)

    @Test
    fun `urgent requests start before normal and normal before batch`() {
        val queue = PoolQueue { 1.0 }
        queue.add(pending(1, Priority.BATCH))
        queue.add(pending(2, Priority.NORMAL))
        queue.add(pending(3, Priority.URGENT))
        List(3) { queue.poll()?.request?.id?.value } shouldBe listOf(3L, 2L, 1L)
    }

    @Test
    fun `batch requests are not starved by a long queue of urgent ones`() {
        val queue = PoolQueue { 1.0 }
        queue.add(pending(1, Priority.BATCH))
        (2L..40L).forEach { queue.add(pending(it, Priority.URGENT)) }
        List(20) { queue.poll()?.request?.id?.value } shouldContain 1L
    }

    @Test
    fun `teams start in proportion to their shares`() {
        val queue = FairQueue { team -> if (team == TeamId("large")) 3.0 else 1.0 }
        (1L..100L).forEach {
            queue.add(pending(it, team = "large"))
            queue.add(pending(1_000 + it, team = "small"))
        }
        List(40) { queue.poll()?.request?.team?.value }.count { it == "large" } shouldBe 30
    }

    @Test
    fun `a request that is put back keeps its position`() {
        val queue = FairQueue { 1.0 }
        (1L..3L).forEach { queue.add(pending(it)) }
        queue.putBack(queue.poll()!!)
        queue.poll()?.request?.id shouldBe RequestId(1)
        queue.removeNewest()?.request?.id shouldBe RequestId(3)
        queue.size shouldBe 1
    }
}
