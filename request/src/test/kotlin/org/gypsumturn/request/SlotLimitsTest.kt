// Checks that the entries together never get more slots than a target has, and that the grants of an entry expire when
// its reports do.

package org.gypsumturn.request

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.apache.commons.rng.simple.RandomSource
import org.gypsumturn.model.NodeId

class SlotLimitsTest : AnnotationSpec() {
    private val names = (0..8).map { "e$it" }
    private val view = viewOf(*(0..5).map { instance("t$it") }.toTypedArray(), nodes = names)
    private val settings = DispatchSettings()

    private class EntryLimits(val name: String, val table: TargetTable, val limits: SlotLimits) {
        fun total(): Int = table.eligible(POOL).sumOf { limits.limit(it) }
    }

    private fun entries(create: (NodeId, TargetTable) -> SlotLimits): List<EntryLimits> = names.map { name ->
        val table = TargetTable(600_000).also { it.applyInstances(0, view.instances.values) }
        EntryLimits(name, table, create(NodeId(name), table).also { it.onViewChanged(view) })
    }

    private fun granted() = entries { node, table -> GrantedSlots(node, settings, table) }

    private fun report(name: String, sequence: Long, queued: Int) =
        SlotReport(NodeId(name), sequence, mapOf(POOL to QueuedCount(queued, 0)), emptyMap())

    private fun List<EntryLimits>.exchange(nowMillis: Long, sequence: Long, queued: (String) -> Int) {
        map { report(it.name, sequence, queued(it.name)) }.forEach { report ->
            forEach { entry ->
                if (NodeId(entry.name) == report.node) {
                    entry.limits.onOwnReport(nowMillis, report)
                } else {
                    entry.limits.onPeerReport(nowMillis, report)
                }
            }
        }
        forEach { it.limits.expireReports(nowMillis) }
    }

    private fun List<EntryLimits>.mostOnOneTarget(): Int = first().table.eligible(POOL).indices.maxOf { index ->
        sumOf { it.limits.limit(it.table.eligible(POOL)[index]) }
    }

    @Test
    fun `static shares use every slot exactly once`() {
        val entries = entries { node, table -> StaticSlots(node, table) }
        entries.mostOnOneTarget() shouldBe 8
        entries.sumOf { it.total() } shouldBe 48
    }

    @Test
    fun `grants use every slot exactly once for random demands`() {
        val seed = 41L
        println("seed $seed")
        val random = RandomSource.SPLIT_MIX_64.create(seed)
        val entries = granted()
        (1L..200L).forEach { sequence ->
            entries.exchange(sequence * 100, sequence) { random.nextInt(40) }
            entries.mostOnOneTarget() shouldBe 8
            entries.sumOf { it.total() } shouldBe 48
        }
    }

    @Test
    fun `an entry with high demand gets most of the slots`() {
        val entries = granted()
        (1L..10L).forEach { sequence -> entries.exchange(sequence * 100, sequence) { if (it == "e3") 32 else 0 } }
        entries[3].total() shouldBeGreaterThan 24
    }

    @Test
    fun `the grants of a failed entry pass to the others when its report expires`() {
        val entries = granted()
        entries.exchange(100, 1) { 4 }
        val alive = entries.drop(1)
        (1L..21L).forEach { step -> alive.exchange(100 + step * 100, 1 + step) { 4 } }
        alive.sumOf { it.total() } shouldBe 48
    }

    @Test
    fun `an entry that was paused falls back to its static share`() {
        val entries = granted()
        (1L..10L).forEach { sequence -> entries.exchange(sequence * 100, sequence) { if (it == "e3") 32 else 0 } }
        entries[3].limits.expireReports(5_000)
        entries[3].total() shouldBeLessThanOrEqual 6
    }

    @Test
    fun `an entry with reports of fewer than half of its peers falls back to its static share`() {
        val entries = granted()
        entries[0].limits.onOwnReport(100, report("e0", 1, queued = 30))
        (1..3).forEach { entries[0].limits.onPeerReport(100, report("e$it", 1, queued = 0)) }
        entries[0].total() shouldBeLessThanOrEqual 6
    }

    @Test
    fun `in a partition the minority uses at most its static shares and the majority all slots`() {
        val entries = granted()
        entries.exchange(100, 1) { 4 }
        val (majority, minority) = entries.take(5) to entries.drop(5)
        (1L..25L).forEach { step ->
            majority.exchange(100 + step * 100, 1 + step) { 4 }
            minority.exchange(100 + step * 100, 1 + step) { 32 }
        }
        majority.sumOf { it.total() } shouldBe 48
        minority.forEach { it.total() shouldBeLessThanOrEqual 6 }
    }

    @Test
    fun `a late report does not replace a newer one`() {
        val entries = granted()
        entries.exchange(100, 2) { 4 }
        val before = entries[0].total()
        entries[0].limits.onPeerReport(110, report("e1", 1, queued = 32))
        entries[0].total() shouldBe before
    }

    @Test
    fun `an entry with running but no queued requests reports at the short interval`() {
        val table = TargetTable(600_000).also { it.applyInstances(0, view.instances.values) }
        val limits = StaticSlots(NodeId("e0"), table)
        val random = RandomSource.SPLIT_MIX_64.create(1L)
        val chooser = TargetChooser(settings, table, limits, TargetFaultDetector(settings, table), random)
        val reporter = SlotReporter(NodeId("e0"), settings, table, chooser)
        reporter.nextReport(0, emptyMap())
        reporter.nextReport(settings.peerReportIntervalMillis, emptyMap()) shouldBe null
        table.eligible(POOL).first().inUse = 1
        (reporter.nextReport(settings.peerReportIntervalMillis, emptyMap()) != null) shouldBe true
    }
}
