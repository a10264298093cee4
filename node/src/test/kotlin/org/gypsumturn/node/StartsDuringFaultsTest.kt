// How many tasks start while the store is at fault, with whole nodes in virtual time: what the bound on the age of the
// holder's knowledge of jobs costs.

package org.gypsumturn.node

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.batch.state.JobRows

class StartsDuringFaultsTest : AnnotationSpec() {
    /** Nodes with more work than they can do. */
    private fun busyNodes(seed: Long = 1, cancelMillis: Long = SchedulerSettings.DEFAULT_CANCEL_MILLIS): VirtualNodes {
        val nodes = VirtualNodes(seed, cancelMillis = cancelMillis)
        nodes.run(500)
        (1..6).forEach { nodes.submit(it, TASKS) }
        nodes.run(2_000)
        return nodes
    }

    private fun VirtualNodes.startsIn(millis: Long): Int {
        val fromMillis = loop.nowMillis
        run(millis)
        return starts(null, fromMillis)
    }

    private fun VirtualNodes.heldMillis(): List<Long> =
        lines["starts go on"].orEmpty().map { it.getValue("held_ms") as Long }

    private fun VirtualNodes.linesOf(event: String) = lines[event].orEmpty()

    /** Starts in an outage of the whole store of [outageMillis], and in 2 s after it. */
    private fun startsInOutage(outageMillis: Long, cancelMillis: Long): Pair<Int, Int> {
        val nodes = busyNodes(cancelMillis = cancelMillis)
        nodes.store.isDown = true
        val starts = nodes.startsIn(outageMillis)
        nodes.linesOf("starts held back").shouldBeEmpty()
        nodes.store.isDown = false
        return starts to nodes.startsIn(2_000)
    }

    // Guards against: work waits in an outage of the whole store, in which no cancellation can be acknowledged.
    @Test
    fun `an outage of the whole store holds back no start that would go on without the bound`() {
        for (outageMillis in listOf(5_000L, 10_000L)) {
            val bounded = startsInOutage(outageMillis, SchedulerSettings.DEFAULT_CANCEL_MILLIS)
            val unbounded = startsInOutage(outageMillis, UNBOUNDED_MILLIS)
            println(
                "starts in an outage of $outageMillis ms, and in 2 s after it: $bounded; without a bound $unbounded",
            )
            withClue("outage of $outageMillis ms") {
                bounded.first shouldBe unbounded.first
                bounded.second shouldBeGreaterThanOrEqual unbounded.second * 19 / 20
                bounded.first shouldBeGreaterThan 0
            }
        }
    }

    // Guards against: work waits for longer than the silence of the feed.
    @Test
    fun `held starts go on at once when the job feed is answered again`() {
        val nodes = busyNodes()
        nodes.store.silentFeeds += JobRows.TABLE
        nodes.store.unreadablePartitions += JobRows.partitions.last()
        nodes.run(6_000)
        nodes.linesOf("starts held back").size shouldBe 1
        nodes.startsIn(1_000) shouldBe 0
        nodes.store.silentFeeds.clear()
        val startsAfter = nodes.startsIn(400)
        nodes.linesOf("starts go on").size shouldBe 1
        startsAfter shouldBeGreaterThan 0
    }

    private class Result(val starts: Int, val holds: Int, val heldMillis: Long)

    private fun startsDuring(lostShare: Double, callMillis: Long, cancelMillis: Long): Result {
        var result = Result(0, 0, 0)
        (1L..SEEDS).forEach { seed ->
            val nodes = busyNodes(seed, cancelMillis)
            nodes.store.lostShare = lostShare
            nodes.store.callMillis = callMillis
            val starts = nodes.startsIn(FAULT_MILLIS)
            val holds = nodes.linesOf("starts held back").size
            result =
                Result(result.starts + starts, result.holds + holds, result.heldMillis + nodes.heldMillis().sum())
        }
        return result
    }

    // Guards against: lost answers or slow calls alone make the holder hold back work.
    @Test
    fun `a store that is slow or loses answers costs at most a twentieth of the starts`() {
        for ((lostShare, callMillis) in listOf(0.5 to 4L, 0.0 to 500L, 0.25 to 500L)) {
            val bounded = startsDuring(lostShare, callMillis, SchedulerSettings.DEFAULT_CANCEL_MILLIS)
            val unbounded = startsDuring(lostShare, callMillis, UNBOUNDED_MILLIS)
            val case = "$lostShare of the answers lost, $callMillis ms a call"
            println(
                "starts in $SEEDS plays of $FAULT_MILLIS ms with $case: ${bounded.starts}, " +
                    "held ${bounded.holds} times for ${bounded.heldMillis} ms; without a bound ${unbounded.starts}",
            )
            withClue(case) {
                unbounded.holds shouldBe 0
                bounded.starts shouldBeGreaterThanOrEqual unbounded.starts * 19 / 20
            }
        }
    }

    private companion object {
        const val TASKS = 400
        const val SEEDS = 40L
        const val FAULT_MILLIS = 10_000L
        const val UNBOUNDED_MILLIS = 3_600_000L
    }
}
