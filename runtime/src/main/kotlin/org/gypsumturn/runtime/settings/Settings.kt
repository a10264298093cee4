// Loads settings from an INI file. All problems of a file are reported together, before the program starts anything.
// Files are often filled in from a template. Where the platform has no value for a setting, or does not know a form of
// placeholder, the line counts as absent, so that a template may name more than each platform provides.

package org.gypsumturn.runtime.settings

import org.ini4j.Config
import org.ini4j.Ini
import java.io.File
import java.io.IOException
import java.io.StringReader

/** Some editors put this mark at the start of a UTF-8 file. */
private const val BYTE_ORDER_MARK = "\uFEFF"

/** Begins a placeholder of a template. A value that contains it was not filled in. */
private const val PLACEHOLDER = "{{"

/** Kind of problem with a setting or with the whole file. */
public enum class SettingsProblemKind { UNREADABLE_FILE, UNKNOWN, DUPLICATE, MISSING, BAD_VALUE }

/**
 * A problem with one setting of a file, or with the whole file if [section] is empty.
 *
 * @property value rejected value; for an unreadable file the reason
 * @property allowed description of what is allowed, for people
 */
public data class SettingsProblem(
    public val kind: SettingsProblemKind,
    public val file: String,
    public val section: String,
    public val key: String,
    public val value: String,
    public val allowed: String,
    public val unit: String,
) {
    override fun toString(): String {
        val place = if (section.isEmpty()) file else "$file: [$section] $key"
        val unitText = if (unit.isEmpty()) "" else ", in $unit"
        return when (kind) {
            SettingsProblemKind.UNREADABLE_FILE -> "$place: cannot be read: $value"
            SettingsProblemKind.UNKNOWN -> "$place: unknown setting (value \"$value\"); allowed: $allowed"
            SettingsProblemKind.DUPLICATE -> "$place: set more than once (values $value); allowed: once"
            SettingsProblemKind.MISSING -> "$place: missing; allowed: $allowed$unitText"
            SettingsProblemKind.BAD_VALUE -> "$place: bad value \"$value\"; allowed: $allowed$unitText"
        }
    }
}

/**
 * The values of a program's settings, all of them checked.
 *
 * @property notFilled settings that have their defaults since the file holds a placeholder in place of a value, each as
 * section, key and the text of the file
 */
public class Settings internal constructor(
    private val values: Map<Setting<*>, Any>,
    public val notFilled: List<String> = emptyList(),
) {
    /** The value of [setting], which must belong to the schema with which these settings were loaded. */
    @Suppress("UNCHECKED_CAST")
    public operator fun <T : Any> get(setting: Setting<T>): T = values.getValue(setting) as T
}

/** Result of loading settings. */
public sealed interface SettingsResult {
    /** Every setting has an allowed value. */
    public data class Loaded(public val settings: Settings) : SettingsResult

    /** The file has [problems], so the program must not start. */
    public data class Rejected(public val problems: List<SettingsProblem>) : SettingsResult
}

/** All settings of a program. */
public class SettingsSchema(public val settings: List<Setting<*>>) {
    /** Loads and checks [file]; null is treated as an empty file. */
    public fun load(file: File?): SettingsResult {
        val fileName = file?.path ?: "(no file)"
        return try {
            check(fileName, read(file))
        } catch (e: IOException) {
            val reason = e.message ?: e.javaClass.simpleName
            val problem =
                SettingsProblem(
                    SettingsProblemKind.UNREADABLE_FILE,
                    fileName,
                    "",
                    "",
                    reason,
                    "a readable INI file",
                    "",
                )
            SettingsResult.Rejected(listOf(problem))
        }
    }

    private fun read(file: File?): Ini {
        val ini = Ini()
        ini.config =
            Config().apply {
                isMultiOption = true
                isMultiSection = true
                isEscape = false
                isEmptyOption = true
            }
        if (file != null) ini.load(StringReader(file.readText().removePrefix(BYTE_ORDER_MARK)))
        return ini
    }

    private fun check(fileName: String, ini: Ini): SettingsResult {
        val problems = unknownSettings(fileName, ini).toMutableList()
        val values = HashMap<Setting<*>, Any>()
        val notFilled = ArrayList<String>()
        for (setting in settings) {
            val (unfilled, texts) = ini.getAll(setting.section).orEmpty()
                .flatMap { it.getAll(setting.key).orEmpty() }
                .partition { it != null && PLACEHOLDER in it }
            unfilled.forEach { notFilled += "[${setting.section}] ${setting.key}: $it" }
            val value = if (texts.isEmpty()) setting.default else texts.first()?.let { setting.parse(it.trim()) }
            when {
                texts.size > 1 ->
                    problems += problem(SettingsProblemKind.DUPLICATE, fileName, setting, texts.joinToString())

                value != null -> values[setting] = value

                texts.isEmpty() -> problems += problem(SettingsProblemKind.MISSING, fileName, setting, "")

                else ->
                    problems += problem(SettingsProblemKind.BAD_VALUE, fileName, setting, texts.first().orEmpty())
            }
        }
        if (problems.isNotEmpty()) return SettingsResult.Rejected(problems)
        return SettingsResult.Loaded(Settings(values, notFilled))
    }

    private fun unknownSettings(fileName: String, ini: Ini): List<SettingsProblem> = ini.values.flatMap { section ->
        val known = settings.filter { it.section == section.name }.map { it.key }
        val allowed =
            if (known.isEmpty()) {
                "sections ${settings.map { it.section }.distinct().joinToString()}"
            } else {
                known.joinToString()
            }
        section.keys.filter { it !in known }.map { key ->
            val value = section[key].orEmpty()
            SettingsProblem(SettingsProblemKind.UNKNOWN, fileName, section.name, key, value, allowed, "")
        }
    }

    private fun problem(kind: SettingsProblemKind, fileName: String, setting: Setting<*>, value: String) =
        SettingsProblem(kind, fileName, setting.section, setting.key, value, setting.allowed, setting.unit)
}
