// Random orders of submissions and cancellations of the same jobs, with lost and late writes, takeovers and a store
// that discards its history. The request handlers, the takeover reader and the intake of the lease holder are the real
// ones.

package org.gypsumturn.node

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.batch.desk.CallerAnswer
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobLimits
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.model.queueId
import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.schedule.BatchScheduler
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.WorkspaceId
import kotlin.random.Random

class CancellationModelTest : AnnotationSpec() {
    /** One term of the lease: what [HolderSession] does with the rows of jobs. */
    private inner class Term(private val loop: VirtualLoop, store: LossyRowStore, epoch: Long, statusSeconds: Long) {
        private val settings = SchedulerSettings(5_000, 6_000, statusSeconds)
        private val startedMillis = loop.nowMillis
        private val rows = store
        val scheduler = BatchScheduler(settings, Epoch(epoch), { _, _ -> })
        val intake = JobIntake(scheduler, store, settings, { _, _ -> }) { it() }
        var ready = false
        val startMillis get() = startedMillis

        fun start(onReady: () -> Unit) {
            readAll { stored ->
                intake.applyRows(loop.nowMillis, stored.jobRows, stored.progressRows, neverStarted = false)
                ready = true
                onReady()
                follow(stored.jobsRevision)
                removeRows()
            }
        }

        private fun readAll(onRead: (StoredJobs) -> Unit) =
            TakeoverReader(rows, { it() }, loop::runAfter) { if (!intake.closed) onRead(it) }.start()

        private fun follow(after: Revision) {
            rows.awaitChanges(JobRows.TABLE, after, 1_000, 1_700) { verdict ->
                if (!intake.closed) onChanges(after, (verdict as? Verdict.Ran)?.value)
            }
        }

        private fun onChanges(after: Revision, changes: RowChanges?) {
            when (changes) {
                is RowChanges.Known -> {
                    intake.applyRows(loop.nowMillis, changes.rows, neverStarted = true)
                    follow(changes.revision)
                }

                RowChanges.Discarded -> readAll { stored ->
                    intake.applyRows(loop.nowMillis, stored.jobRows, neverStarted = true)
                    follow(stored.jobsRevision)
                }

                null -> loop.runAfter(100) { if (!intake.closed) follow(after) }
            }
        }

        private fun removeRows() {
            if (intake.closed) return
            intake.removeExpiredRows(loop.nowMillis)
            loop.runAfter(500, ::removeRows)
        }
    }

    /** A job, what its callers did, and when a cancellation that applies to it was first answered with 200 or 410. */
    private class ModelJob(val spec: BatchJob) {
        var cancelledMillis: Long? = null
        var wasCancelledByOwner = false
    }

    private inner class Walk(seed: Int, statusSeconds: Long, isStored: (RowTransaction) -> Boolean) {
        val breaches = ArrayList<String>()
        private val random = Random(seed)
        private val loop = VirtualLoop()
        private val store = LossyRowStore(loop, random, isStored)
        private val jobs = List(JOBS) { number ->
            val owner = OWNERS[number % OWNERS.size]
            val id = JobId("%016x".format(number))
            ModelJob(BatchJob(id, "h", "/q/", "", listOf(Step(1, ResourceAmounts(500))), workspace = owner))
        }
        private val queue = Queue(queueId("h", "/q/"), "h", "/q/", PoolId("p"), 0, 1, 1.0, 0, 3_000, null)
        private var epoch = 0L
        private val newTerm = { Term(loop, store, ++epoch, statusSeconds) }
        private var term = newTerm()
        private val holder = object : HolderQueries {
            override fun queryState(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit) {
                if (random.nextDouble() < 0.1) loop.runAfter(timeoutMillis) { reply(null) } else reply(answerFor(id))
            }

            override fun countPending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit) = reply(null)
        }
        private val handlers = List(3) { node ->
            val committer = JobCommitter(store, { false }, loop::runAfter) { loop.nowMillis }
            val metrics = NodeMetrics(PrometheusRegistry())
            NodeJobRequestHandler(
                { null },
                store,
                holder,
                committer,
                JobRows.partitions[node],
                JobLimits(65_536),
                metrics,
            ) { loop.nowMillis }
        }

        private fun answerFor(id: JobId): HolderAnswer? {
            if (!term.ready) return null
            return term.scheduler.job(id)?.let { HolderAnswer.State(it.visiblePhase, it.job.workspace) }
                ?: HolderAnswer.NoJob()
        }

        fun run(): List<String> {
            store.failingShare = random.nextDouble(0.0, 0.6)
            term.start { }
            jobs.forEach(::planRequests)
            repeat(random.nextInt(4)) { loop.runAfter(random.nextLong(TRAFFIC_MILLIS)) { takeOver() } }
            repeat(random.nextInt(3)) { loop.runAfter(random.nextLong(TRAFFIC_MILLIS)) { store.discardHistory() } }
            loop.runUntil(TRAFFIC_MILLIS)
            store.failingShare = 0.0
            loop.runUntil(TRAFFIC_MILLIS + SETTLE_MILLIS)
            check("at the end", Long.MAX_VALUE)
            takeOver()
            loop.runUntil(loop.nowMillis + SETTLE_MILLIS)
            check("after a takeover at the end", Long.MAX_VALUE)
            return breaches
        }

        private fun planRequests(job: ModelJob) {
            val firstMillis = random.nextLong(TRAFFIC_MILLIS - MAX_REPEAT_MILLIS)
            repeat(random.nextInt(1, 4)) { repeated ->
                val delayMillis = if (repeated == 0) 0 else random.nextLong(MAX_REPEAT_MILLIS)
                loop.runAfter(firstMillis + delayMillis) { handlers.random(random).submit(queue, job.spec, 3_000) { } }
            }
            if (random.nextBoolean()) {
                loop.runAfter(firstMillis + random.nextLong(1_000)) {
                    job.wasCancelledByOwner = true
                    cancel(job, job.spec.workspace, CANCEL_TRIES)
                }
            }
            // Another workspace may know the id, and must not be able to do anything with it.
            if (job.spec.workspace != null && random.nextBoolean()) {
                loop.runAfter(firstMillis + random.nextLong(1_000)) { cancel(job, STRANGER, 1) }
            }
        }

        private fun cancel(job: ModelJob, caller: WorkspaceId?, tries: Int) {
            handlers.random(random).cancel(queue, job.spec.id, caller, 3_000) { answer ->
                val answered = answer == CallerAnswer.CancelStored || answer == CallerAnswer.NoSuchJob
                when {
                    answered && caller != STRANGER -> job.cancelledMillis = job.cancelledMillis ?: loop.nowMillis
                    answer == CallerAnswer.CancelStored -> breaches += "a stranger has cancelled ${job.spec.id}"
                    !answered && tries > 1 -> loop.runAfter(200) { cancel(job, caller, tries - 1) }
                }
            }
        }

        private fun takeOver() {
            term.intake.closed = true
            val started = newTerm()
            term = started
            started.start { check("when term $epoch is ready", started.startMillis) }
        }

        /** Checks the jobs at the holder whose cancellation was answered before [answeredBeforeMillis]. */
        private fun check(moment: String, answeredBeforeMillis: Long) {
            jobs.forEach { job ->
                val state = term.scheduler.job(job.spec.id) ?: return@forEach
                val isCancelled = state.phase == JobPhase.CANCELLED
                val mustBe = job.cancelledMillis?.let { it < answeredBeforeMillis } == true
                if (mustBe &&
                    !isCancelled
                ) {
                    breaches += "$moment: ${job.spec.id} is ${state.phase} after its cancellation"
                }
                if (isCancelled && !job.wasCancelledByOwner) breaches += "$moment: nobody has cancelled ${job.spec.id}"
            }
        }

        /** Rows of cancellations that are left when all of them have expired. */
        fun leftCancellations(): List<String> {
            loop.runUntil(loop.nowMillis + 2 * SchedulerSettings(1, 1, STATUS_SECONDS).endedJobKeptMillis)
            return store.memory.rows.keys.filter { JobRows.cancelledJob(it) != null }
                .filter { term.scheduler.job(JobRows.cancelledJob(it)!!) == null }.map { it.key }
        }
    }

    private fun walkWithBreach(
        statusSeconds: Long = STATUS_SECONDS,
        isStored: (RowTransaction) -> Boolean = { true },
    ): Int? = (0 until WALKS).firstOrNull { Walk(it, statusSeconds, isStored).run().isNotEmpty() }

    // Guards against: UNASKED in any order of a submission, its repeats, a cancellation, takeovers and late writes.
    @Test
    fun `a job never outlives a cancellation that was answered, and no other workspace can cancel it`() {
        repeat(WALKS) { seed ->
            val walk = Walk(seed, STATUS_SECONDS) { true }
            withClue("seed $seed") {
                walk.run().shouldBeEmpty()
                walk.leftCancellations().shouldBeEmpty()
            }
        }
    }

    // The search must find the fault of review/10 when it is put back: nothing is stored for a job that is not found.
    @Test
    fun `the search finds cancellations that are answered on the strength of a look-up`() {
        val found = walkWithBreach { transaction ->
            transaction.writes.none { it.value != null && it.address.key.contains("/cancel/") }
        }
        withClue("seed $found") { (found ?: -1) shouldBeGreaterThan -1 }
    }

    // The search must find cancellations that are forgotten before the last write of their job can take effect.
    @Test
    fun `the search finds cancellations that are kept for too short a time`() {
        val found = walkWithBreach(statusSeconds = TOO_SHORT_STATUS_SECONDS)
        withClue("seed $found") { (found ?: -1) shouldBeGreaterThan -1 }
    }

    private companion object {
        /** More are searched with `-Dcheck.walks`. */
        val WALKS = Integer.getInteger("check.walks", 150)
        const val JOBS = 12
        const val TRAFFIC_MILLIS = 20_000L
        const val MAX_REPEAT_MILLIS = 8_000L
        const val SETTLE_MILLIS = 8_000L
        const val CANCEL_TRIES = 20
        const val STATUS_SECONDS = 120L

        /** With the 30 s that are added to the status time, rows are kept for one second. */
        const val TOO_SHORT_STATUS_SECONDS = -29L
        val STRANGER = WorkspaceId("stranger")
        val OWNERS = listOf(null, WorkspaceId("a"), WorkspaceId("b"))
    }
}
