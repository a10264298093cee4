// Executors that start whatever they are told to, so that only the scheduler keeps them within their capacity. Their
// capacity may change while they run.

package org.gypsumturn.batch.schedule

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.StartFault
import org.gypsumturn.batch.VirtualExecutor
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.job
import org.gypsumturn.batch.model.ResourceAmounts
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.step

class ExecutorCapacityTest : AnnotationSpec() {
    private fun unguardedFleet(executors: Int): VirtualFleet {
        val fleet = VirtualFleet(executors, configuration = configuration(queue(), guarded = false))
        fleet.executors.values.forEach { it.guardsCapacity = false }
        fleet.run(100)
        return fleet
    }

    private fun VirtualFleet.changeCapacity(executor: VirtualExecutor, cpuMillis: Long) {
        executor.capacity = ResourceAmounts(cpuMillis, executor.capacity.memoryMb, 0)
        scheduler.onExecutorListed(nowMillis, executor.record())
    }

    // Guards against: a new holder fills the room of runs that it is stopping and that it never assigned itself.
    @Test
    fun `a run of an ended job takes up capacity until it has stopped`() {
        val fleet = unguardedFleet(1)
        val cancelled = job(1, step(cpuMillis = 16_000))
        fleet.submit(cancelled) { 10_000 }
        fleet.run(100)
        fleet.scheduler.cancelJob(fleet.nowMillis, cancelled.id)
        fleet.run(10)
        fleet.takeOver(2)
        fleet.submit(job(2, step(cpuMillis = 16_000)))
        fleet.run(3_000)
        fleet.breaches.shouldBeEmpty()
        fleet.completedMillis.size shouldBe 1
    }

    // Guards against: starts by the capacity that an executor had before it shrank.
    @Test
    fun `an executor that has shrunk gets nothing new until its runs fit again, and all of it once it has grown`() {
        val fleet = unguardedFleet(1)
        val only = fleet.executors.values.single()
        fleet.submit(job(1, step(count = 4, cpuMillis = 4_000))) { 1_000 + 500L * it.index }
        fleet.run(200)
        fleet.changeCapacity(only, 8_000)
        fleet.submit(job(2, step(count = 4, cpuMillis = 4_000)))
        fleet.run(4_000)
        fleet.changeCapacity(only, 16_000)
        fleet.submit(job(3, step(count = 4, cpuMillis = 4_000)))
        fleet.run(500)
        only.runs.size shouldBe 4
        fleet.run(4_000)
        fleet.breaches.shouldBeEmpty()
        fleet.completedMillis.size shouldBe 3
    }

    // Guards against: starts by capacities that nobody has been able to read for seconds, since the store is away.
    @Test
    fun `an executor that does not guard its capacity gets nothing new while its entry can't be read`() {
        val fleet = unguardedFleet(1)
        val only = fleet.executors.values.single()
        fleet.executorsCanBeRead = false
        only.capacity = ResourceAmounts(8_000, 32_000, 0)
        fleet.run(3_100)
        fleet.submit(job(1, step(count = 4, cpuMillis = 4_000)))
        fleet.run(2_000)
        fleet.breaches.shouldBeEmpty()
        fleet.executorsCanBeRead = true
        fleet.changeCapacity(only, 8_000)
        fleet.run(4_000)
        fleet.breaches.shouldBeEmpty()
        fleet.completedMillis.size shouldBe 1
    }

    // Guards against: the repetition of an unanswered start, for which there is no room left.
    @Test
    fun `a start without an answer is not repeated on an executor that has shrunk meanwhile`() {
        val fleet = unguardedFleet(1)
        val only = fleet.executors.values.single()
        only.startFaults += StartFault.NEVER_APPLIED
        fleet.submit(job(1, step(cpuMillis = 12_000)))
        fleet.run(100)
        fleet.changeCapacity(only, 8_000)
        fleet.run(3_000)
        fleet.breaches.shouldBeEmpty()
        fleet.changeCapacity(only, 16_000)
        fleet.run(4_000)
        fleet.breaches.shouldBeEmpty()
        fleet.completedMillis.size shouldBe 1
    }
}
