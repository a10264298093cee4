// Settings of the command line: defaults for the options that every call has.

package org.gypsumturn.cli

import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.settings.Setting
import org.gypsumturn.runtime.settings.SettingsSchema
import org.gypsumturn.runtime.settings.addresses
import org.gypsumturn.runtime.settings.name
import org.gypsumturn.runtime.settings.oneOf
import org.gypsumturn.runtime.settings.text
import org.gypsumturn.runtime.settings.wholeNumber

internal object CliSettings {
    private const val MAX_TIMEOUT_MILLIS = 600_000L

    val servers: Setting<List<HostAndPort>> =
        addresses("cli", "servers", "addresses of control processes, asked in this order")

    val operator: Setting<String> =
        name("cli", "operator", "operator", "name under which changes are recorded")

    val token: Setting<String> = text("cli", "token", "", "token that proves who calls")

    val authorityFile: Setting<String> =
        text("cli", "tls_authority_file", "", "certificates in PEM that servers are checked with; empty: no TLS")

    val output: Setting<String> = oneOf("cli", "output", "table", listOf("table", "json"), "form of the output")

    val timeoutMillis: Setting<Long> = wholeNumber(
        "cli",
        "timeout_millis",
        10_000,
        1..MAX_TIMEOUT_MILLIS,
        "milliseconds",
        "time that each server has for an answer",
    )

    val schema = SettingsSchema(listOf(servers, operator, token, authorityFile, output, timeoutMillis))
}
