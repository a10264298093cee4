// Entries that divide slots: they never hold more than there are, and grants lapse with their holder.

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

    private class Holder(val name: String, val table: TargetTable, val limits: SlotLimits) {
        fun total(): Int = table.eligible(POOL).sumOf { limits.limit(it) }
    }

    private fun holders(create: (NodeId, TargetTable) -> SlotLimits): List<Holder> = names.map { name ->
        val table = TargetTable(600_000).also { it.apply(0, view.instances.values) }
        Holder(name, table, create(NodeId(name), table).also { it.viewChanged(view) })
    }

    private fun granted() = holders { node, table -> GrantedSlots(node, settings, table) }

    private fun report(name: String, sequence: Long, queued: Int) =
        SlotReport(NodeId(name), sequence, mapOf(POOL to QueuedCount(queued, 0)), emptyMap())

    private fun List<Holder>.exchange(nowMillis: Long, sequence: Long, queued: (String) -> Int) {
        map { report(it.name, sequence, queued(it.name)) }.forEach { report ->
            forEach { holder ->
                if (NodeId(holder.name) == report.node) {
                    holder.limits.told(nowMillis, report)
                } else {
                    holder.limits.heard(nowMillis, report)
                }
            }
        }
        forEach { it.limits.renew(nowMillis) }
    }

    private fun List<Holder>.mostOnOneTarget(): Int = first().table.eligible(POOL).indices.maxOf { index ->
        sumOf { it.limits.limit(it.table.eligible(POOL)[index]) }
    }

    @Test
    fun `static parts use every slot once`() {
        val holders = holders { node, table -> StaticSlots(node, table) }
        holders.mostOnOneTarget() shouldBe 8
        holders.sumOf { it.total() } shouldBe 48
    }

    @Test
    fun `grants use every slot once whatever the demands`() {
        val seed = 41L
        println("seed $seed")
        val random = RandomSource.SPLIT_MIX_64.create(seed)
        val holders = granted()
        (1L..200L).forEach { sequence ->
            holders.exchange(sequence * 100, sequence) { random.nextInt(40) }
            holders.mostOnOneTarget() shouldBe 8
            holders.sumOf { it.total() } shouldBe 48
        }
    }

    @Test
    fun `grants follow demand`() {
        val holders = granted()
        (1L..10L).forEach { sequence -> holders.exchange(sequence * 100, sequence) { if (it == "e3") 32 else 0 } }
        holders[3].total() shouldBeGreaterThan 24
    }

    @Test
    fun `the grants of an entry that died go to the others once its report lapsed`() {
        val holders = granted()
        holders.exchange(100, 1) { 4 }
        val alive = holders.drop(1)
        (1L..21L).forEach { step -> alive.exchange(100 + step * 100, 1 + step) { 4 } }
        alive.sumOf { it.total() } shouldBe 48
    }

    @Test
    fun `an entry that wakes from a pause holds only its static part`() {
        val holders = granted()
        (1L..10L).forEach { sequence -> holders.exchange(sequence * 100, sequence) { if (it == "e3") 32 else 0 } }
        holders[3].limits.renew(5_000)
        holders[3].total() shouldBeLessThanOrEqual 6
    }

    @Test
    fun `an entry that hears few peers holds only its static part`() {
        val holders = granted()
        holders[0].limits.told(100, report("e0", 1, queued = 30))
        (1..3).forEach { holders[0].limits.heard(100, report("e$it", 1, queued = 0)) }
        holders[0].total() shouldBeLessThanOrEqual 6
    }

    @Test
    fun `a part cut off from its peers holds at most its static parts besides the grants of the rest`() {
        val holders = granted()
        holders.exchange(100, 1) { 4 }
        val (rest, cutOff) = holders.take(5) to holders.drop(5)
        (1L..25L).forEach { step ->
            rest.exchange(100 + step * 100, 1 + step) { 4 }
            cutOff.exchange(100 + step * 100, 1 + step) { 32 }
        }
        rest.sumOf { it.total() } shouldBe 48
        cutOff.forEach { it.total() shouldBeLessThanOrEqual 6 }
    }

    @Test
    fun `a report that comes late does not replace a newer one`() {
        val holders = granted()
        holders.exchange(100, 2) { 4 }
        val before = holders[0].total()
        holders[0].limits.heard(110, report("e1", 1, queued = 32))
        holders[0].total() shouldBe before
    }

    @Test
    fun `an entry whose requests run without waiting reports at the short interval`() {
        val table = TargetTable(600_000).also { it.apply(0, view.instances.values) }
        val limits = StaticSlots(NodeId("e0"), table)
        val random = RandomSource.SPLIT_MIX_64.create(1L)
        val chooser = TargetChooser(settings, table, limits, FaultJudge(settings, table), random)
        val reporter = SlotReporter(NodeId("e0"), settings, table, chooser)
        reporter.next(0, emptyMap())
        reporter.next(settings.peerReportIntervalMillis, emptyMap()) shouldBe null
        table.eligible(POOL).first().inUse = 1
        (reporter.next(settings.peerReportIntervalMillis, emptyMap()) != null) shouldBe true
    }
}
