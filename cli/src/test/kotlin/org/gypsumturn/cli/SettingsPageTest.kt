// Checks that the reference page of the settings describes exactly the settings of this program.

package org.gypsumturn.cli

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.runtime.settings.SettingsReference
import java.io.File

class SettingsPageTest : AnnotationSpec() {
    @Test
    fun `the settings page describes the settings of this program`() {
        val expected = SettingsReference.render(PROGRAM, CliSettings.schema)
        withClue("docs/operations/SETTINGS.md should contain:\n$expected") {
            SettingsReference.sectionIn(File(PAGE).readText(), PROGRAM) shouldBe expected
        }
    }

    private companion object {
        const val PROGRAM = "gypsumturn"
        const val PAGE = "../docs/operations/SETTINGS.md"
    }
}
