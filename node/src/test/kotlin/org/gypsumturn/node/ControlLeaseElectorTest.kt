// Tests of claiming, renewing and releasing the control lease, and of the sessions that start and end with it.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.lease.ClockReadings
import org.gypsumturn.batch.lease.ControlLease
import org.gypsumturn.batch.lease.LeaseRows
import org.gypsumturn.batch.lease.LeaseTimes
import org.gypsumturn.batch.machines.MachineTimes
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.CallerLimits
import org.gypsumturn.batch.model.ExecutorRecord
import org.gypsumturn.batch.model.ExecutorReport
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.Incarnation
import org.gypsumturn.batch.model.OrderAnswer
import org.gypsumturn.batch.model.PoolRecord
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.RefusalReason
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.RunId
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.model.queueId
import org.gypsumturn.batch.port.ExecutorCalls
import org.gypsumturn.batch.port.ExecutorTarget
import org.gypsumturn.batch.port.FleetUpdate
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.FleetUpdatePage
import org.gypsumturn.batch.port.PollAnswer
import org.gypsumturn.batch.port.PollOrder
import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.StartOrder
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict

private val POOL = PoolId("render")

class ControlLeaseElectorTest : AnnotationSpec() {
    /** Withholds the answers to transactions, which take effect, while [holdsAnswers] is set; answers reads at once. */
    private class SlowStore(val memory: MemoryRowStore = MemoryRowStore()) : RowStore by memory {
        var holdsAnswers = false
        val heldAnswers = ArrayDeque<() -> Unit>()

        override fun transact(
            transaction: RowTransaction,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<TransactionOutcome>,
        ) {
            memory.transact(transaction, timeoutMillis) { verdict ->
                if (holdsAnswers) heldAnswers.addLast { onVerdict(verdict) } else onVerdict(verdict)
            }
        }
    }

    private object SingleExecutorFeed : SilentFleetUpdateFeed() {
        override fun readAll(kind: FleetUpdateKind, timeoutMillis: Long, onVerdict: VerdictCallback<FleetUpdatePage>) {
            val capacity = ResourceAmounts(8_000, 8_000, 0)
            val id = InstanceId("x")
            val record =
                ExecutorRecord(
                    id,
                    Incarnation(1),
                    POOL,
                    "10.0.0.2:1",
                    DataCentreId("a"),
                    capacity,
                    emptySet(),
                    false,
                    null,
                )
            onVerdict(Verdict.Ran(FleetUpdatePage(listOf(FleetUpdate.ExecutorListed(record)), Revision.ABSENT, 0)))
        }
    }

    /** Answers polls with a report without runs, and records the runs that are started. */
    private class IdleExecutors : ExecutorCalls {
        val starts = ArrayList<RunId>()
        val startAnswers = ArrayDeque<VerdictCallback<OrderAnswer>>()
        var fencesOff = false

        override fun startRun(
            target: ExecutorTarget,
            order: StartOrder,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<OrderAnswer>,
        ) {
            starts += order.run
            startAnswers += onVerdict
        }

        override fun stopRun(
            target: ExecutorTarget,
            run: RunId,
            epoch: Epoch,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<OrderAnswer>,
        ) = Unit

        override fun setRunSpeed(
            target: ExecutorTarget,
            run: RunId,
            percent: Int,
            epoch: Epoch,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<OrderAnswer>,
        ) = Unit

        override fun poll(
            target: ExecutorTarget,
            order: PollOrder,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<PollAnswer>,
        ) {
            if (fencesOff) return onVerdict(Verdict.Ran(PollAnswer.Refused(RefusalReason.FENCED)))
            onVerdict(Verdict.Ran(PollAnswer.Reported(ExecutorReport(1_000, Incarnation(1), emptyList(), emptyList()))))
        }

        override fun closeConnections(target: ExecutorTarget) = Unit
    }

    /**
     * Leaves long polls unanswered. Each answer would cause the next poll at once, and the polls would never end. The
     * tests drive the elector with [ControlLeaseElector.runDueWork] instead.
     */
    private class UnansweredLongPolls(store: RowStore) : RowStore by store {
        override fun awaitChanges(
            table: String,
            after: Revision,
            waitMillis: Long,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<RowChanges>,
        ) = Unit
    }

    private val settings = SchedulerSettings(5_000, 6_000, 120)

    private var aheadMillis = 0L

    /** The clock of the elector and its sessions. It runs ahead of [NodeClock]. */
    private fun now(): ClockReadings {
        val nodeReadings = NodeClock.readings()
        return ClockReadings(nodeReadings.steadyMillis + aheadMillis, nodeReadings.wallMillis + aheadMillis)
    }

    private fun elector(
        node: String,
        store: RowStore,
        executors: ExecutorCalls = IdleExecutors(),
        reachesStoreOnlyThroughPeers: (Long) -> Boolean = { false },
    ): ControlLeaseElector {
        val rowStore = UnansweredLongPolls(store)
        val lease = ControlLease(node, "$node/1", "10.0.0.1:1", LeaseTimes(3_000, 600, 150))
        val ports =
            SessionPorts(
                rowStore,
                SingleExecutorFeed,
                executors,
                null,
                null,
                nowMillis = { now().steadyMillis },
                wallMillis = { now().wallMillis },
            )
        return ControlLeaseElector(lease, rowStore, 0, { it() }, ::now, reachesStoreOnlyThroughPeers) { heldLease ->
            HolderSession(heldLease, settings, MachineTimes(0, 0, 0), ports, { _, _ -> }, { }, { it() }) { _, _ -> }
        }
    }

    private fun ControlLeaseElector.schedulesJobs(): Boolean {
        var answered = false
        queryJobState(JobId("1")) { answered = it != null }
        return answered
    }

    @Test
    fun `the first process claims the lease and schedules jobs`() {
        val elector = elector("a", SlowStore())
        repeat(3) { elector.runDueWork() }
        elector.holder shouldBe HolderAddress.Self
        elector.schedulesJobs() shouldBe true
    }

    @Test
    fun `a session starts after a claim that took effect although its answer was lost`() {
        val store = SlowStore()
        val elector = elector("a", store)
        elector.runDueWork()
        store.memory.failureMode = StoreFailureMode.ANSWER_LOST
        elector.runDueWork()
        store.memory.failureMode = StoreFailureMode.NONE
        runFor(elector, 800)
        store.memory.rows.keys.count { it == LeaseRows.OWNER } shouldBe 1
        elector.schedulesJobs() shouldBe true
    }

    @Test
    fun `a holder whose session was fenced off by an executor claims the lease again and schedules in a new epoch`() {
        val store = SlowStore()
        val executors = IdleExecutors()
        val elector = elector("a", store, executors)
        executors.fencesOff = true
        runFor(elector, 100)
        executors.fencesOff = false
        runFor(elector, 800)
        elector.schedulesJobs() shouldBe true
        val owner = store.memory.rows.getValue(LeaseRows.OWNER).value!!.decodeToString()
        owner.contains("\"epoch\":1,") shouldBe false
    }

    // Guards against: a holder that learns of its successor by a refused start starts the task on another executor.
    @Test
    fun `a holder that an executor has fenced off gives no further orders`() {
        val store = SlowStore()
        val job = BatchJob(JobId("00"), "h.example", "/q/", "", listOf(Step(1, ResourceAmounts(1_000, 100, 0), 500)))
        val write = RowWrite(JobRows.job(job.id, JobRows.partitions.first()), JobRows.encode(job))
        store.memory.transact(RowTransaction(emptyList(), listOf(write)), 0) { }
        val executors = IdleExecutors()
        val elector = elector("a", store, executors)
        elector.configure(configuration())
        runFor(elector, 200)
        executors.starts.size shouldBe 1
        executors.startAnswers.removeFirst()(Verdict.Ran(OrderAnswer.Refused(RefusalReason.FENCED, 1_000)))
        elector.runDueWork()
        executors.starts.size shouldBe 1
    }

    private fun runFor(elector: ControlLeaseElector, millis: Long) {
        repeat((millis / 10).toInt()) {
            aheadMillis += 10
            elector.runDueWork()
        }
    }

    private fun configuration(): FleetConfiguration {
        val id = queueId("h.example", "/q/")
        val queue = Queue(id, "h.example", "/q/", POOL, 0, 2, 1.6, 600, 3_000, null)
        val pool = PoolRecord(POOL, true, false, "")
        return FleetConfiguration(1, listOf(queue), mapOf(POOL to pool), CallerLimits(1_000))
    }

    @Test
    fun `a job that was stored before a takeover and is written again after it does not count as never started`() {
        val store = SlowStore()
        val job = BatchJob(JobId("00"), "h.example", "/q/", "", listOf(Step(1, ResourceAmounts(1_000, 100, 0), 500)))
        val write = RowWrite(JobRows.job(job.id, JobRows.partitions.first()), JobRows.encode(job))
        val jobTransaction = RowTransaction(emptyList(), listOf(write))
        store.memory.transact(jobTransaction, 0) { }
        val executors = IdleExecutors()
        val elector = elector("b", store, executors)
        elector.configure(configuration())
        store.holdsAnswers = true
        repeat(2) { elector.runDueWork() }
        store.heldAnswers.removeFirst()()
        store.memory.transact(jobTransaction, 0) { }
        store.holdsAnswers = false
        while (store.heldAnswers.isNotEmpty()) store.heldAnswers.removeFirst()()
        repeat(4) { elector.runDueWork() }
        executors.starts.single().attempt shouldBe SchedulerSettings.ATTEMPTS_PER_EPOCH + 1
    }

    @Test
    fun `a holder that reaches the store only through peers hands the lease over to a node that reaches it directly`() {
        val store = SlowStore()
        var cutOff = false
        val firstElector = elector("a", store) { cutOff }
        runFor(firstElector, 100)
        firstElector.schedulesJobs() shouldBe true
        cutOff = true
        firstElector.runDueWork()
        firstElector.schedulesJobs() shouldBe false
        val secondElector = elector("b", SlowStore(store.memory))
        runFor(secondElector, 100)
        secondElector.schedulesJobs() shouldBe true
        runFor(firstElector, 3_000)
        firstElector.schedulesJobs() shouldBe false
        store.memory.rows.getValue(LeaseRows.OWNER).value!!.decodeToString().contains("\"epoch\":2,") shouldBe true
    }

    @Test
    fun `a holder whose lease nobody has claimed after a hand-over schedules again in a new epoch`() {
        val store = SlowStore()
        var cutOff = false
        val elector = elector("a", store) { cutOff }
        runFor(elector, 100)
        cutOff = true
        runFor(elector, 100)
        elector.schedulesJobs() shouldBe false
        cutOff = false
        runFor(elector, 2_000)
        elector.schedulesJobs() shouldBe true
        store.memory.rows.getValue(LeaseRows.OWNER).value!!.decodeToString().contains("\"epoch\":2,") shouldBe true
    }

    @Test
    fun `a holder that gives up the lease stops scheduling before the release is stored`() {
        val store = SlowStore()
        val firstElector = elector("a", store)
        repeat(3) { firstElector.runDueWork() }
        store.holdsAnswers = true
        var released = false
        firstElector.release { released = true }
        firstElector.runDueWork()
        val secondElector = elector("b", SlowStore(store.memory))
        repeat(3) { secondElector.runDueWork() }
        secondElector.schedulesJobs() shouldBe true
        firstElector.schedulesJobs() shouldBe false
        released shouldBe false
        store.heldAnswers.removeFirst()()
        released shouldBe true
    }
}
