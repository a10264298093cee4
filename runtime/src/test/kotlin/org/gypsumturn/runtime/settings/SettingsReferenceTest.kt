// Rendering of settings for the reference page.

package org.gypsumturn.runtime.settings

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class SettingsReferenceTest : AnnotationSpec() {
    private val schema =
        SettingsSchema(
            listOf(
                wholeNumber("view", "lease_millis", 3_000, 1L..9_000L, "milliseconds", "lease of the view"),
                address("peer", "address", null, "address of the node"),
                text("peer", "token", "", "one | two"),
            ),
        )

    @Test
    fun `each setting is a row in the table of its section`() {
        val section = SettingsReference.render("program", schema)
        section shouldContain "### `[view]`"
        section shouldContain
            "| `lease_millis` | `3000` | a whole number from 1 to 9000 | milliseconds | lease of the view |\n"
        section shouldContain "| `address` | required |"
        section shouldContain "| `token` | empty | any text |  | one \\| two |\n"
    }

    @Test
    fun `a section is found between its neighbours as it was rendered`() {
        val section = SettingsReference.render("program", schema)
        val page = "# Page\n\n" + SettingsReference.render("other", schema) + "\n$section\n## last\n\ntext\n"
        SettingsReference.sectionIn(page, "program") shouldBe section
        SettingsReference.sectionIn(page, "unknown") shouldBe ""
    }
}
