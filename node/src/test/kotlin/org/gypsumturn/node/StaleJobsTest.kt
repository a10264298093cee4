// Cancellations that are acknowledged at another node while the lease holder does not read the jobs, with whole nodes
// in virtual time.

package org.gypsumturn.node

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.state.JobRows
import org.gypsumturn.model.JobId

class StaleJobsTest : AnnotationSpec() {
    /** Three jobs, the first of which is under way. */
    private fun nodesWithJobUnderWay(): Pair<VirtualNodes, JobId> {
        val nodes = VirtualNodes()
        nodes.run(500)
        val jobs = (1..3).map { number -> nodes.submit(number, TASKS).also { nodes.run(100) } }
        nodes.run(1_000)
        nodes.starts(jobs.first(), 0) shouldBeGreaterThan 0
        return nodes to jobs.first()
    }

    /** Cancels job [id] and runs [nodes]. Returns the numbers of its starts since, and of those that are too late. */
    private fun startsAfterCancellation(nodes: VirtualNodes, id: JobId, runMillis: Long): Pair<Int, Int> {
        var acknowledgedMillis: Long? = null
        nodes.cancel(id) { acknowledgedMillis = it }
        nodes.run(runMillis)
        val fromMillis = acknowledgedMillis.shouldNotBeNull()
        return nodes.starts(id, fromMillis) to nodes.starts(id, fromMillis + CANCEL_MILLIS)
    }

    // Guards against: a holder whose job feed is silent, while its lease is valid, starts tasks of a job whose
    // cancellation another node has acknowledged (UNASKED).
    @Test
    fun `no task starts later than the bound after a cancellation while only the job feed is silent`() {
        for (silentMillis in listOf(5_000L, 10_000L)) {
            val (nodes, id) = nodesWithJobUnderWay()
            nodes.store.silentFeeds += JobRows.TABLE
            nodes.loop.runAfter(silentMillis) { nodes.store.silentFeeds.clear() }
            val (starts, late) = startsAfterCancellation(nodes, id, silentMillis + 3_000)
            withClue("$silentMillis ms of silence: $starts starts after the acknowledgement, late ones") {
                late shouldBe 0
            }
        }
    }

    // Guards against: a silent job feed holds back all work although the store answers reads (LOST).
    @Test
    fun `tasks of other jobs start while only the job feed is silent`() {
        val (nodes, id) = nodesWithJobUnderWay()
        nodes.store.silentFeeds += JobRows.TABLE
        val fromMillis = nodes.loop.nowMillis
        val (starts, late) = startsAfterCancellation(nodes, id, SILENT_MILLIS)
        withClue("$starts starts after the acknowledgement, late ones") { late shouldBe 0 }
        val others = nodes.executors.starts.filter { it.run.task.job != id && it.atMillis >= fromMillis }
        val times = listOf(fromMillis) + others.map { it.atMillis } + nodes.loop.nowMillis
        withClue("longest time without a start") { times.zipWithNext { a, b -> b - a }.max() shouldBeLessThan 3_000 }
        val pages = nodes.store.jobPageReads
        withClue("pages of jobs that were read in $SILENT_MILLIS ms") {
            pages shouldBeLessThan (SILENT_MILLIS / 1_000 + 2).toInt() * JobRows.PARTITIONS
        }
    }

    // Guards against: the same while a holder reads all rows again, since the store has discarded its history, and
    // pages of one partition get no answer.
    @Test
    fun `no task starts later than the bound after a cancellation while all rows are read again`() {
        val (nodes, id) = nodesWithJobUnderWay()
        nodes.store.unreadablePartitions += JobRows.partitions.last()
        nodes.store.discardedUntil = nodes.store.revision
        nodes.submit(4, 1)
        nodes.run(600)
        nodes.store.discardedUntil = nodes.store.revision
        nodes.loop.runAfter(6_000) { nodes.store.unreadablePartitions.clear() }
        val (starts, late) = startsAfterCancellation(nodes, id, 9_000)
        withClue("$starts starts after the acknowledgement, late ones") { late shouldBe 0 }
    }

    // Guards against: a new holder starts tasks of a job whose cancellation was stored in a partition that it had read
    // before, while it was still reading others.
    @Test
    fun `no task starts later than the bound after a cancellation that a new holder has read past`() {
        val (nodes, id) = nodesWithJobUnderWay()
        nodes.store.callMillis = 500
        nodes.store.unreadablePartitions += JobRows.partitions.last()
        nodes.replaceHolder()
        nodes.run(9_000)
        nodes.loop.runAfter(5_000) { nodes.store.unreadablePartitions.clear() }
        val (starts, late) = startsAfterCancellation(nodes, id, 15_000)
        withClue("$starts starts after the acknowledgement, late ones") { late shouldBe 0 }
        nodes.starts(JobId("%016x".format(2)), nodes.loop.nowMillis - 1_000) shouldBeGreaterThan 0
    }

    // Guards against: a holder whose process was suspended starts tasks before it reads what was stored meanwhile.
    @Test
    fun `a holder that was suspended starts no task of a job that was cancelled meanwhile`() {
        for (suspendedMillis in listOf(3_500L, 4_000L, 5_000L)) {
            val (nodes, id) = nodesWithJobUnderWay()
            nodes.suspendHolder(suspendedMillis + 1_100)
            nodes.run(1_100)
            val (starts, late) = startsAfterCancellation(nodes, id, suspendedMillis + 3_000)
            withClue("suspended for $suspendedMillis ms: $starts starts after the acknowledgement, late ones") {
                late shouldBe 0
            }
        }
    }

    // Guards against: a holder that is told of a cancellation waits for its job feed.
    @Test
    fun `a notice stops the starts of a cancelled job at once while the job feed is silent`() {
        val (nodes, id) = nodesWithJobUnderWay()
        nodes.noticesArrive = true
        nodes.store.silentFeeds += JobRows.TABLE
        val (starts, _) = startsAfterCancellation(nodes, id, 5_000)
        starts shouldBe 0
        nodes.executors.stops.count { it.task.job == id } shouldBeGreaterThan 0
    }

    private companion object {
        const val TASKS = 400

        /** Time for which the job feed is silent while other jobs are started. */
        const val SILENT_MILLIS = 12_000L

        /** Time after the acknowledgement of a cancellation within which tasks may still start. */
        const val CANCEL_MILLIS = 3_000L
    }
}
