// Counts the requests for states of jobs that get no answer within the caller's deadline while the store is slow.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.batch.desk.CallerAnswer
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobLimits
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.port.RowPage
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobId
import org.gypsumturn.model.Verdict

class SlowStoreStateTest : AnnotationSpec() {
    private val loop = VirtualLoop()
    private val memory = MemoryRowStore()

    /** Serves [CONNECTIONS] reads at a time, each in [READ_MILLIS]; the others wait, until they time out. */
    private val store = object : RowStore by memory {
        var reads = 0
        private var running = 0
        private val waiting = ArrayDeque<() -> Unit>()

        override fun read(
            table: String,
            partition: String,
            from: String?,
            limit: Int,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<RowPage>,
        ) {
            reads++
            var isOver = false
            loop.runAfter(timeoutMillis) {
                if (!isOver) onVerdict(Verdict.NotRun(Failure(FailureKind.TIMEOUT, "no answer in time")))
                isOver = true
            }
            waiting += {
                if (!isOver) {
                    running++
                    loop.runAfter(READ_MILLIS) {
                        running--
                        if (!isOver) memory.read(table, partition, from, limit, timeoutMillis, onVerdict)
                        isOver = true
                        startWaiting()
                    }
                }
            }
            startWaiting()
        }

        private fun startWaiting() {
            while (running < CONNECTIONS) (waiting.removeFirstOrNull() ?: return)()
        }
    }

    /** What the holder answers, and after how long. */
    private var holderAnswer: HolderAnswer? = null
    private var holderMillis = 0L
    private val holder = object : HolderQueries {
        override fun queryState(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit) {
            loop.runAfter(minOf(holderMillis, timeoutMillis)) {
                reply(holderAnswer.takeIf { holderMillis <= timeoutMillis })
            }
        }

        override fun countPending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit) = reply(null)
    }
    private val handler = NodeJobRequestHandler(
        { null },
        store,
        holder,
        JobCommitter(store, { false }, loop::runAfter, loop::nowMillis),
        JobRows.partitions.first(),
        JobLimits(65_536),
        NodeMetrics(PrometheusRegistry()),
        { },
        loop::nowMillis,
    )

    @BeforeEach
    fun reset() {
        store.reads = 0
        holderAnswer = null
    }

    private class Result(var late: Int = 0, val answers: MutableMap<String, Int> = java.util.TreeMap())

    private fun askForStates(deadlineMillis: Long): Result {
        val result = Result()
        val jobs = List(REQUESTS) { number ->
            BatchJob(JobId("%016x".format(number)), "h", "/q/", "", listOf(Step(1, ResourceAmounts(500))))
        }
        jobs.chunked(50).forEach { some ->
            val writes = some.map { RowWrite(JobRows.job(it.id, JobRows.partitions.last()), JobRows.encode(it)) }
            memory.transact(RowTransaction(emptyList(), writes), 1_000) { }
        }
        jobs.forEachIndexed { number, job ->
            loop.runAfter(number * 10L) {
                val startMillis = loop.nowMillis
                handler.queryState(job.id, null, deadlineMillis) { answer ->
                    if (loop.nowMillis - startMillis > deadlineMillis) result.late++
                    result.answers.merge((answer as? CallerAnswer.State)?.phase?.name ?: "$answer", 1, Int::plus)
                }
            }
        }
        loop.runUntil(loop.nowMillis + 60_000)
        result.answers.values.sum() shouldBe REQUESTS
        return result
    }

    // Guards against: a caller gets no answer in its time, because reads of the store begin anew with the whole time.
    @Test
    fun `states are answered in time while the holder is silent`() {
        holderMillis = 10_000
        DEADLINES.map { askForStates(it).late } shouldBe DEADLINES.map { 0 }
    }

    // Guards against: as above, while another node that has just taken over reads the stored jobs.
    @Test
    fun `states are answered in time while the holder is not ready`() {
        holderMillis = 5
        DEADLINES.map { askForStates(it).late } shouldBe DEADLINES.map { 0 }
    }

    // Guards against: as above, for jobs that the holder does not have.
    @Test
    fun `states of jobs that the holder has not read are answered in time`() {
        holderMillis = 300
        holderAnswer = HolderAnswer.NoJob()
        DEADLINES.map { askForStates(it).late } shouldBe DEADLINES.map { 0 }
    }

    // Guards against: a slow store holds up states that the holder knows.
    @Test
    fun `states that the holder knows need no store`() {
        holderMillis = 5
        holderAnswer = HolderAnswer.State(JobPhase.RUNNING, null)
        DEADLINES.forEach { askForStates(it).answers shouldBe mapOf("RUNNING" to REQUESTS) }
        store.reads shouldBe 0
    }

    private companion object {
        const val REQUESTS = 500

        /** Connections of one lane to the store, and the time that a call takes. */
        const val CONNECTIONS = 8
        const val READ_MILLIS = 500L
        val DEADLINES = listOf(300L, 1_000L, 3_000L)
    }
}
