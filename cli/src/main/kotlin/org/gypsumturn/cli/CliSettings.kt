// Settings of the command line. They are the defaults of the options that every call has.

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
        addresses("cli", "servers", "addresses of control processes, tried in this order")

    val operator: Setting<String> =
        name("cli", "operator", "operator", "name under which changes are recorded")

    val token: Setting<String> =
        text("cli", "token", "", "bearer token that authenticates the caller; empty: no token is sent")

    val caCertificateFile: Setting<String> =
        text(
            "cli",
            "tls_authority_file",
            "",
            "PEM file with the CA certificates that servers are verified against; empty: no TLS",
        )

    val output: Setting<String> = oneOf("cli", "output", "table", listOf("table", "json"), "output format")

    val timeoutMillis: Setting<Long> = wholeNumber(
        "cli",
        "timeout_millis",
        10_000,
        1..MAX_TIMEOUT_MILLIS,
        "milliseconds",
        "time within which each server must answer",
    )

    val schema = SettingsSchema(listOf(servers, operator, token, caCertificateFile, output, timeoutMillis))
}
