// Executors that begin to drain while the lease holder does not read their entries, with whole nodes in virtual time.

package org.gypsumturn.node

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.maps.shouldBeEmpty
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.model.InstanceId

class StaleExecutorsTest : AnnotationSpec() {
    private fun nodesAtWork(cancelMillis: Long = SchedulerSettings.DEFAULT_CANCEL_MILLIS): VirtualNodes {
        val nodes = VirtualNodes(cancelMillis = cancelMillis)
        nodes.run(500)
        (1..3).forEach { number -> nodes.submit(number, 4_000).also { nodes.run(100) } }
        nodes.run(2_000)
        return nodes
    }

    // Guards against: a holder whose polls of the executors' entries get no answer, while the store answers all other
    // calls, starts tasks on an executor that has been draining for longer than the bound (DRAIN).
    @Test
    fun `no task starts on an executor later than the bound after its entry shows that it drains`() {
        val lateMillis = HashMap<Int, Long>()
        for (silentPolls in 0..20) {
            val nodes = nodesAtWork()
            nodes.executors.silentEntryPolls = silentPolls
            nodes.run(1_020)
            val drainedMillis = nodes.loop.nowMillis
            nodes.executors.drain(DRAINED)
            nodes.run(45_000)
            val lastMillis = nodes.executors.starts.filter { it.executor == DRAINED }.maxOf { it.atMillis }
            if (lastMillis - drainedMillis > DRAIN_MILLIS) lateMillis[silentPolls] = lastMillis - drainedMillis
        }
        withClue("last start after the entry was stored, by the number of polls without an answer") {
            lateMillis.shouldBeEmpty()
        }
    }

    // Guards against: starts are held back although the store answers all calls, only slowly.
    @Test
    fun `starts go on with a slow store`() {
        for (entriesChange in listOf(false, true)) {
            for (callMillis in listOf(4L, 500L, 800L)) {
                // The age of the jobs is left out of account.
                val nodes = nodesAtWork(cancelMillis = 60_000)
                nodes.executors.entriesChange = entriesChange
                nodes.store.callMillis = callMillis
                nodes.run(20_000)
                withClue("$callMillis ms a call, entries change: $entriesChange; longest time without a start") {
                    longestGapMillis(nodes, 20_000) shouldBeLessThanOrEqual RUN_MILLIS + SLACK_MILLIS
                }
            }
        }
    }

    // Guards against: starts are held back in an outage of the whole store, in which no entry can be stored, or wait on
    // after it.
    @Test
    fun `starts go on in an outage of the store and after it`() {
        val nodes = nodesAtWork()
        nodes.store.isDown = true
        nodes.run(4_000)
        withClue("longest time without a start in the outage") {
            longestGapMillis(nodes, 4_000) shouldBeLessThanOrEqual RUN_MILLIS + SLACK_MILLIS
        }
        nodes.store.isDown = false
        nodes.run(3_000)
        withClue("longest time without a start after it") {
            longestGapMillis(nodes, 3_000) shouldBeLessThanOrEqual RUN_MILLIS + SLACK_MILLIS + LATE_POLL_MILLIS
        }
    }

    /** Longest time without a start in the last [millis]. */
    private fun longestGapMillis(nodes: VirtualNodes, millis: Long): Long {
        val endMillis = nodes.loop.nowMillis
        val fromMillis = endMillis - millis
        val starts = nodes.executors.starts.map { it.atMillis }.filter { it > fromMillis }
        return (listOf(fromMillis) + starts + endMillis).zipWithNext { a, b -> b - a }.max()
    }

    private companion object {
        val DRAINED = InstanceId("x0")

        /** Time after an executor begins to drain within which tasks may still start there. */
        const val DRAIN_MILLIS = 2_000L

        /** Time that a task takes, and that may pass until its end is reported and its executor is filled again. */
        const val RUN_MILLIS = 400L
        const val SLACK_MILLIS = 100L

        /** Time between two polls that get no answer. */
        const val LATE_POLL_MILLIS = 250L
    }
}
