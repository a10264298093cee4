package org.gypsumturn.bench.views

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class SpreadModelTest : AnnotationSpec() {
    private val size = SpreadSettings(regions = 3, dataCentres = 6, nodesPerDataCentre = 3)

    private fun started(seed: Long) = SpreadModel(size, seed).also { it.run(10_000) }

    @Test
    fun `a region that is cut off stops serving, and the rest goes on`() {
        val model = started(7)
        val cut = model.regions.last()
        model.cutRegion = cut
        model.run(20_000)
        model.readyNodes(cut) shouldBe 0
        model.readyNodes(model.regions.first()) shouldBe 6
    }

    @Test
    fun `no node serves an older version once its lease has run out`() {
        val model = started(8)
        model.cutRegion = model.regions.last()
        model.run(10_001)
        model.tableVersion = model.tableVersion.next()
        model.run(10_001 + size.leaseMillis + size.pollMillis)
        model.servesOlderThan(model.tableVersion) shouldBe false
    }

    @Test
    fun `the table is read by one node of each data centre`() {
        val model = started(9)
        val before = model.usage.tableReads
        model.run(20_000)
        (model.usage.tableReads - before) shouldBe 6L * 20
    }
}
