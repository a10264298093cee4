// A caller cancels a job while the write of the job is under way, with real request handlers of two nodes and a real
// session of the lease holder between them.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.gypsumturn.batch.desk.CallerAnswer
import org.gypsumturn.batch.lease.ClockReadings
import org.gypsumturn.batch.lease.ControlLease
import org.gypsumturn.batch.lease.LeaseRows
import org.gypsumturn.batch.lease.LeaseTimes
import org.gypsumturn.batch.machines.MachineTimes
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.JobLimits
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.port.ExecutorCalls
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.FleetUpdatePage
import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.Failure
import org.gypsumturn.model.FailureKind
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import java.lang.reflect.Proxy

class CancellationInTransitTest : AnnotationSpec() {
    /** Performs the writes of jobs only when the test lets it, and answers a long poll only then. */
    private class DelayedWriteStore(private val memory: MemoryRowStore) : RowStore by memory {
        private val delayed = ArrayList<RowTransaction>()
        private var poll: (() -> Unit)? = null
        var delaysWrites = false
        var discardsHistory = false

        override fun transact(
            transaction: RowTransaction,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<TransactionOutcome>,
        ) {
            if (delaysWrites && transaction.writes.any { it.address.table == JobRows.TABLE }) {
                delayed += transaction
                onVerdict(Verdict.MayHaveRun(Failure(FailureKind.TIMEOUT, "no answer in time")))
            } else {
                memory.transact(transaction, timeoutMillis, onVerdict)
            }
        }

        override fun awaitChanges(
            table: String,
            after: Revision,
            waitMillis: Long,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<RowChanges>,
        ) {
            if (table == JobRows.TABLE) {
                poll = {
                    if (discardsHistory) {
                        discardsHistory = false
                        onVerdict(Verdict.Ran(RowChanges.Discarded))
                    } else {
                        memory.awaitChanges(table, after, waitMillis, timeoutMillis, onVerdict)
                    }
                }
            }
        }

        fun performDelayedWrites() {
            delayed.forEach { memory.transact(it, 0) { } }
            delayed.clear()
        }

        fun answerPoll() {
            poll.also { poll = null }?.invoke()
        }
    }

    private object EmptyFeed : SilentFleetUpdateFeed() {
        override fun readAll(kind: FleetUpdateKind, timeoutMillis: Long, onVerdict: VerdictCallback<FleetUpdatePage>) =
            onVerdict(Verdict.Ran(FleetUpdatePage(emptyList(), Revision(0), 0)))
    }

    /** A holder without executors never calls one. */
    private val noExecutors = Proxy.newProxyInstance(
        ExecutorCalls::class.java.classLoader,
        arrayOf(ExecutorCalls::class.java),
    ) { _, method, _ -> error("${method.name} was called without executors") } as ExecutorCalls

    private val id = JobId("00c0ffee00c0ffee")
    private val job = BatchJob(id, "h", "/q/", "", listOf(Step(1, ResourceAmounts(500))))
    private val queue = Queue(job.queue, "h", "/q/", PoolId("p"), 0, 1, 1.0, 0, 3_000, null)
    private val settings = SchedulerSettings(5_000, 6_000, 120)
    private val delayedActions = ArrayList<() -> Unit>()
    private lateinit var store: DelayedWriteStore
    private lateinit var session: HolderSession
    private val holder = object : HolderQueries {
        override fun queryState(id: JobId, timeoutMillis: Long, reply: (HolderAnswer?) -> Unit) =
            reply(session.jobState(id))

        override fun countPending(queue: Queue, timeoutMillis: Long, reply: (Int?) -> Unit) = reply(null)
    }

    @BeforeEach
    fun reset() {
        delayedActions.clear()
        store = DelayedWriteStore(MemoryRowStore())
        session = newSession("a")
    }

    private fun newSession(node: String): HolderSession {
        val lease = ControlLease(node, "$node/1", "10.0.0.1:1", LeaseTimes(3_000, 600, 150))
        store.read(LeaseRows.LEASE_TABLE, LeaseRows.PARTITION, null, 10, 1_000) { verdict ->
            (verdict as Verdict.Ran).value.let { lease.applyRows(it.rows, it.storeMillis) }
        }
        store.transact(lease.claimTransaction(), 1_000) { verdict ->
            val outcome = (verdict as Verdict.Ran).value as TransactionOutcome.Committed
            lease.onClaimCommitted(outcome, now())
        }
        val ports = SessionPorts(store, EmptyFeed, noExecutors, null, null)
        val post: Post = { it() }
        return HolderSession(lease, settings, MachineTimes(0, 0, 0), ports, { _, _ -> }, { }, post) { _, _ -> }
            .also { it.start() }
    }

    private fun now(): ClockReadings = NodeClock.readings()

    private fun handler(partition: Int): NodeJobRequestHandler {
        var nowMillis = 0L
        val postDelayed: DelayedPost = { delayMillis, action ->
            delayedActions += {
                nowMillis += delayMillis
                action()
            }
        }
        return NodeJobRequestHandler(
            { null },
            store,
            holder,
            JobCommitter(store, { false }, postDelayed) { nowMillis },
            JobRows.partitions[partition],
            JobLimits(65_536),
            NodeMetrics(PrometheusRegistry()),
        ) { nowMillis }
    }

    /** Submits the job at the first node. Its write gets no answer, and the store performs it later. */
    private fun submitWithDelayedWrite() {
        store.delaysWrites = true
        handler(partition = 0).submit(queue, job, 3_000) { }
        store.delaysWrites = false
    }

    private fun runDelayedActions() {
        val actions = delayedActions.toList()
        delayedActions.clear()
        actions.forEach { it() }
    }

    private fun cancelAtOtherNode(): CallerAnswer {
        lateinit var answer: CallerAnswer
        handler(partition = 1).cancel(queue, id, null, 3_000) { answer = it }
        return answer
    }

    private fun phaseAtHolder(): JobPhase? {
        store.answerPoll()
        repeat(3) { session.runDueWork(now()) }
        return (session.jobState(id) as? HolderAnswer.State)?.phase
    }

    // Guards against: a caller cancels a job that is on its way, gets 410, and the job runs (review/10, UNASKED).
    @Test
    fun `a job whose cancellation was answered does not run when the store performs its write later`() {
        submitWithDelayedWrite()
        cancelAtOtherNode() shouldBe CallerAnswer.NoSuchJob
        store.performDelayedWrites()
        phaseAtHolder() shouldBe JobPhase.CANCELLED
    }

    // Guards against: the same, by a node that repeats a write without an answer.
    @Test
    fun `a job whose cancellation was answered does not run when its node writes it again`() {
        submitWithDelayedWrite()
        cancelAtOtherNode() shouldBe CallerAnswer.NoSuchJob
        runDelayedActions()
        phaseAtHolder() shouldBe JobPhase.CANCELLED
    }

    // Guards against: the same, by a request of the caller that arrives once more.
    @Test
    fun `a job whose cancellation was answered does not run when it is submitted again`() {
        cancelAtOtherNode() shouldBe CallerAnswer.NoSuchJob
        handler(partition = 2).submit(queue, job, 3_000) { it shouldBe CallerAnswer.Accepted }
        phaseAtHolder() shouldBe JobPhase.CANCELLED
    }

    // Guards against: only the holder that has read the cancellation knows of it.
    @Test
    fun `a cancellation without a job holds for the next holder`() {
        submitWithDelayedWrite()
        cancelAtOtherNode() shouldBe CallerAnswer.NoSuchJob
        phaseAtHolder() shouldBe null
        session.close()
        session = newSession("b")
        store.performDelayedWrites()
        phaseAtHolder() shouldBe JobPhase.CANCELLED
    }

    // Guards against: the holder that reads all rows again passes over the cancellations.
    @Test
    fun `a cancellation without a job holds when the store has discarded its history`() {
        submitWithDelayedWrite()
        cancelAtOtherNode() shouldBe CallerAnswer.NoSuchJob
        store.performDelayedWrites()
        store.discardsHistory = true
        phaseAtHolder() shouldBe JobPhase.CANCELLED
    }
}
