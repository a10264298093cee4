// Which cancellations apply to a job that is read after them, and for how long they are kept.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.maps.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StoredRow
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.JobKnowledge
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.CancellationCaller
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.StoredCancellation
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.JobId
import org.gypsumturn.model.WorkspaceId

class JobIntakeTest : AnnotationSpec() {
    private val own = WorkspaceId("own")
    private val other = WorkspaceId("other")
    private val partition = JobRows.partitions.first()
    private val settings = SchedulerSettings(5_000, 6_000, 120)
    private val events = ArrayList<String>()
    private val fieldsByEvent = HashMap<String, Map<String, Any?>>()
    private lateinit var store: MemoryRowStore
    private lateinit var scheduler: BatchScheduler
    private lateinit var intake: JobIntake

    @BeforeEach
    fun reset() {
        events.clear()
        store = MemoryRowStore()
        startTerm(1)
    }

    private fun startTerm(epoch: Long) {
        scheduler = BatchScheduler(settings, Epoch(epoch), { _, _ -> })
        intake = JobIntake(scheduler, store, settings, ::recordEvent) { it() }
    }

    private fun recordEvent(event: String, fields: Array<out Pair<String, Any?>>) {
        events += event
        fieldsByEvent[event] = fields.toMap()
    }

    private fun job(number: Int, workspace: WorkspaceId?, prefix: String = "/q/") =
        BatchJob(idOf(number), "h", prefix, "", listOf(Step(1, ResourceAmounts(500))), workspace = workspace)

    private fun idOf(number: Int) = JobId("%016x".format(number))

    private fun storeCancellation(number: Int, workspace: WorkspaceId?, prefix: String = "/q/"): StoredRow {
        val caller = CancellationCaller("h$prefix", workspace)
        val address = JobRows.cancellation(idOf(number), partition, caller)
        put(RowWrite(address, StoredCancellation(caller).encode()))
        return store.rows.getValue(address)
    }

    private fun put(write: RowWrite) = store.transact(RowTransaction(emptyList(), listOf(write)), 1_000) { }

    private fun readJob(nowMillis: Long, job: BatchJob): JobPhase {
        val address = JobRows.job(job.id, JobRows.partitions.last())
        put(RowWrite(address, JobRows.encode(job)))
        intake.applyRows(nowMillis, listOf(store.rows.getValue(address)), neverStarted = true)
        return scheduler.job(job.id)!!.phase
    }

    // Guards against: one workspace cancels a job of another before it is submitted.
    @Test
    fun `a cancellation that is read first applies only to a job that its caller may see`() {
        val cases = listOf(
            Triple(own, own, JobPhase.CANCELLED),
            Triple(other, own, JobPhase.QUEUED),
            Triple(other, null, JobPhase.CANCELLED),
            Triple(null, null, JobPhase.CANCELLED),
            // The queue was made public after the job was submitted.
            Triple(null, own, JobPhase.CANCELLED),
        )
        cases.forEachIndexed { number, (caller, owner, phase) ->
            intake.applyRows(0, listOf(storeCancellation(number, caller)), neverStarted = true)
            readJob(100, job(number, owner)) shouldBe phase
        }
        events.count { it == "cancellation matched" } shouldBe 4
    }

    // Guards against: nothing tells which stored cancellation a holder applied, and how current its jobs were then.
    @Test
    fun `the line of a cancellation names its row and the age of the jobs that were known before it`() {
        readJob(0, job(1, own))
        scheduler.runSchedulingPass(1_000, 1_000, -1, JobKnowledge(400, 1_000))
        val row = storeCancellation(1, own)
        repeat(2) { intake.applyRows(1_200, listOf(row), neverStarted = true) }
        events.count { it == "cancellation applied" } shouldBe 1
        fieldsByEvent.getValue("cancellation applied") shouldBe mapOf(
            "job" to idOf(1),
            "partition" to partition,
            "by" to "feed",
            "revision" to row.revision,
            "held_ms" to 0L,
            "jobs_age_ms" to 800L,
        )
    }

    private fun notice(number: Int, workspace: WorkspaceId?): CancellationNotice =
        CancellationNotice(idOf(number), partition, StoredCancellation(CancellationCaller("h/q/", workspace)))

    // Guards against: a cancellation that another node tells of applies to a job that its caller may not see, or is
    // not applied although the job is known.
    @Test
    fun `a notice cancels a job of its caller at once, and no other`() {
        (1..2).forEach { readJob(0, job(it, own)) }
        val callsBefore = store.callCount
        intake.applyNotice(100, notice(1, own))
        store.callCount shouldBe callsBefore
        scheduler.job(idOf(1))!!.phase shouldBe JobPhase.CANCELLED
        intake.applyNotice(100, notice(2, other))
        scheduler.job(idOf(2))!!.phase shouldBe JobPhase.QUEUED
        fieldsByEvent.getValue("cancellation applied")["by"] shouldBe "notice"
    }

    // Guards against: a notice of a job that is read later is lost, or is kept without the row that it tells of.
    @Test
    fun `a notice of a job that is not known keeps the cancellation if its row is stored`() {
        intake.applyNotice(0, notice(1, own))
        intake.unmatchedCount shouldBe 0
        storeCancellation(1, own)
        intake.applyNotice(0, notice(1, own))
        intake.unmatchedCount shouldBe 1
        readJob(100, job(1, own)) shouldBe JobPhase.CANCELLED
    }

    // Guards against: notices of unknown jobs make the holder read without bound while the store is slow.
    @Test
    fun `notices of unknown jobs cause a bounded number of reads at once`() {
        val held = ArrayList<() -> Unit>()
        intake = JobIntake(scheduler, store, settings, ::recordEvent) { held += it }
        val callsBefore = store.callCount
        repeat(100) { intake.applyNotice(0, notice(it, own)) }
        store.callCount shouldBe callsBefore + 16
        held.forEach { it() }
        intake.applyNotice(0, notice(100, own))
        store.callCount shouldBe callsBefore + 17
    }

    // Guards against: callers of a public queue cancel jobs that other queues do not let them see.
    @Test
    fun `a cancellation on a public queue does not apply to a job that a workspace submits to another queue`() {
        intake.applyRows(0, listOf(storeCancellation(1, null, prefix = "/open/")), neverStarted = true)
        readJob(100, job(1, own)) shouldBe JobPhase.QUEUED
    }

    // Guards against: the order in which a takeover reads the partitions decides whether a job is cancelled.
    @Test
    fun `a cancellation applies in whichever order it is read, and only for its caller`() {
        readJob(0, job(1, own)) shouldBe JobPhase.QUEUED
        intake.applyRows(100, listOf(storeCancellation(1, other)), neverStarted = false)
        scheduler.job(idOf(1))!!.phase shouldBe JobPhase.QUEUED
        intake.applyRows(100, listOf(storeCancellation(1, own)), neverStarted = false)
        scheduler.job(idOf(1))!!.phase shouldBe JobPhase.CANCELLED
    }

    // Guards against: cancellations without a job stay in the store and in memory for ever.
    @Test
    fun `the rows of cancellations without a job are removed after the time for which ended jobs are kept`() {
        repeat(120) { intake.applyRows(0, listOf(storeCancellation(it, own)), neverStarted = true) }
        intake.removeExpiredRows(settings.endedJobKeptMillis)
        store.rows shouldHaveSize 120
        intake.removeExpiredRows(settings.endedJobKeptMillis + 2_001)
        store.rows.shouldBeEmpty()
        intake.unmatchedCount shouldBe 0
    }

    // Guards against: a removal that the store does not perform is not repeated, or forgotten before it is stored.
    @Test
    fun `a removal of cancellations that fails is repeated, and they apply until it succeeds`() {
        repeat(3) { intake.applyRows(0, listOf(storeCancellation(it, own)), neverStarted = true) }
        var nowMillis = settings.endedJobKeptMillis + 1
        listOf(StoreFailureMode.REFUSES, StoreFailureMode.SILENT).forEach { mode ->
            store.failureMode = mode
            nowMillis += 2_000
            intake.removeExpiredRows(nowMillis)
            store.rows shouldHaveSize 3
            intake.unmatchedCount shouldBe 3
        }
        store.failureMode = StoreFailureMode.ANSWER_LOST
        intake.removeExpiredRows(nowMillis + 2_000)
        store.rows.shouldBeEmpty()
        store.failureMode = StoreFailureMode.NONE
        intake.removeExpiredRows(nowMillis + 4_000)
        intake.unmatchedCount shouldBe 0
    }

    // Guards against: the removal of an expired cancellation takes a newer one of the same caller along.
    @Test
    fun `a cancellation that was stored again is kept anew`() {
        intake.applyRows(0, listOf(storeCancellation(1, own)), neverStarted = true)
        storeCancellation(1, own)
        val expiryMillis = settings.endedJobKeptMillis + 1
        intake.removeExpiredRows(expiryMillis)
        store.rows shouldHaveSize 1
        intake.removeExpiredRows(expiryMillis + settings.endedJobKeptMillis)
        readJob(expiryMillis + settings.endedJobKeptMillis, job(1, own)) shouldBe JobPhase.CANCELLED
    }

    // Guards against: a later holder takes over jobs but not the cancellations whose job is still on its way.
    @Test
    fun `a later holder keeps a cancellation from the beginning of its term`() {
        val row = storeCancellation(1, own)
        intake.applyRows(0, listOf(row), neverStarted = true)
        startTerm(2)
        intake.applyRows(settings.endedJobKeptMillis, listOf(row), neverStarted = false)
        intake.removeExpiredRows(2 * settings.endedJobKeptMillis)
        readJob(2 * settings.endedJobKeptMillis, job(1, own)) shouldBe JobPhase.CANCELLED
    }

    // Guards against: rows of versions that stored nothing but "{}" are read as unreadable.
    @Test
    fun `a cancellation that an earlier version stored applies whoever submitted the job`() {
        val address = JobRows.cancellation(idOf(1), partition)
        put(RowWrite(address, "{}".encodeToByteArray()))
        intake.applyRows(0, listOf(store.rows.getValue(address)), neverStarted = false)
        readJob(0, job(1, own)) shouldBe JobPhase.CANCELLED
    }

    // Guards against: a requester fills the memory of the holder with cancellations.
    @Test
    fun `further cancellations without a job are accepted only while there are fewer than the bound`() {
        val rows = (0 until 20_000).map { storeCancellation(it, own) }
        intake.applyRows(0, rows.drop(1), neverStarted = true)
        intake.acceptsUnmatched shouldBe true
        intake.applyRows(0, rows.take(1), neverStarted = true)
        intake.acceptsUnmatched shouldBe false
        readJob(0, job(0, own)) shouldBe JobPhase.CANCELLED
        intake.acceptsUnmatched shouldBe true
    }
}
