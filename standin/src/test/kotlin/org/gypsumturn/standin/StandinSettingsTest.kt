// Tests how the stand-in reads its settings and plans its instances from them.

package org.gypsumturn.standin

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.runtime.settings.SettingsProblemKind
import org.gypsumturn.runtime.settings.SettingsResult
import java.io.File

class StandinSettingsTest : AnnotationSpec() {
    private val commonSections =
        "[node]\nname = standin\nregion = texas\ndata_centre = dc1\n[metrics]\naddress = 127.0.0.1:0\n"

    private fun load(content: String): SettingsResult {
        val file = File.createTempFile("standin", ".ini")
        file.deleteOnExit()
        file.writeText(commonSections + content)
        return StandinSettings.schema.load(file)
    }

    @Test
    fun `instances of all groups are spread over data centres and racks`() {
        val result = load(
            "[standin]\naddress = 127.0.0.1:7000\ndata_centres = dc1, dc2\n" +
                "[executors]\ngroups = plans:3, office:2\nfirst_port = 7100\ninstances_per_rack = 2\n",
        )
        val options = StandinSettings.optionsOf(result.shouldBeInstanceOf<SettingsResult.Loaded>().settings)
        val planned = planInstances(options.executors, "executors", options.region, options.dataCentres)
        planned.map { it.id.value } shouldBe listOf("plans-1", "plans-2", "plans-3", "office-1", "office-2")
        planned.map { it.domain.rack.value } shouldBe
            listOf("dc1-executors-1", "dc2-executors-1", "dc1-executors-1", "dc2-executors-1", "dc1-executors-2")
        listOf(options.slots, options.connections) shouldBe listOf(8, 64)
    }

    @Test
    fun `all problems in the settings are reported together`() {
        val result = load("[standin]\naddress = 127.0.0.1:7000\n[executors]\ngroups = plans\nfrist_port = 1\n")
        result.shouldBeInstanceOf<SettingsResult.Rejected>().problems.map {
            it.kind to it.key
        } shouldContainExactlyInAnyOrder
            listOf(
                SettingsProblemKind.MISSING to "data_centres",
                SettingsProblemKind.BAD_VALUE to "groups",
                SettingsProblemKind.UNKNOWN to "frist_port",
                SettingsProblemKind.MISSING to "first_port",
            )
    }
}
