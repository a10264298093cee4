// Declaration of settings: each has a section and a key, a default or none, and says what values it allows.

package org.gypsumturn.runtime.settings

/**
 * One setting of a program.
 *
 * @property default value where the file does not name the setting; null if it must be named
 * @property allowed what values are allowed, for people
 * @property unit unit of the value, or empty
 * @property parse the value that a text stands for, or null if the text is not allowed
 */
public class Setting<T : Any> internal constructor(
    public val section: String,
    public val key: String,
    public val default: T?,
    public val allowed: String,
    public val unit: String,
    public val description: String,
    internal val parse: (String) -> T?,
)

/** A host (IP number) and a port, as written in settings. */
public data class HostAndPort(public val host: String, public val port: Int)

private val IP_NUMBER = Regex("""\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]*""")
private const val MAX_PORT = 65_535

/** Declares a whole number between the ends of [range]. */
public fun wholeNumber(
    section: String,
    key: String,
    default: Long?,
    range: LongRange,
    unit: String,
    description: String,
): Setting<Long> =
    Setting(section, key, default, "a whole number from ${range.first} to ${range.last}", unit, description) { text ->
        text.toLongOrNull()?.takeIf { it in range }
    }

/** Declares a number between [min] and [max], both included. */
public fun number(
    section: String,
    key: String,
    default: Double?,
    min: Double,
    max: Double,
    unit: String,
    description: String,
): Setting<Double> = Setting(section, key, default, "a number from $min to $max", unit, description) { text ->
    text.toDoubleOrNull()?.takeIf { it in min..max }
}

/** Declares a text of letters, digits, dots, dashes and underscores. */
public fun name(section: String, key: String, default: String?, description: String): Setting<String> =
    Setting(section, key, default, "letters, digits, dots, dashes and underscores", "", description) { text ->
        text.takeIf { it.matches(Regex("[A-Za-z0-9._-]+")) }
    }

/** Declares a text that may be anything, also empty. */
public fun text(section: String, key: String, default: String?, description: String): Setting<String> =
    Setting(section, key, default, "any text", "", description) { it }

/** Declares one of [values]. */
public fun oneOf(
    section: String,
    key: String,
    default: String?,
    values: List<String>,
    description: String,
): Setting<String> = Setting(section, key, default, "one of ${values.joinToString(", ")}", "", description) { text ->
    text.takeIf { it in values }
}

/** Declares yes or no. */
public fun flag(section: String, key: String, default: Boolean?, description: String): Setting<Boolean> =
    Setting(section, key, default, "true or false", "", description) { it.toBooleanStrictOrNull() }

/** Declares an IP number and a port, such as 10.0.0.1:8080. */
public fun address(section: String, key: String, default: HostAndPort?, description: String): Setting<HostAndPort> =
    Setting(section, key, default, "an IP number and a port, such as 10.0.0.1:8080", "", description, ::parseAddress)

/** Declares a list, separated by commas, of IP numbers with ports; it may be empty. */
public fun addresses(section: String, key: String, description: String): Setting<List<HostAndPort>> = Setting(
    section,
    key,
    emptyList(),
    "IP numbers with ports, separated by commas",
    "",
    description,
    ::parseAddresses,
)

/** The address that [text] stands for, or null. */
public fun parseAddress(text: String): HostAndPort? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull() ?: return null
    if (!host.matches(IP_NUMBER) || port !in 0..MAX_PORT) return null
    return HostAndPort(host, port)
}

/** The addresses, separated by commas, that [text] stands for; null if one of them is wrong. */
public fun parseAddresses(text: String): List<HostAndPort>? {
    val parts = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
    val parsed = parts.mapNotNull(::parseAddress)
    return parsed.takeIf { it.size == parts.size }
}
