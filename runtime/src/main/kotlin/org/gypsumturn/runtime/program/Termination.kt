// How command lines end. kotlinx-cli ends the process by itself, with code 127 after a wrong command line; its hook
// for that is not visible to Kotlin callers, so it is reached by reflection.

package org.gypsumturn.runtime.program

import kotlinx.cli.ArgParser

/** Thrown in place of the end of the process: [text] is the help or the error, [exitCode] one of [ExitCode]. */
public class CommandLineEnd(public val text: String, public val exitCode: Int) : RuntimeException(text)

private const val HOOK = "setOutputAndTerminate\$kotlinx_cli"

/**
 * Makes this parser, and subcommands that are added later, throw [CommandLineEnd] where they would end the process.
 */
public fun ArgParser.throwOnEnd() {
    val end: (String, Int) -> Nothing = { text, code ->
        throw CommandLineEnd(text, if (code == 0) ExitCode.OK else ExitCode.USAGE)
    }
    ArgParser::class.java.getMethod(HOOK, Function2::class.java).invoke(this, end)
}
