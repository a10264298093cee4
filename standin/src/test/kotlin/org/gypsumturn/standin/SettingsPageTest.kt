// Checks that the settings page docs/operations/SETTINGS.md matches the settings that the stand-in declares.

package org.gypsumturn.standin

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.runtime.settings.SettingsReference
import java.io.File

class SettingsPageTest : AnnotationSpec() {
    @Test
    fun `the settings page describes the settings of this program`() {
        val expected = SettingsReference.render(PROGRAM, StandinSettings.schema)
        withClue("docs/operations/SETTINGS.md should contain:\n$expected") {
            SettingsReference.sectionIn(File(PAGE).readText(), PROGRAM) shouldBe expected
        }
    }

    private companion object {
        const val PROGRAM = "gypsumturn-standin"
        const val PAGE = "../docs/operations/SETTINGS.md"
    }
}
