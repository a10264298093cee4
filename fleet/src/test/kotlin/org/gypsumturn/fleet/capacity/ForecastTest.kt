// Tests that a wave reboots nothing in a pool while the forecast says that it needs all of its instances.

package org.gypsumturn.fleet.capacity

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import org.gypsumturn.fleet.PRINT
import org.gypsumturn.fleet.applied
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.fleetOf
import org.gypsumturn.fleet.pool
import org.gypsumturn.fleet.wave.planWave
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveId

internal class ForecastTest : AnnotationSpec() {
    @Test
    fun `a wave waits while a pool needs all of its instances`() {
        val wave = Wave(WaveId("kernel"), listOf(PRINT))
        val view = fleetOf(listOf(pool(PRINT)), size = 6).applied(FleetCommand.StartWave(wave), 1)
        val busy = CapacityState(0, listOf(PoolCapacityState(PRINT, neededInstances = 6)))
        val quiet = CapacityState(0, listOf(PoolCapacityState(PRINT, neededInstances = 3)))
        planWave(view, view.waves.getValue(wave.id), 2, forecastOf(busy)).shouldBeEmpty()
        planWave(view, view.waves.getValue(wave.id), 2, forecastOf(quiet)) shouldHaveSize 1
    }
}
