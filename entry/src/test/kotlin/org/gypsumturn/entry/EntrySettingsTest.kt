// Checks which settings an entry requires and how errors in them are reported.

package org.gypsumturn.entry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.gypsumturn.runtime.settings.SettingsProblemKind
import org.gypsumturn.runtime.settings.SettingsResult
import java.io.File

class EntrySettingsTest : AnnotationSpec() {
    private fun load(more: String): SettingsResult {
        val file = File.createTempFile("entry", ".ini")
        file.deleteOnExit()
        file.writeText(
            """
            [node]
            name = e1
            region = texas
            data_centre = austin
            [metrics]
            address = 127.0.0.1:0
            [platform]
            address = 127.0.0.1:7000
            [peer]
            address = 127.0.0.1:7101
            [entry]
            address = 127.0.0.1:8001
            """.trimIndent() + "\n" + more,
        )
        return EntrySettings.schema.load(file)
    }

    @Test
    fun `only the names and addresses are required and all other settings have defaults`() {
        val settings = load("").shouldBeInstanceOf<SettingsResult.Loaded>().settings
        EntrySettings.configOf(settings).retention.millis shouldBe 86_400_000
    }

    @Test
    fun `a value with a unit and an unknown key are both reported`() {
        val found = load("[ledger]\nlinger_millis = 5ms\nlingers = 5\n").shouldBeInstanceOf<SettingsResult.Rejected>()
        found.problems.map { it.kind } shouldContainExactlyInAnyOrder
            listOf(SettingsProblemKind.BAD_VALUE, SettingsProblemKind.UNKNOWN)
    }
}
