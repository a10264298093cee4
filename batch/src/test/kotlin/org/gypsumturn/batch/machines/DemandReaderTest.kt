// The demand from which pools are sized. Load: a queue that asks for several times what its pool holds, with tasks that
// take longer than the time in which a backlog should be worked off.

package org.gypsumturn.batch.machines

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.POOL
import org.gypsumturn.batch.VirtualFleet
import org.gypsumturn.batch.configuration
import org.gypsumturn.batch.job
import org.gypsumturn.batch.queue
import org.gypsumturn.batch.step
import org.gypsumturn.batch.workspace
import org.gypsumturn.model.WorkspaceId

class DemandReaderTest : AnnotationSpec() {
    private lateinit var fleet: VirtualFleet

    @BeforeEach
    fun reset() {
        val workspaces = listOf(workspace("a", capCpuMillis = 6_000))
        fleet = VirtualFleet(0, configuration = configuration(queue(), workspaces = workspaces))
    }

    private fun demand(): PoolDemand {
        fleet.run(50)
        return demandByPool(fleet.nowMillis, fleet.scheduler, fleet.configuration, CLEAR_MILLIS).getValue(POOL)
    }

    /** Processors that are needed to work off the backlog in time, in thousandths of a core. */
    private fun neededCpuMillis(): Double = demand().backlogCpuMillis / CLEAR_MILLIS

    // Guards against: a pool follows a steep rise only once a backlog has grown.
    @Test
    fun `work that arrives counts by its rate, with the steps that wait for others`() {
        fleet.submit(job(1, step(count = 2, estimateMillis = 500), step(count = 4, after = listOf(0))))
        demand().arrivingCpuMillis shouldBe 5_000.0
        fleet.run(1_000)
        demand().arrivingCpuMillis shouldBe 0.0
    }

    // Guards against: after a takeover all jobs from before count as arriving, and machines are moved for them.
    @Test
    fun `jobs from before a takeover do not arrive again`() {
        fleet.submit(job(1, step(count = 10)))
        fleet.run(50)
        fleet.takeOver(2)
        demand().arrivingCpuMillis shouldBe 0.0
    }

    // Guards against: a workspace that sends several times what its cap allows fills the fleet with machines.
    @Test
    fun `what a workspace sends counts up to its cap`() {
        fleet.submit(job(1, step(count = 20)).copy(workspace = WorkspaceId("a")))
        demand().arrivingCpuMillis shouldBe 6_000.0
    }

    @Test
    fun `short tasks need the capacity that works them off in time`() {
        fleet.submit(job(1, step(count = 10, estimateMillis = 500)))
        neededCpuMillis() shouldBe 5_000.0
    }

    // Guards against: machines are paid for that have no task to run.
    @Test
    fun `long tasks need no more than all of them take up at once`() {
        fleet.submit(job(1, step(count = 10, estimateMillis = 5_000)))
        neededCpuMillis() shouldBe 10_000.0
    }

    // Guards against: capacity is bought for tasks that can't be started before others have released theirs.
    @Test
    fun `steps that wait for others need nothing yet`() {
        fleet.submit(job(1, step(count = 10), step(count = 10, after = listOf(0))))
        neededCpuMillis() shouldBe 10_000.0
    }

    // Guards against: capacity is bought for tasks that their workspace's cap holds back.
    @Test
    fun `a workspace needs no more than its cap`() {
        fleet.submit(job(1, step(count = 20)).copy(workspace = WorkspaceId("a")))
        fleet.submit(job(2, step(count = 3)))
        neededCpuMillis() shouldBe 9_000.0
    }

    private companion object {
        const val CLEAR_MILLIS = 1_000.0
    }
}
