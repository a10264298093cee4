package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.POOL
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.step
import org.gypsumturn.batch.takeOverFromLiveHolder
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId
import kotlin.random.Random

/**
 * Two holders at once: the lease of the first lapsed while the store was unreachable, and the second has taken over.
 */
class TakeoverTest : AnnotationSpec() {
    /** Runs one random schedule. The former holder believes that its lease lapsed [lateMillis] later than it did. */
    private fun simulate(seed: Long, lateMillis: Long): VirtualFleet {
        val random = Random(seed)
        val fleet = VirtualFleet(3)
        fleet.run(100)
        repeat(random.nextInt(2, 6)) { number -> submit(fleet, random, number) }
        fleet.run(random.nextLong(100, 1_500))
        fleet.validUntilMillis = fleet.nowMillis
        val validUntilMillis = fleet.nowMillis + lateMillis
        fleet.run(random.nextLong(1, 2_000))
        fleet.validUntilMillis = Long.MAX_VALUE / 2
        val old = fleet.scheduler
        fleet.takeOverFromLiveHolder(2, validUntilMillis)
        fleet.executors.values.forEach { executor ->
            if (random.nextInt(3) == 0) executor.unreachableFrom += old
            if (random.nextInt(2) == 0) executor.unreachableFrom += fleet.scheduler
        }
        repeat(3) { number ->
            fleet.run(random.nextLong(100, 1_000))
            submit(fleet, random, 10 + number)
        }
        fleet.run(random.nextLong(1, 6_000))
        fleet.executors.values.forEach { it.unreachableFrom.clear() }
        fleet.run(random.nextLong(1, 3_000))
        fleet.formerHolder = null
        fleet.run(15_000)
        return fleet
    }

    private fun submit(fleet: VirtualFleet, random: Random, number: Int) {
        val steps = arrayOf(step(count = random.nextInt(1, 5)), step(count = 2, after = listOf(0)))
        val leastMillis = random.nextLong(50, 1_200)
        fleet.submit(job(number, *steps)) { leastMillis + it.index * 100 }
    }

    @Test
    fun `no task runs twice beside a holder whose lease has lapsed, whichever links are cut, and all jobs end`() {
        (1L..300L).forEach { seed ->
            val fleet = simulate(seed, lateMillis = 0)
            fleet.breaches.shouldBeEmpty()
            fleet.scheduler.activeJobs.shouldBeEmpty()
        }
    }

    // Guards against: a task that runs on an executor whose entry has lapsed is started again by a new holder.
    @Test
    fun `no task runs twice after a takeover while entries of running executors are missing`() {
        (1L..300L).forEach { seed ->
            val random = Random(seed)
            val fleet = VirtualFleet(3)
            fleet.run(100)
            repeat(random.nextInt(1, 4)) { number -> submit(fleet, random, number) }
            fleet.run(random.nextLong(20, 1_500))
            val lapsed = fleet.executors.values.filterTo(HashSet()) { random.nextBoolean() }
            fleet.takeOver(2, { random.nextLong(1, 8_000) }) { it in lapsed }
            if (random.nextInt(3) == 0) lapsed.forEach { it.unreachableFrom += fleet.scheduler }
            fleet.run(random.nextLong(1, 4_000))
            lapsed.forEach { it.unreachableFrom.clear() }
            fleet.run(20_000)
            fleet.breaches.shouldBeEmpty()
            fleet.scheduler.activeJobs.shouldBeEmpty()
        }
    }

    // Guards against: a store that restarts under a paused holder, which wakes beside a successor without entries.
    @Test
    fun `no task runs twice beside a holder that wakes from a pause while entries are missing`() {
        (1L..300L).forEach { seed ->
            val random = Random(seed)
            val fleet = VirtualFleet(3)
            fleet.run(100)
            repeat(random.nextInt(1, 4)) { number -> submit(fleet, random, number) }
            fleet.run(random.nextLong(20, 1_500))
            val paused = fleet.scheduler
            val validUntilMillis = fleet.nowMillis + random.nextLong(1, 2_000)
            fleet.takeOver(2, { random.nextLong(1, 3_000) }) { true }
            fleet.run(random.nextLong(1, 4_000))
            fleet.resumeFormerHolder(paused, validUntilMillis)
            fleet.run(random.nextLong(1, 4_000))
            fleet.formerHolder = null
            fleet.run(20_000)
            fleet.breaches.shouldBeEmpty()
            fleet.scheduler.activeJobs.shouldBeEmpty()
        }
    }

    // Guards against: a new holder starts tasks that last again and then stops the older runs, so that all are away.
    @Test
    fun `runs of a task that lasts go on through a takeover while entries are missing`() {
        val fleet = VirtualFleet(3)
        fleet.run(100)
        fleet.submit(job(1, step(count = 5).copy(longRunning = true, mayMiss = 1))) { 100_000 }
        fleet.run(1_000)
        val runs = fleet.executors.values.flatMap { it.runs.keys }.toSet()
        fleet.takeOver(2, { if (it.id == InstanceId("x0")) 10 else 2_000 }) { true }
        fleet.run(8_000)
        fleet.executors.values.flatMap { it.runs.keys }.toSet() shouldBe runs
        fleet.starts.size shouldBe 5
    }

    // Guards against: a pause until all leases have lapsed where the executors that run the tasks can be asked.
    @Test
    fun `a run on an executor without an entry goes on under the new holder`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        fleet.submit(job(1, step())) { 7_000 }
        fleet.run(100)
        fleet.takeOver(2, { 9_000 }) { true }
        fleet.run(8_000)
        fleet.starts.size shouldBe 1
        fleet.completedMillis.size shouldBe 1
    }

    // Guards against: a first start on an executor before a later holder can know of it.
    @Test
    fun `nothing is started on an executor that the stored roster does not name`() {
        val fleet = VirtualFleet(1)
        fleet.validUntilMillis = fleet.nowMillis
        fleet.submit(job(1, step()))
        fleet.run(1_000)
        fleet.starts.shouldBeEmpty()
        fleet.validUntilMillis = Long.MAX_VALUE / 2
        fleet.run(100)
        fleet.starts.size shouldBe 1
    }

    // Guards against: a later holder takes the answer of another executor at the former address for the executor's end.
    @Test
    fun `nothing is started on an executor at another address than that of the stored roster`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        fleet.submit(job(1, step())) { 100 }
        fleet.run(500)
        fleet.validUntilMillis = fleet.nowMillis
        val executor = fleet.executors.values.single()
        fleet.restart(executor)
        fleet.scheduler.onExecutorListed(fleet.nowMillis, executor.record().copy(address = "10.0.0.2:1"))
        fleet.submit(job(2, step()))
        fleet.run(1_000)
        fleet.starts.size shouldBe 1
        fleet.validUntilMillis = Long.MAX_VALUE / 2
        fleet.run(100)
        fleet.starts.size shouldBe 2
    }

    // Guards against: an executor that left the registry and came back between two writes gets no runs any more.
    @Test
    fun `an executor that is back before its absence was stored gets runs`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        fleet.submit(job(1, step())) { 100 }
        fleet.run(500)
        fleet.validUntilMillis = fleet.nowMillis
        val executor = fleet.executors.values.single()
        executor.unreachableFrom += fleet.scheduler
        fleet.scheduler.onExecutorUnlisted(fleet.nowMillis, executor.id)
        fleet.run(10_000)
        fleet.scheduler.executors.isEmpty() shouldBe true
        executor.unreachableFrom.clear()
        fleet.scheduler.onExecutorListed(fleet.nowMillis, executor.record())
        fleet.validUntilMillis = Long.MAX_VALUE / 2
        fleet.submit(job(2, step()))
        fleet.run(1_000)
        fleet.starts.size shouldBe 2
    }

    // Guards against: a new holder starts a task again that runs on an executor of which it can't know.
    @Test
    fun `no task runs twice after a takeover in which neither roster nor entry names a new executor`() {
        (1L..300L).forEach { seed ->
            val random = Random(seed)
            val fleet = VirtualFleet(2)
            fleet.run(100)
            submit(fleet, random, 1)
            fleet.run(500)
            fleet.rostersAreStored = false
            val added = (1..2).map { fleet.add("y$it", ResourceAmounts(16_000, 32_000, 0)) }.toSet()
            repeat(random.nextInt(2, 8)) { number -> submit(fleet, random, 10 + number) }
            fleet.run(random.nextLong(20, 1_500))
            fleet.rostersAreStored = random.nextBoolean()
            fleet.takeOver(2, { random.nextLong(1, 8_000) }) { it in added }
            fleet.run(random.nextLong(1, 6_000))
            fleet.takeOver(3, { random.nextLong(1, 8_000) }) { it in added }
            fleet.rostersAreStored = true
            fleet.run(25_000)
            fleet.breaches.shouldBeEmpty()
            fleet.scheduler.activeJobs.shouldBeEmpty()
        }
    }

    // Guards against: a takeover from a holder that has stored no rosters takes executors without entries for idle.
    @Test
    fun `without rosters a new holder waits until all leases have lapsed`() {
        val fleet = VirtualFleet(2)
        fleet.run(100)
        fleet.submit(job(1, step(count = 2))) { 8_000 }
        fleet.run(100)
        fleet.forgetRosters()
        fleet.takeOver(2, { 20_000 }) { true }
        fleet.add("x9", ResourceAmounts(16_000, 32_000, 0))
        fleet.run(20_000)
        fleet.breaches.shouldBeEmpty()
        fleet.completedMillis.size shouldBe 1
    }

    // Guards against: jobs that were accepted before there was a holder wait for leases that nobody has given.
    @Test
    fun `the first holder starts the jobs that it finds at once`() {
        val fleet = VirtualFleet(1)
        fleet.submitBeforeTerm(job(1, step()))
        fleet.scheduler.startRecovery(fleet.nowMillis, emptyMap(), fleet.nowMillis + 5_500)
        fleet.run(200)
        fleet.starts.size shouldBe 1
    }

    // Guards against: a queue whose last job has ended is dropped from a roster while its next job is started.
    @Test
    fun `a queue that a write is about to drop is stored again before its tasks are started`() {
        val fleet = VirtualFleet(1)
        fleet.run(100)
        fleet.submit(job(1, step())) { 100 }
        fleet.run(500)
        fleet.add("x1", ResourceAmounts(16_000, 32_000, 0))
        val dropping = fleet.scheduler.takeRosterChanges(10)
        fleet.submit(job(2, step()))
        val orders = fleet.scheduler.runSchedulingPass(fleet.nowMillis, fleet.nowMillis, -1_000)
        orders.filterIsInstance<ExecutorOrder.Start>().shouldBeEmpty()
        fleet.scheduler.returnRosterChanges(dropping) { null }
        fleet.run(500)
        fleet.starts.size shouldBe 2
    }

    // Guards against: after a write without an answer the roster is taken for stored as it was before.
    @Test
    fun `a roster is written again after a write whose result is not known`() {
        val fleet = VirtualFleet(2)
        fleet.run(100)
        fleet.submit(job(1, step())) { 5_000 }
        fleet.run(500)
        val idle = fleet.executors.values.single { it.runs.isEmpty() }
        fleet.scheduler.onExecutorGone(fleet.nowMillis, idle.id, planned = true, fleet.listedDown())
        val removal = fleet.scheduler.takeRosterChanges(10)
        idle.incarnationStartMillis = fleet.nowMillis
        fleet.scheduler.onExecutorListed(fleet.nowMillis, idle.record())
        fleet.scheduler.returnRosterChanges(removal) { null }
        fleet.submit(job(2, step(cpuMillis = 16_000)))
        fleet.run(500)
        fleet.starts.size shouldBe 2
    }

    // Guards against: a queue that moves to another pool has its tasks started there while they run in the former pool.
    @Test
    fun `a new holder waits for the pools that a queue had before`() {
        val other = PoolId("press")
        val fleet = VirtualFleet(1)
        fleet.add("y0", ResourceAmounts(16_000, 32_000, 0), other)
        fleet.run(100)
        fleet.submit(job(1, step())) { 4_000 }
        fleet.run(100)
        fleet.configuration = configuration(queue(pool = other), version = 2)
        fleet.takeOver(2) { it.pool == POOL }
        fleet.executors.values.first().unreachableFrom += fleet.scheduler
        fleet.run(1_500)
        fleet.executors.values.forEach { it.unreachableFrom.clear() }
        fleet.run(10_000)
        fleet.breaches.shouldBeEmpty()
        fleet.starts.size shouldBe 1
    }

    @Test
    fun `the simulation detects a holder that counts its lease too long`() {
        (1L..300L).any { seed -> simulate(seed, lateMillis = 6_000).breaches.isNotEmpty() } shouldBe true
    }
}
