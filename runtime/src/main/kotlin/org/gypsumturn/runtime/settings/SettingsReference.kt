// Renders the settings of a program as a section of the settings reference page, so that a test can compare the page
// with the declarations.

package org.gypsumturn.runtime.settings

/** Renders settings as Markdown and extracts a program's section from a page. */
public object SettingsReference {
    private const val HEADING = "## "
    private const val TABLE_HEAD = "| Key | Default | Allowed | Unit | Meaning |\n|---|---|---|---|---|\n"

    /** Renders the section of [program], whose settings are [schema]. The result ends with a newline. */
    public fun render(program: String, schema: SettingsSchema): String {
        val sections = schema.settings.groupBy { it.section }.map { (name, settings) -> renderSection(name, settings) }
        return "$HEADING$program\n\n" + sections.joinToString("\n")
    }

    /** Extracts the section of [program] from the text of [page], in the form of [render]; empty if there is none. */
    public fun sectionIn(page: String, program: String): String {
        val heading = "$HEADING$program"
        val after = page.lines().dropWhile { it != heading }
        if (after.isEmpty()) return ""
        val body = after.drop(1).takeWhile { !it.startsWith(HEADING) }
        return (listOf(heading) + body).joinToString("\n").trimEnd() + "\n"
    }

    private fun renderSection(name: String, settings: List<Setting<*>>): String =
        "### `[$name]`\n\n" + TABLE_HEAD + settings.joinToString("") { renderRow(it) }

    private fun renderRow(setting: Setting<*>): String {
        val cells =
            listOf(
                "`${setting.key}`",
                renderDefault(setting.default),
                setting.allowed,
                setting.unit,
                setting.description,
            )
        return cells.joinToString(" | ", "| ", " |\n") { it.replace("|", "\\|") }
    }

    private fun renderDefault(default: Any?): String = when (default) {
        null -> "required"

        is List<*> -> if (default.isEmpty()) {
            "empty"
        } else {
            default.joinToString(prefix = "`", postfix = "`") {
                renderValue(it)
            }
        }

        else -> renderValue(default).let { if (it.isEmpty()) "empty" else "`$it`" }
    }

    private fun renderValue(value: Any?): String = when (value) {
        is HostAndPort -> "${value.host}:${value.port}"
        is NamedCount -> "${value.name}:${value.count}"
        else -> value.toString()
    }
}
