// Declaration of settings. Each setting has a section, a key, an optional default, and a parser that checks its value.

package org.gypsumturn.runtime.settings

/**
 * One setting of a program.
 *
 * @property default value if the settings file does not contain the setting; null if the setting is required
 * @property allowed description of the allowed values, for people
 * @property unit unit of the value; empty if it has none
 * @property parse converts the text of the file to the value; gives null if the text is not allowed
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

/** A host, given as an IP address, and a port. */
public data class HostAndPort(public val host: String, public val port: Int)

private val IP_NUMBER = Regex("""\d{1,3}(\.\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]*""")
private const val MAX_PORT = 65_535

/** Declares a whole number within [range]. */
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

/** Declares a number from [min] to [max], inclusive. */
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

/** Declares a non-empty text of letters, digits, dots, dashes and underscores. */
public fun name(section: String, key: String, default: String?, description: String): Setting<String> =
    Setting(section, key, default, "letters, digits, dots, dashes and underscores", "", description) { text ->
        text.takeIf { it.matches(Regex("[A-Za-z0-9._-]+")) }
    }

/** Declares an arbitrary text, which may be empty. */
public fun text(section: String, key: String, default: String?, description: String): Setting<String> =
    Setting(section, key, default, "any text", "", description) { it }

/** Declares a text that must be one of [values]. */
public fun oneOf(
    section: String,
    key: String,
    default: String?,
    values: List<String>,
    description: String,
): Setting<String> = Setting(section, key, default, "one of ${values.joinToString(", ")}", "", description) { text ->
    text.takeIf { it in values }
}

/** Declares a Boolean, written as `true` or `false`. */
public fun flag(section: String, key: String, default: Boolean?, description: String): Setting<Boolean> =
    Setting(section, key, default, "true or false", "", description) { it.toBooleanStrictOrNull() }

/** Declares an IP address with a port, such as 10.0.0.1:8080. */
public fun address(section: String, key: String, default: HostAndPort?, description: String): Setting<HostAndPort> =
    Setting(section, key, default, "an IP number and a port, such as 10.0.0.1:8080", "", description, ::parseAddress)

/** Declares a list of IP addresses with ports, separated by commas; it may be empty and is so by default. */
public fun addresses(section: String, key: String, description: String): Setting<List<HostAndPort>> = Setting(
    section,
    key,
    emptyList(),
    "IP numbers with ports, separated by commas",
    "",
    description,
    ::parseAddresses,
)

/** Parses an IP address with a port; null if [text] is malformed. */
public fun parseAddress(text: String): HostAndPort? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull() ?: return null
    if (!host.matches(IP_NUMBER) || port !in 0..MAX_PORT) return null
    return HostAndPort(host, port)
}

/** Parses IP addresses with ports, separated by commas; null if one of them is malformed. */
public fun parseAddresses(text: String): List<HostAndPort>? {
    val parts = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
    val parsed = parts.mapNotNull(::parseAddress)
    return parsed.takeIf { it.size == parts.size }
}
