// Lets programs choose their exit code after command-line errors and help. kotlinx-cli ends the process itself, with
// code 127 after an error. The setter of its exit handler is not visible to Kotlin callers, so it is called by
// reflection.

package org.gypsumturn.runtime.program

import kotlinx.cli.ArgParser

/** Thrown instead of ending the process. [text] is the help or the error message, [exitCode] one of [ExitCode]. */
public class CommandLineExit(public val text: String, public val exitCode: Int) : RuntimeException(text)

private const val EXIT_HANDLER_SETTER = "setOutputAndTerminate\$kotlinx_cli"

/** Makes this parser, and subcommands added later, throw [CommandLineExit] where they would end the process. */
public fun ArgParser.throwOnExit() {
    val exitHandler: (String, Int) -> Nothing = { text, code ->
        throw CommandLineExit(text, if (code == 0) ExitCode.OK else ExitCode.USAGE)
    }
    ArgParser::class.java.getMethod(EXIT_HANDLER_SETTER, Function2::class.java).invoke(this, exitHandler)
}
