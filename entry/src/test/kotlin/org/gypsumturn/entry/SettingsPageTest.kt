// Checks that the reference page of the settings matches the settings of the program.

package org.gypsumturn.entry

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.gypsumturn.runtime.settings.SettingsReference
import java.io.File

class SettingsPageTest : AnnotationSpec() {
    @Test
    fun `the settings page describes the settings of this program`() {
        val expected = SettingsReference.render(PROGRAM, EntrySettings.schema)
        withClue("docs/operations/SETTINGS.md should contain:\n$expected") {
            SettingsReference.sectionIn(File(PAGE).readText(), PROGRAM) shouldBe expected
        }
    }

    private companion object {
        const val PROGRAM = "gypsumturn-entry"
        const val PAGE = "../docs/operations/SETTINGS.md"
    }
}
