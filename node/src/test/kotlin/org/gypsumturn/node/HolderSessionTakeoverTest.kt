// Tests what a new session waits for before it starts tasks that an earlier holder may have started.

package org.gypsumturn.node

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.lease.ControlLease
import org.gypsumturn.batch.lease.LeaseRows
import org.gypsumturn.batch.lease.LeaseTimes
import org.gypsumturn.batch.machines.MachineTimes
import org.gypsumturn.batch.model.BatchJob
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.model.Step
import org.gypsumturn.batch.port.ExecutorCalls
import org.gypsumturn.batch.port.FleetUpdateKind
import org.gypsumturn.batch.port.FleetUpdatePage
import org.gypsumturn.batch.port.RowChanges
import org.gypsumturn.batch.port.RowStore
import org.gypsumturn.batch.port.RowTransaction
import org.gypsumturn.batch.port.RowWrite
import org.gypsumturn.batch.port.TransactionOutcome
import org.gypsumturn.batch.port.VerdictCallback
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.batch.state.PoolRoster
import org.gypsumturn.model.JobId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import org.gypsumturn.model.Verdict
import java.lang.reflect.Proxy

private const val MAX_LEASE_MILLIS = 300L

class HolderSessionTakeoverTest : AnnotationSpec() {
    /** Answers the reading of the executors' entries when the test lets it. */
    private class HeldFeed : SilentFleetUpdateFeed() {
        private var answer: (() -> Unit)? = null

        override fun readAll(kind: FleetUpdateKind, timeoutMillis: Long, onVerdict: VerdictCallback<FleetUpdatePage>) {
            answer = { onVerdict(Verdict.Ran(FleetUpdatePage(emptyList(), Revision(0), 0))) }
        }

        fun answerReading() {
            answer.also { answer = null }?.invoke()
        }
    }

    private class UnansweredLongPolls(memory: RowStore) : RowStore by memory {
        override fun awaitChanges(
            table: String,
            after: Revision,
            waitMillis: Long,
            timeoutMillis: Long,
            onVerdict: VerdictCallback<RowChanges>,
        ) = Unit
    }

    private val silentExecutors = Proxy.newProxyInstance(
        ExecutorCalls::class.java.classLoader,
        arrayOf(ExecutorCalls::class.java),
    ) { _, _, _ -> null } as ExecutorCalls

    private val settings = SchedulerSettings(MAX_LEASE_MILLIS, MAX_LEASE_MILLIS, 120)
    private val log = ArrayList<String>()

    /** Starts the session of the second term, in which a job and the roster of an executor are stored. */
    private fun newSession(feed: HeldFeed): HolderSession {
        val job = BatchJob(JobId("00c0ffee00c0ffee"), "h", "/q/", "", listOf(Step(1, ResourceAmounts(500))))
        val roster = PoolRoster(mapOf("x" to "10.0.0.2:1"), setOf(job.queue.value))
        val writes = listOf(
            RowWrite(JobRows.job(job.id, JobRows.partitions.first()), JobRows.encode(job)),
            RowWrite(PoolRoster.address(PoolId("p")), roster.encode()),
        )
        val store = MemoryRowStore()
        store.transact(RowTransaction(emptyList(), writes), 1_000) { }
        val lease = listOf("a", "b").map { claim(store, it) }.last()
        val ports = SessionPorts(UnansweredLongPolls(store), feed, silentExecutors, null, null)
        val post: Post = { it() }
        return HolderSession(
            lease,
            settings,
            MachineTimes(0, 0, 0),
            ports,
            { event, _ -> log += event },
            { },
            post,
        ) { _, _ -> }
    }

    private fun claim(store: MemoryRowStore, node: String): ControlLease {
        val lease = ControlLease(node, "$node/1", "10.0.0.1:1", LeaseTimes(60_000, 600, 150))
        store.read(LeaseRows.LEASE_TABLE, LeaseRows.PARTITION, null, 10, 1_000) { verdict ->
            (verdict as Verdict.Ran).value.let { lease.applyRows(it.rows, it.storeMillis) }
        }
        store.transact(lease.claimTransaction(), 1_000) { verdict ->
            val outcome = (verdict as Verdict.Ran).value as TransactionOutcome.Committed
            lease.onClaimCommitted(outcome, NodeClock.readings())
        }
        return lease
    }

    // Guards against: the wait for the leases of earlier holders begins anew once a slow store has answered.
    @Test
    fun `leases of earlier holders count from the beginning of the term`() {
        val feed = HeldFeed()
        val session = newSession(feed)
        session.start()
        Thread.sleep(settings.earlierLeasesMillis + 1)
        feed.answerReading()
        session.runDueWork(NodeClock.readings())
        log.contains("recovery over") shouldBe true
    }

    // Guards against: tasks are started while an executor that can't be asked may still run them.
    @Test
    fun `leases of earlier holders are waited for`() {
        val feed = HeldFeed()
        val session = newSession(feed)
        session.start()
        feed.answerReading()
        session.runDueWork(NodeClock.readings())
        log.contains("recovery over") shouldBe false
    }
}
