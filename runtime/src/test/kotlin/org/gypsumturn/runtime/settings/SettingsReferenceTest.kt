// Tests that settings are rendered for the reference page, and that a program's section is found in the page again.

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
    fun `each setting is rendered as a row in the table of its section`() {
        val section = SettingsReference.render("program", schema)
        section shouldContain "### `[view]`"
        section shouldContain
            "| `lease_millis` | `3000` | a whole number from 1 to 9000 | milliseconds | lease of the view |\n"
        section shouldContain "| `address` | required |"
        section shouldContain "| `token` | empty | any text |  | one \\| two |\n"
    }

    @Test
    fun `a section that was rendered is found unchanged between other sections`() {
        val section = SettingsReference.render("program", schema)
        val page = "# Page\n\n" + SettingsReference.render("other", schema) + "\n$section\n## last\n\ntext\n"
        SettingsReference.sectionIn(page, "program") shouldBe section
        SettingsReference.sectionIn(page, "unknown") shouldBe ""
    }
}
