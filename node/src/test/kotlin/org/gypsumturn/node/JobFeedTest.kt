// Tests of how the lease holder follows the stored jobs while the store is slow or discards its history, with whole
// nodes in virtual time.

package org.gypsumturn.node

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.Revision

class JobFeedTest : AnnotationSpec() {
    /** Three jobs with more tasks than fit, and a store whose calls take [callMillis] from then on. */
    private fun busyNodes(callMillis: Long): VirtualNodes {
        val nodes = VirtualNodes()
        nodes.run(500)
        (1..3).forEach { number -> nodes.submit(number, TASKS).also { nodes.run(100) } }
        nodes.run(1_000)
        nodes.store.callMillis = callMillis
        return nodes
    }

    /** Runs [nodes] for [millis]. Returns the longest time of it without a start. */
    private fun longestGapMillis(nodes: VirtualNodes, millis: Long): Long {
        val fromMillis = nodes.loop.nowMillis
        nodes.run(millis)
        val starts = nodes.executors.starts.map { it.atMillis }.filter { it > fromMillis }
        return (listOf(fromMillis) + starts + nodes.loop.nowMillis).zipWithNext { a, b -> b - a }.max()
    }

    // Guards against: only a superseded poll tells of a discarded history, so that the rows are never read again.
    @Test
    fun `rows are read again after a discarded history, however long a call takes`() {
        for (callMillis in listOf(4L, 200L, 280L, 320L, 400L, 500L, 600L)) {
            val nodes = busyNodes(callMillis)
            nodes.run(5_000)
            nodes.submit(4, 1)
            nodes.run(10)
            nodes.store.discardedUntil = Revision(nodes.store.revision.value + 1_000_000)
            nodes.loop.runAfter(3_000) { nodes.store.discardedUntil = nodes.store.revision }
            val gapMillis = longestGapMillis(nodes, 20_000)
            withClue("$callMillis ms a call, longest time without a start") { gapMillis shouldBeLessThan 6_000 }
        }
    }

    // Guards against: polls fail while the store takes longer for a call than they allow for, so that no task starts.
    @Test
    fun `tasks start while a call takes up to a second`() {
        for (callMillis in listOf(500L, 650L, 720L, 800L, 900L, 1_000L)) {
            val gapMillis = longestGapMillis(busyNodes(callMillis), 20_000)
            withClue("$callMillis ms a call, longest time without a start") { gapMillis shouldBeLessThan 4_500 }
        }
    }

    // Guards against: polls without an answer use up the connections to the store.
    @Test
    fun `at most five polls are open beside each other`() {
        val nodes = busyNodes(4)
        nodes.store.silentFeeds += JobRows.TABLE
        nodes.run(10_000)
        nodes.store.mostOpenPolls shouldBe 5
    }

    // Guards against: a job that has ended is taken for a new one and runs again, since its rows are removed after the
    // holder, which reads all rows again, has read its page and before the last page is read.
    @Test
    fun `a job that expires while all rows are read again does not run again`() {
        val nodes = VirtualNodes()
        nodes.run(500)
        val id = nodes.submit(1, 1)
        nodes.run(149_000)
        nodes.starts(id, 0) shouldBe 1
        nodes.store.unreadablePartitions += JobRows.partitions.last()
        nodes.store.discardedUntil = nodes.store.revision
        nodes.submit(4, 1)
        nodes.run(600)
        nodes.store.discardedUntil = nodes.store.revision
        nodes.run(5_000)
        nodes.store.unreadablePartitions.clear()
        nodes.run(5_000)
        withClue("starts of the only task") { nodes.starts(id, 0) shouldBe 1 }
    }

    // Guards against: jobs and cancellations that were stored while the holder could not follow are passed over.
    @Test
    fun `rows that are read again bring the jobs and cancellations that were stored meanwhile`() {
        val nodes = VirtualNodes()
        nodes.run(500)
        val known = nodes.submit(1, TASKS)
        nodes.run(1_000)
        nodes.store.unreadablePartitions += JobRows.partitions.last()
        nodes.store.discardedUntil = nodes.store.revision
        val meanwhile = nodes.submit(2, 8)
        nodes.run(600)
        nodes.cancel(known) { }
        nodes.run(100)
        nodes.store.discardedUntil = nodes.store.revision
        nodes.run(500)
        nodes.store.unreadablePartitions.clear()
        nodes.run(3_000)
        nodes.starts(meanwhile, 0) shouldBe 8
        nodes.starts(known, nodes.loop.nowMillis - 1_000) shouldBe 0
    }

    private companion object {
        const val TASKS = 4_000
    }
}
