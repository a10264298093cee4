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

class LeaseDutyTest : AnnotationSpec() {
    /** Keeps answers to transactions back while [held]; reads are answered at once. */
    private class SlowStore(val memory: MemoryRowStore = MemoryRowStore()) : RowStore by memory {
        var held = false
        val answers = ArrayDeque<() -> Unit>()

        override fun transact(
            transaction: RowTransaction,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<TransactionOutcome>,
        ) {
            memory.transact(transaction, timeoutMillis) { verdict ->
                if (held) answers.addLast { onVerdict(verdict) } else onVerdict(verdict)
            }
        }
    }

    private object OneExecutor : QuietNews() {
        override fun readAll(kind: FleetUpdateKind, timeoutMillis: Long, onVerdict: VerdictCallback<FleetUpdatePage>) {
            val capacity = ResourceAmounts(8_000, 8_000, 0)
            val id = InstanceId("x")
            val record =
                ExecutorRecord(
                    id,
                    Incarnation(
                        1,
                    ),
                    POOL, "10.0.0.2:1", DataCentreId("a"), capacity, emptySet(), false, null,
                )
            onVerdict(Verdict.Ran(FleetUpdatePage(listOf(FleetUpdate.ExecutorListed(record)), Revision.ABSENT, 0)))
        }
    }

    /** Answers looks with empty lists, and notes starts. */
    private class IdleExecutors : ExecutorCalls {
        val starts = ArrayList<RunId>()
        var fenced = false

        override fun startRun(
            t: ExecutorTarget,
            order: StartOrder,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<OrderAnswer>,
        ) {
            starts += order.run
        }

        override fun stopRun(
            t: ExecutorTarget,
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
            t: ExecutorTarget,
            order: PollOrder,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<PollAnswer>,
        ) {
            if (fenced) return onVerdict(Verdict.Ran(PollAnswer.Refused(RefusalReason.FENCED)))
            onVerdict(Verdict.Ran(PollAnswer.Reported(ExecutorReport(1_000, Incarnation(1), emptyList(), emptyList()))))
        }

        override fun closeConnections(target: ExecutorTarget) = Unit
    }

    /** Follows go unanswered, so that nothing recurses; the duty is driven by [LeaseDuty.work]. */
    private class QuietFollows(store: RowStore) : RowStore by store {
        override fun awaitChanges(
            table: String,
            after: Revision,
            waitMillis: Long,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<RowChanges>,
        ) = Unit
    }

    private val settings = SchedulerSettings(5_000, 120)

    private var aheadMillis = 0L

    /** The session reads the node's clock too, so that the test's runs ahead of it. */
    private fun now(): ClockReadings {
        val real = NodeClock.instants()
        return ClockReadings(real.steadyMillis + aheadMillis, real.wallMillis + aheadMillis)
    }

    private fun duty(node: String, store: RowStore, executors: ExecutorCalls = IdleExecutors()): LeaseDuty {
        val quiet = QuietFollows(store)
        val lease = ControlLease(node, "$node/1", "10.0.0.1:1", LeaseTimes(3_000, 600, 150))
        val ports = SessionPorts(quiet, OneExecutor, executors, null, null)
        return LeaseDuty(lease, quiet, 0, { it() }, ::now) { held ->
            HolderSession(held, settings, MachineTimes(0, 0, 0), ports, { _, _ -> }, { it() }) { _, _ -> }
        }
    }

    private fun LeaseDuty.schedules(): Boolean {
        var answered = false
        jobState(JobId("1")) { answered = it != null }
        return answered
    }

    @Test
    fun `the first process that comes holds the lease and schedules`() {
        val duty = duty("a", SlowStore())
        repeat(3) { duty.work() }
        duty.holder shouldBe HolderAddress.Self
        duty.schedules() shouldBe true
    }

    @Test
    fun `a claim that took effect without an answer is followed by a session`() {
        val store = SlowStore()
        val duty = duty("a", store)
        duty.work()
        store.memory.trouble = StoreTrouble.ANSWER_LOST
        duty.work()
        store.memory.trouble = StoreTrouble.NONE
        workFor(duty, 800)
        store.memory.rows.keys.count { it == LeaseRows.OWNER } shouldBe 1
        duty.schedules() shouldBe true
    }

    @Test
    fun `a holder whose session an executor fenced off claims anew instead of holding the lease idle`() {
        val store = SlowStore()
        val executors = IdleExecutors()
        val duty = duty("a", store, executors)
        executors.fenced = true
        workFor(duty, 100)
        executors.fenced = false
        workFor(duty, 800)
        duty.schedules() shouldBe true
        val owner = store.memory.rows.getValue(LeaseRows.OWNER).value!!.decodeToString()
        owner.contains("\"epoch\":1,") shouldBe false
    }

    private fun workFor(duty: LeaseDuty, millis: Long) {
        repeat((millis / 10).toInt()) {
            aheadMillis += 10
            duty.work()
        }
    }

    private fun configuration(): FleetConfiguration {
        val id = queueId("h.example", "/q/")
        val queue = Queue(id, "h.example", "/q/", POOL, 0, 2, 1.6, 600, 3_000, null)
        val pool = PoolRecord(POOL, true, false, "")
        return FleetConfiguration(1, listOf(queue), mapOf(POOL to pool), CallerLimits(1_000))
    }

    @Test
    fun `a job whose row is written again after a takeover is not taken for a new one`() {
        val store = SlowStore()
        val job = BatchJob(JobId("00"), "h.example", "/q/", "", listOf(Step(1, ResourceAmounts(1_000, 100, 0), 500)))
        val write = RowWrite(JobRows.job(job.id, JobRows.partitions.first()), JobRows.encode(job))
        val again = RowTransaction(emptyList(), listOf(write))
        store.memory.transact(again, 0) { }
        val executors = IdleExecutors()
        val duty = duty("b", store, executors)
        duty.configured(configuration())
        store.held = true
        repeat(2) { duty.work() }
        store.answers.removeFirst()()
        store.memory.transact(again, 0) { }
        store.held = false
        while (store.answers.isNotEmpty()) store.answers.removeFirst()()
        repeat(4) { duty.work() }
        executors.starts.single().attempt shouldBe SchedulerSettings.ATTEMPTS_PER_EPOCH + 1
    }

    @Test
    fun `a holder that gives the lease up schedules nothing from before the store knows it`() {
        val store = SlowStore()
        val first = duty("a", store)
        repeat(3) { first.work() }
        store.held = true
        var released = false
        first.release { released = true }
        first.work()
        val second = duty("b", SlowStore(store.memory))
        repeat(3) { second.work() }
        second.schedules() shouldBe true
        first.schedules() shouldBe false
        released shouldBe false
        store.answers.removeFirst()()
        released shouldBe true
    }
}
