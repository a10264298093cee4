// What callers are told of an accepted job while the holder of the control lease does not know of it.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.batch.desk.CallerAnswer
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobLimits
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId

class AcceptedJobStateTest : AnnotationSpec() {
    private val job = BatchJob(JobId("00c0ffee00c0ffee"), "h", "/q/", "", listOf(Step(1, ResourceAmounts(500))))
    private val queue = Queue(job.queue, "h", "/q/", PoolId("p"), 0, 1, 1.0, 0, 3_000, null)

    private fun handlerOf(
        store: MemoryRowStore,
        partition: String,
        holderAnswer: HolderAnswer?,
    ): NodeJobRequestHandler {
        val holder = object : HolderQueries {
            override fun queryState(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit) =
                reply(holderAnswer)

            override fun countPending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit) = reply(null)
        }
        val committer = JobCommitter(store, { false }, { _, action -> action() }) { 0 }
        return NodeJobRequestHandler(
            { null },
            store,
            holder,
            committer,
            partition,
            JobLimits(65_536),
            NodeMetrics(PrometheusRegistry()),
        ) { 0 }
    }

    private fun stateOf(store: MemoryRowStore, holderAnswer: HolderAnswer?): CallerAnswer {
        lateinit var answer: CallerAnswer
        handlerOf(store, JobRows.partitions.first(), holderAnswer).queryState(job.id, null, 3_000) { answer = it }
        return answer
    }

    // Guards against: 410 for an accepted job by a node whose holder is behind with the changes, has read the
    // partitions at different moments, is not ready or can't be reached, whichever node accepted the job, and also
    // while the store refuses the reads.
    @Test
    fun `an accepted job exists for callers though the holder does not have it`() {
        JobRows.partitions.forEach { accepting ->
            listOf(HolderAnswer.NoJob(), null).forEach { holderAnswer ->
                val store = MemoryRowStore()
                lateinit var accepted: CallerAnswer
                handlerOf(store, accepting, null).submit(queue, job, 3_000) { accepted = it }
                accepted shouldBe CallerAnswer.Accepted
                stateOf(store, holderAnswer) shouldBe CallerAnswer.State(JobPhase.QUEUED)
                store.failureMode = StoreFailureMode.REFUSES
                stateOf(store, holderAnswer).shouldBeInstanceOf<CallerAnswer.NotAccepted>()
            }
        }
    }
}
