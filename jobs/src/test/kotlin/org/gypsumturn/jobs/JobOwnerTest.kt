// Tests that owners run each job despite faults of the table and the workers, and despite changes of ownership.

package org.gypsumturn.jobs

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.mutate
import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.JobId
import org.gypsumturn.model.JobState
import org.gypsumturn.model.NodeId
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.model.Team
import org.gypsumturn.model.TeamId
import org.gypsumturn.model.valueOrNull
import org.gypsumturn.ports.fake.FakeTableStore
import org.gypsumturn.ports.fake.FakeWorkerTasks
import org.gypsumturn.ports.fake.PortFault
import org.gypsumturn.ports.fake.TaskScript
import org.gypsumturn.ports.fake.WorkerFault

class JobOwnerTest : AnnotationSpec() {
    private class Fixture {
        var nowMillis = 1_000_000L
        var tableFault = PortFault.NONE
        var workerFault = WorkerFault.NONE
        var script = TaskScript(3_000, Capacity(500, 256), output = "done")
        val table = FakeTableStore { tableFault }
        val workers = FakeWorkerTasks({ nowMillis }, { workerFault }) { _, _ -> script }
        val acceptance = JobAcceptance(table)
        val view = fleet()

        fun owner(self: NodeId = SELF) = JobOwner(table, workers, self)

        fun JobOwner.run(millis: Long, live: Set<NodeId> = setOf(SELF)) {
            val end = nowMillis + millis
            while (nowMillis < end) {
                step(nowMillis, view, live)
                nowMillis += 250
            }
        }

        fun state(id: String) = acceptance.get(POOL, JobId(id), TIMEOUT_MILLIS).valueOrNull()?.state
    }

    @Test
    fun `a job runs once and its output is recorded`(): Unit = with(Fixture()) {
        val owner = owner()
        acceptance.accept(nowMillis, spec("a", idempotent = false), TIMEOUT_MILLIS)
        owner.run(10_000)
        owner.ownedPools() shouldBe listOf(POOL)
        val record = acceptance.get(POOL, JobId("a"), TIMEOUT_MILLIS).valueOrNull()!!
        record.state shouldBe JobState.FINISHED
        record.output shouldBe "done"
        workers.runs shouldHaveSize 1
        owner.counts().openJobs shouldBe 0
        table.scan("inbox/", null, 10, TIMEOUT_MILLIS).valueOrNull()!!.shouldBeEmpty()
        Unit
    }

    @Test
    fun `a cancelled waiting job never starts and a cancelled running job is stopped`(): Unit = with(Fixture()) {
        script = TaskScript(60_000, Capacity(500, 256))
        val owner = owner()
        acceptance.accept(nowMillis, spec("running"), TIMEOUT_MILLIS)
        owner.run(1_000)
        acceptance.accept(nowMillis, spec("waiting"), TIMEOUT_MILLIS)
        val ids = listOf(JobId("running"), JobId("waiting"))
        val answer = acceptance.cancel(nowMillis, CancelSelection.Ids(POOL, ids), TIMEOUT_MILLIS)
        answer.valueOrNull() shouldBe CancelledJobs(1, 1, 0, emptyList())
        owner.run(10_000)
        state("running") shouldBe JobState.CANCELLED
        state("waiting") shouldBe JobState.CANCELLED
        workers.runs.map { it.key.job } shouldBe listOf(JobId("running"))
        Unit
    }

    @Test
    fun `after a lost start an idempotent job runs again and any other ends as may have run`(): Unit = with(Fixture()) {
        workerFault = WorkerFault.LOSE_REQUEST
        val owner = owner()
        acceptance.accept(nowMillis, spec("again"), TIMEOUT_MILLIS)
        acceptance.accept(nowMillis, spec("once", idempotent = false), TIMEOUT_MILLIS)
        owner.run(80_000)
        state("once") shouldBe JobState.MAY_HAVE_RUN
        workerFault = WorkerFault.NONE
        owner.run(60_000)
        state("again") shouldBe JobState.FINISHED
        workers.runs.filter { it.key.job == JobId("once") }.shouldBeEmpty()
        Unit
    }

    @Test
    fun `a running job survives a table outage and its end is recorded afterwards`(): Unit = with(Fixture()) {
        script = TaskScript(120_000, Capacity(500, 256), output = "long")
        val owner = owner()
        acceptance.accept(nowMillis, spec("long", idempotent = false), TIMEOUT_MILLIS)
        owner.run(2_000)
        tableFault = PortFault.REFUSE
        owner.run(1_800_000)
        state("long") shouldBe null
        tableFault = PortFault.NONE
        owner.run(20_000)
        state("long") shouldBe JobState.FINISHED
        workers.runs shouldHaveSize 1
        Unit
    }

    @Test
    fun `an idle owner notices that another owner took its pool and left a job in it`(): Unit = with(Fixture()) {
        val other = NodeId("control-2")
        val idle = owner()
        idle.run(1_000)
        val second = owner(other)
        second.run(1_000, setOf(other))
        acceptance.accept(nowMillis, spec("a"), TIMEOUT_MILLIS)
        second.run(1_000, setOf(other))
        idle.run(30_000)
        state("a") shouldBe JobState.FINISHED
        Unit
    }

    @Test
    fun `a round makes a bounded number of calls while no worker answers`(): Unit = with(Fixture()) {
        script = TaskScript(3_600_000, Capacity(1_000, 512))
        val many = fleet(workers = 200)
        val owner = owner()
        acceptance.acceptAll(nowMillis, (1..1_500).map { spec("job-$it") }, TIMEOUT_MILLIS)
        repeat(60) { owner.step(nowMillis, many, setOf(SELF)).also { nowMillis += 250 } }
        workers.runs shouldHaveSize 1_500
        workerFault = WorkerFault.LOSE_REQUEST
        val settings = JobOwnerSettings()
        repeat(80) {
            val before = workers.calls
            owner.step(nowMillis, many, setOf(SELF)).also { nowMillis += 250 }
            (workers.calls - before) shouldBeLessThanOrEqual
                0L + settings.maxWorkersPerCall + settings.maxUnresponsiveWorkersPerStep
        }
    }

    @Test
    fun `ended jobs are removed after the retention time`(): Unit = with(Fixture()) {
        val owner = JobOwner(table, workers, SELF, JobOwnerSettings(retentionMillis = 60_000))
        acceptance.accept(nowMillis, spec("a"), TIMEOUT_MILLIS)
        owner.run(30_000)
        state("a") shouldBe JobState.FINISHED
        owner.run(60_000)
        state("a") shouldBe null
        Unit
    }

    @Test
    fun `the quota of a team applies to the jobs of two owners together`(): Unit = with(Fixture()) {
        script = TaskScript(600_000, Capacity(1_000, 512))
        val quota = Team(TeamId("plans"), jobQuota = Capacity(3_000, 100_000))
        val both = setOf(SELF, NodeId("control-2"))
        val pools = (1..20).map { Pool(PoolId("pool-$it"), PoolRole.WORKING, AvailabilityBudget(1)) }
        val spread =
            view.copy(
                pools = view.pools.clear().putAll(pools.associateBy { it.id }),
                teams = view.teams.put(quota.id, quota),
                instances = view.instances.mutate { all ->
                    all.keys.toList().forEachIndexed { index, id ->
                        all[id] = all.getValue(id).copy(pool = pools[index].id)
                    }
                },
            )
        val owners = both.map { owner(it) }
        val usedPools = spread.instances.values.map { it.pool }
        fun round() = owners.zip(both) { owner, _ -> owner.step(nowMillis, spread, both) }.also { nowMillis += 1_000 }
        repeat(40) { number ->
            acceptance.accept(nowMillis, spec("job-$number").copy(pool = usedPools[number % 4]), TIMEOUT_MILLIS)
            repeat(12) { round() }
        }
        workers.runs shouldHaveSize 3
    }

    @Test
    fun `a new owner takes over running jobs and the former owner can no longer write`(): Unit = with(Fixture()) {
        val first = owner(SELF)
        val second = owner(NodeId("control-2"))
        script = TaskScript(20_000, Capacity(500, 256))
        acceptance.accept(nowMillis, spec("a", idempotent = false), TIMEOUT_MILLIS)
        first.run(2_000)
        acceptance.accept(nowMillis, spec("b", idempotent = false), TIMEOUT_MILLIS)
        second.run(30_000, setOf(NodeId("control-2")))
        first.step(nowMillis, view, setOf(SELF))
        first.run(2_000)
        second.run(30_000, setOf(NodeId("control-2")))
        listOf("a", "b").map { state(it) } shouldBe listOf(JobState.FINISHED, JobState.FINISHED)
        workers.runs shouldHaveSize 2
        Unit
    }
}
