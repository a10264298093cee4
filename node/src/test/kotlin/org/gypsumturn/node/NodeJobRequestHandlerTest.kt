// Which jobs a caller may know of, when the holder answers and when only the stored rows tell.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.batch.desk.CallerAnswer
import org.gypsumturn.batch.desk.RouteResult
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.CallerLimits
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.JobLimits
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.KeyedWorkspace
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.model.Workspace
import org.gypsumturn.batch.model.WorkspaceDirectory
import org.gypsumturn.batch.model.queueId
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.CancellationCaller
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.ProgressRecord
import org.gypsumturn.batch.state.StoredCancellation
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.WorkspaceId

class NodeJobRequestHandlerTest : AnnotationSpec() {
    private val own = WorkspaceId("own")
    private val other = WorkspaceId("other")
    private val job =
        BatchJob(JobId("00c0ffee00c0ffee"), "h", "/q/", "", listOf(Step(1, ResourceAmounts(500))), workspace = own)

    private val queue = Queue(job.queue, "h", "/q/", PoolId("p"), 0, 1, 1.0, 0, 3_000, null)

    private val store = MemoryRowStore()
    private val actions = ArrayList<() -> Unit>()
    private var holderAnswer: HolderAnswer? = null
    private var configuration: FleetConfiguration? = null
    private val holder = object : HolderQueries {
        override fun queryState(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit) = reply(holderAnswer)

        override fun countPending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit) = reply(null)
    }

    /** Answers to callers and notices to the holder, in their order. */
    private val told = ArrayList<Any>()
    private val handler = NodeJobRequestHandler(
        { configuration },
        store,
        holder,
        JobCommitter(store, { false }, { _, action -> action() }) { 0 },
        JobRows.partitions.first(),
        JobLimits(65_536),
        NodeMetrics(PrometheusRegistry()),
        { told += it },
    )

    @BeforeEach
    fun reset() {
        told.clear()
        store.rows.clear()
        store.failureMode = StoreFailureMode.NONE
        store.refusesWrites = false
        holderAnswer = null
        actions.clear()
    }

    private fun put(vararg writes: RowWrite) {
        store.transact(RowTransaction(emptyList(), writes.toList()), 1_000) { }
    }

    private fun storeJob() = put(RowWrite(JobRows.job(job.id, JobRows.partitions.last()), JobRows.encode(job)))

    private fun stateFor(caller: WorkspaceId?): CallerAnswer {
        lateinit var answer: CallerAnswer
        handler.queryState(job.id, caller, 1_000) { answer = it }
        return answer
    }

    private fun cancelFor(caller: WorkspaceId?): CallerAnswer {
        lateinit var answer: CallerAnswer
        handler.cancel(queue, job.id, caller, 1_000) { answer = it }
        return answer
    }

    // Guards against: a caller is told the state of a job of another workspace, or ends it.
    @Test
    fun `a job of another workspace does not exist for a caller, whoever tells of it`() {
        storeJob()
        val progress = ProgressRecord(JobPhase.RUNNING).encode()
        listOf(HolderAnswer.State(JobPhase.RUNNING, own), HolderAnswer.NoJob(), null).forEach { answer ->
            holderAnswer = answer
            stateFor(other) shouldBe CallerAnswer.NoSuchJob
            cancelFor(other) shouldBe CallerAnswer.NoSuchJob
        }
        put(RowWrite(JobRows.progress(job.id), progress))
        stateFor(other) shouldBe CallerAnswer.NoSuchJob
    }

    // Guards against: the holder is told of a cancellation that is not stored, or a caller waits for that.
    @Test
    fun `the holder is told of a cancellation after the answer, and only of one that is stored`() {
        storeJob()
        val cancel = { caller: WorkspaceId? -> handler.cancel(queue, job.id, caller, 1_000) { told += it } }
        store.refusesWrites = true
        cancel(own)
        told.single().shouldBeInstanceOf<CallerAnswer.NotAccepted>()
        told.clear()
        store.refusesWrites = false
        cancel(own)
        cancel(other)
        val partition = JobRows.partitions.first()
        told shouldBe listOf(
            CallerAnswer.CancelStored,
            CancellationNotice(job.id, partition, StoredCancellation.CHECKED),
            CallerAnswer.NoSuchJob,
            CancellationNotice(job.id, partition, StoredCancellation(CancellationCaller(queue, other))),
        )
    }

    @Test
    fun `a caller gets the state of its own job, also from the stored rows`() {
        storeJob()
        holderAnswer = HolderAnswer.State(JobPhase.RUNNING, own)
        stateFor(own) shouldBe CallerAnswer.State(JobPhase.RUNNING)
        holderAnswer = HolderAnswer.NoJob()
        stateFor(own) shouldBe CallerAnswer.State(JobPhase.QUEUED)
        holderAnswer = null
        put(RowWrite(JobRows.progress(job.id), ProgressRecord(JobPhase.COMPLETED).encode()))
        stateFor(own) shouldBe CallerAnswer.State(JobPhase.COMPLETED)
        cancelFor(own) shouldBe CallerAnswer.CancelStored
    }

    // Guards against: a queue that has become public hides the jobs that were submitted with keys before.
    @Test
    fun `callers of a public queue see all of its jobs`() {
        storeJob()
        holderAnswer = HolderAnswer.State(JobPhase.RUNNING, own)
        stateFor(null) shouldBe CallerAnswer.State(JobPhase.RUNNING)
    }

    // Guards against: a public queue asks for keys, or one that is not lets callers in without.
    @Test
    fun `only queues that are not public have workspaces`() {
        val directory =
            WorkspaceDirectory(listOf(KeyedWorkspace(Workspace(own, 1.0, ResourceAmounts.NONE), listOf("key"))))
        val queues = listOf("/q/" to false, "/open/" to true).map { (prefix, isPublic) ->
            Queue(queueId("h", prefix), "h", prefix, PoolId("p"), 0, 1, 1.0, 0, 3_000, null, isPublic)
        }
        configuration = FleetConfiguration(1, queues, emptyMap(), CallerLimits(1_000), directory)
        (handler.route("h", "/q/1") as RouteResult.Found).workspaces shouldBe directory
        (handler.route("h", "/open/1") as RouteResult.Found).workspaces shouldBe null
    }

    private fun cancellationsOf(caller: WorkspaceId?): List<StoredRow> {
        val address = JobRows.cancellation(job.id, JobRows.partitions.first(), CancellationCaller(queue, caller))
        return store.rows.values.filter { it.address == address }
    }

    // Guards against: a caller learns from the answer, or from what is stored, that another workspace has a job.
    @Test
    fun `a cancellation is handled alike for an unknown job and for a job of another workspace`() {
        listOf(HolderAnswer.NoJob(), HolderAnswer.State(JobPhase.RUNNING, own)).forEach { answer ->
            store.rows.clear()
            holderAnswer = answer
            cancelFor(other) shouldBe CallerAnswer.NoSuchJob
            val row = cancellationsOf(other).single()
            StoredCancellation.decode(row.value!!).appliesTo(job) shouldBe false
        }
    }

    // Guards against: a caller replaces the cancellation of another one by its own, which does not apply to the job.
    @Test
    fun `cancellations of an unknown job by several callers are stored side by side`() {
        holderAnswer = HolderAnswer.NoJob()
        listOf(own, other, null).forEach { cancelFor(it) shouldBe CallerAnswer.NoSuchJob }
        store.rows.size shouldBe 3
        listOf(own to true, other to false, null to true).forEach { (caller, applies) ->
            StoredCancellation.decode(cancellationsOf(caller).single().value!!).appliesTo(job) shouldBe applies
        }
    }

    // Guards against: 410 on the strength of a look-up alone, while the job is on its way.
    @Test
    fun `a cancellation is answered only once it is stored`() {
        listOf(HolderAnswer.NoJob(), HolderAnswer.State(JobPhase.RUNNING, other), null).forEach { answer ->
            holderAnswer = answer
            store.failureMode = StoreFailureMode.REFUSES
            cancelFor(own).shouldBeInstanceOf<CallerAnswer.NotAccepted>()
            store.failureMode = StoreFailureMode.NONE
            store.refusesWrites = true
            cancelFor(own).shouldBeInstanceOf<CallerAnswer.NotAccepted>()
            store.refusesWrites = false
        }
    }

    // Guards against: requests to cancel unknown jobs fill the memory of the holder and the store.
    @Test
    fun `a holder with too many cancellations without a job accepts only those of known jobs`() {
        val rejected = CallerAnswer.NotAccepted(CallerAnswer.Cause.OVERLOADED, 1_000)
        holderAnswer = HolderAnswer.NoJob(acceptsCancellations = false)
        cancelFor(own) shouldBe rejected
        holderAnswer = HolderAnswer.State(JobPhase.RUNNING, other, acceptsCancellations = false)
        cancelFor(own) shouldBe rejected
        store.rows.size shouldBe 0
        holderAnswer = HolderAnswer.State(JobPhase.RUNNING, own, acceptsCancellations = false)
        cancelFor(own) shouldBe CallerAnswer.CancelStored
    }

    // Guards against: a node writes a job for as long as its caller says, and outlives the cancellation of the job.
    @Test
    fun `a write is not repeated for longer than a cancellation is certain to be kept`() {
        var nowMillis = 0L
        val answers = ArrayList<CallerAnswer>()
        val patient = handlerWithClock { nowMillis }
        store.failureMode = StoreFailureMode.SILENT
        patient.submit(queue, job, 3_600_000, answers::add)
        while (answers.isEmpty()) {
            nowMillis += 100
            actions.toList().also { actions.clear() }.forEach { it() }
        }
        answers.single() shouldBe CallerAnswer.Unknown
        nowMillis shouldBeLessThanOrEqual 10_000
        nowMillis shouldBeLessThan SchedulerSettings(5_000, 6_000, statusSeconds = 1).endedJobKeptMillis / 2
    }

    private fun handlerWithClock(nowMillis: () -> Long) = NodeJobRequestHandler(
        { configuration },
        store,
        holder,
        JobCommitter(store, { false }, { _, action -> actions += action }, nowMillis),
        JobRows.partitions.first(),
        JobLimits(65_536),
        NodeMetrics(PrometheusRegistry()),
        nowMillis = nowMillis,
    )
}
