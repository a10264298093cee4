// Checks the simulation of view propagation: a region that is cut off, leases, and the number of table reads.

package org.gypsumturn.bench.views

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

class ViewPropagationSimulationTest : AnnotationSpec() {
    private val size = PropagationSettings(regions = 3, dataCentres = 6, nodesPerDataCentre = 3)

    private fun started(seed: Long) = ViewPropagationSimulation(size, seed).also { it.run(10_000) }

    @Test
    fun `nodes in a region that is cut off stop accepting work and the other nodes go on`() {
        val simulation = started(7)
        val isolated = simulation.regions.last()
        simulation.isolatedRegion = isolated
        simulation.run(20_000)
        simulation.readyNodeCount(isolated) shouldBe 0
        simulation.readyNodeCount(simulation.regions.first()) shouldBe 6
    }

    @Test
    fun `no node accepts work under an older version after its lease has expired`() {
        val simulation = started(8)
        simulation.isolatedRegion = simulation.regions.last()
        simulation.run(10_001)
        simulation.tableVersion = simulation.tableVersion.next()
        simulation.run(10_001 + size.leaseMillis + size.pollMillis)
        simulation.isOlderVersionServed(simulation.tableVersion) shouldBe false
    }

    @Test
    fun `one node of each data centre reads the table`() {
        val simulation = started(9)
        val before = simulation.callCounts.tableReads
        simulation.run(20_000)
        (simulation.callCounts.tableReads - before) shouldBe 6L * 20
    }
}
