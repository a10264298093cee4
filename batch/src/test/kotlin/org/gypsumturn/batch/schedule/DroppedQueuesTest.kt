// Takeovers after the configuration has removed queues that have unfinished jobs: a new holder knows them from what
// earlier holders have stored.

package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.POOL
import org.gypsumturn.batch.TEST_SETTINGS
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.AdvisorTiming
import org.gypsumturn.batch.model.FleetConfiguration
import org.gypsumturn.batch.model.JobPhase
import org.gypsumturn.batch.model.Queue
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.state.PoolRoster
import org.gypsumturn.batch.state.QueueRecord
import org.gypsumturn.batch.step
import org.gypsumturn.model.Epoch
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Revision
import kotlin.random.Random

class DroppedQueuesTest : AnnotationSpec() {
    private val noDecisionLog: DecisionLog = { _, _ -> }

    /** Lets a new holder take over that knows [configuration]. Executors check tickets as configured at first. */
    private fun VirtualFleet.takeOverWith(epoch: Long, configuration: FleetConfiguration) {
        val first = this.configuration
        this.configuration = configuration
        takeOver(epoch)
        this.configuration = first
    }

    // Guards against: a new holder knows only the newest configuration, so that accepted jobs are never finished.
    @Test
    fun `jobs of a removed queue complete after takeovers`() {
        val other = configuration(queue("other"), version = 2)
        val fleet = VirtualFleet(1)
        fleet.run(100)
        fleet.submit(job(1, step(count = 2), step(after = listOf(0)), step(after = listOf(1))))
        fleet.run(300)
        fleet.scheduler.configure(other)
        fleet.run(300)
        fleet.takeOverWith(2, other)
        fleet.run(1_000)
        fleet.takeOverWith(3, other)
        fleet.run(4_000)
        fleet.breaches.shouldBeEmpty()
        fleet.scheduler.job(job(1).id)?.visiblePhase shouldBe JobPhase.COMPLETED
    }

    // Guards against: only queues of which tasks were started are known to a new holder.
    @Test
    fun `a job that is due after its queue was removed and the holder has changed is run`() {
        val other = configuration(queue("other"), version = 2)
        val fleet = VirtualFleet(1)
        fleet.run(100)
        val timed = job(1, step()).copy(repeats = 2, intervalMillis = 500, startAtMillis = fleet.nowMillis + 3_000)
        fleet.submit(timed)
        fleet.run(100)
        fleet.scheduler.configure(other)
        fleet.run(100)
        fleet.takeOverWith(2, other)
        fleet.run(8_000)
        fleet.breaches.shouldBeEmpty()
        fleet.scheduler.job(timed.id)?.visiblePhase shouldBe JobPhase.COMPLETED
    }

    // Guards against: tasks of a removed queue are started without the ticket that their executors ask for.
    @Test
    fun `a removed queue keeps its placement advice and its limit of attempts`() {
        val advised = queue(maxAttempts = 3).copy(advice = AdvisorTiming(100.0, 1.0, 2_000))
        val other = configuration(queue("other"), version = 2)
        val fleet = VirtualFleet(2, configuration = configuration(advised))
        fleet.allowedByPolicy += InstanceId("x1")
        fleet.run(100)
        fleet.submit(job(1, step(count = 2), step(after = listOf(0))))
        fleet.submit(job(2, step()))
        fleet.run(500)
        fleet.takeOverWith(2, other)
        fleet.failingJobs += job(2).id
        fleet.run(20_000)
        fleet.breaches.shouldBeEmpty()
        fleet.scheduler.job(job(1).id)?.visiblePhase shouldBe JobPhase.COMPLETED
        fleet.scheduler.job(job(2).id)?.visiblePhase shouldBe JobPhase.FAILED
        fleet.starts.count { it.task.job == job(2).id } shouldBe 3
    }

    // Guards against: a queue is known as it was in the pool that it has left.
    @Test
    fun `a queue that has moved and was then removed is run in its last pool`() {
        val press = PoolId("press")
        val moved = configuration(queue(pool = press), version = 2)
        val other = configuration(queue("other"), version = 3)
        val fleet = VirtualFleet(1)
        fleet.add("y0", ResourceAmounts(16_000, 32_000, 0), press)
        fleet.run(100)
        fleet.submit(job(1, step(), step(after = listOf(0))))
        fleet.run(300)
        fleet.scheduler.configure(moved)
        fleet.run(2_000)
        fleet.scheduler.cancelJob(fleet.nowMillis, job(1).id)
        fleet.submit(job(2, step(), step(after = listOf(0))))
        fleet.run(300)
        fleet.takeOverWith(2, other)
        val before = fleet.starts.size
        fleet.run(300)
        fleet.executors.getValue(InstanceId("y0")).runs.size shouldBe 1
        fleet.run(5_000)
        fleet.starts.size shouldBe before + 1
        fleet.breaches.shouldBeEmpty()
        fleet.scheduler.job(job(2).id)?.visiblePhase shouldBe JobPhase.COMPLETED
    }

    @Test
    fun `all jobs complete, whichever queues are removed and whenever holders change`() {
        (1L..200L).forEach { seed ->
            val random = Random(seed)
            val all = listOf("quick", "bulk", "plans").map { queue(it, maxAttempts = random.nextInt(2, 5)) }
            val fleet = VirtualFleet(2, ResourceAmounts(2_000, 32_000, 0), configuration(*all.toTypedArray()))
            fleet.run(100)
            var newest = fleet.configuration
            repeat(8) { number ->
                val open = newest.queues.random(random).pathPrefix.trim('/')
                val plain = job(number, step(count = 2), step(after = listOf(0)), queue = open)
                val timed = plain.copy(repeats = 2, intervalMillis = 700, startAtMillis = fleet.nowMillis + 1_500)
                fleet.submit(if (random.nextBoolean()) plain else timed) { random.nextLong(50, 1_000) }
                fleet.run(random.nextLong(1, 700))
                val left = all.filter { random.nextBoolean() }.ifEmpty { listOf(all.random(random)) }
                newest = configuration(*left.toTypedArray(), version = number + 2L)
                if (random.nextBoolean()) fleet.scheduler.configure(newest)
                if (random.nextBoolean()) fleet.takeOverWith(number + 2L, newest)
                fleet.scheduler.configure(newest)
            }
            fleet.run(30_000)
            fleet.breaches.shouldBeEmpty()
            fleet.completedMillis.size shouldBe 8
        }
    }

    private class Writes(val roster: PoolRoster, val count: Int)

    /**
     * Applies configurations with the queue that [queueAt] gives, one each 20 ms, and stores rosters whenever there are
     * changes.
     */
    private fun storeRosters(forMillis: Long, queueAt: (Long) -> Queue): Writes {
        val scheduler = BatchScheduler(TEST_SETTINGS, Epoch(1), noDecisionLog)
        var last = PoolRoster()
        var count = 0
        for (nowMillis in 20L..forMillis step 20) {
            scheduler.configure(configuration(queueAt(nowMillis), version = nowMillis))
            if (nowMillis == 20L) scheduler.addJob(nowMillis, job(1, step()), null, Revision.ABSENT, true)
            scheduler.runSchedulingPass(nowMillis, nowMillis, -1_000)
            scheduler.takeRosterChanges(10).forEach { change ->
                count++
                last = change.roster
                scheduler.onRosterStored(change, Revision(nowMillis))
            }
        }
        return Writes(last, count)
    }

    // Guards against: each of many configurations causes a write.
    @Test
    fun `configurations that follow each other fast cause at most one write a second`() {
        val writes = storeRosters(10_000) { queue(stretch = it.toDouble()) }
        writes.count shouldBeLessThanOrEqual 11
        (writes.roster.queueRecords.values.single().stretch > 9_000) shouldBe true
        storeRosters(10_000) { queue() }.count shouldBe 1
    }

    @Test
    fun `rows of rosters without records of queues can be read`() {
        val row = """{"addresses":{"x0":"10.0.0.1:1"},"queues":["shop.example/quick/"]}"""
        PoolRoster.decode(row.encodeToByteArray()) shouldBe
            PoolRoster(mapOf("x0" to "10.0.0.1:1"), setOf("shop.example/quick/"))
        val full = PoolRoster(
            queueRecords = mapOf("shop.example/quick/" to QueueRecord.of(queue(), 7)),
        )
        PoolRoster.decode(full.encode()) shouldBe full
        full.queueRecords.getValue("shop.example/quick/").toQueue(queue().id) shouldBe queue().copy(timeoutMillis = 0)
    }

    // Guards against: so many records that the roster does not fit into its row, and nothing can be started.
    @Test
    fun `a roster with many queues fits into its row`() {
        val scheduler = BatchScheduler(TEST_SETTINGS, Epoch(1), noDecisionLog)
        val advice = AdvisorTiming(100.5, 10.25, 30_000)
        val queues = List(500) { queue("route-$it", maxAttempts = 3).copy(advice = advice) }
        scheduler.configure(configuration(*queues.toTypedArray(), version = 123_456))
        queues.forEachIndexed { number, queue ->
            val name = queue.pathPrefix.trim('/')
            scheduler.addJob(1, job(number, step(), queue = name), null, Revision.ABSENT, true)
        }
        scheduler.runSchedulingPass(1_000, 1_000, -1_000)
        val roster = scheduler.takeRosterChanges(10).single { it.pool == POOL }.roster
        roster.queueRecords.size shouldBe 100
        PoolRoster(queueRecords = roster.queueRecords).encode().size shouldBeLessThanOrEqual 24_000
    }
}
