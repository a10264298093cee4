// Declaration of settings whose value is a list of names separated by commas.

package org.gypsumturn.runtime.settings

/** A name with a count, as in `plans:8`. */
public data class NamedCount(public val name: String, public val count: Int)

private val NAME = Regex("[A-Za-z0-9._-]+")

/** Declares a list of at least one name, separated by commas. */
public fun names(section: String, key: String, default: List<String>?, description: String): Setting<List<String>> =
    Setting(section, key, default, "names, separated by commas", "", description) { text ->
        splitList(text).takeIf { list -> list.isNotEmpty() && list.all { it.matches(NAME) } }
    }

/** Declares a list of distinct names, each with a count from 1 to [maxCount], separated by commas; may be empty. */
public fun namedCounts(
    section: String,
    key: String,
    default: List<NamedCount>?,
    maxCount: Int,
    description: String,
): Setting<List<NamedCount>> = Setting(
    section,
    key,
    default,
    "different names with counts from 1 to $maxCount, such as plans:8, separated by commas",
    "",
    description,
) { text -> parseNamedCounts(text, maxCount) }

private fun parseNamedCounts(text: String, maxCount: Int): List<NamedCount>? {
    val parts = splitList(text)
    val parsed =
        parts.mapNotNull { part ->
            val name = part.substringBefore(':').trim()
            val count = part.substringAfter(':', "").trim().toIntOrNull()
            if (name.matches(NAME) && count != null && count in 1..maxCount) NamedCount(name, count) else null
        }
    return parsed.takeIf { it.size == parts.size && it.distinctBy(NamedCount::name).size == parts.size }
}

private fun splitList(text: String): List<String> = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
