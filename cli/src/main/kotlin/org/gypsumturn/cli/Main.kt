// Entry point of the command line for operators. Each subcommand makes one kind of call of the administration API;
// `check-config` makes none.

package org.gypsumturn.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import org.gypsumturn.cli.client.AdminClient
import org.gypsumturn.cli.command.CallCommand
import org.gypsumturn.cli.command.CallContext
import org.gypsumturn.cli.command.CommandGroup
import org.gypsumturn.cli.command.configCommands
import org.gypsumturn.cli.command.eventCommands
import org.gypsumturn.cli.command.instanceCommands
import org.gypsumturn.cli.command.jobCommands
import org.gypsumturn.cli.command.poolCommands
import org.gypsumturn.cli.command.rolloutCommands
import org.gypsumturn.cli.command.serviceCommands
import org.gypsumturn.cli.command.statusCommand
import org.gypsumturn.cli.command.teamCommands
import org.gypsumturn.cli.command.waveCommands
import org.gypsumturn.cli.output.Output
import org.gypsumturn.runtime.log.configureLogging
import org.gypsumturn.runtime.program.CommandLineExit
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.runtime.program.VERSION
import org.gypsumturn.runtime.program.throwOnExit
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.SettingsResult
import java.io.File
import kotlin.system.exitProcess

private const val PROGRAM_NAME = "gypsumturn"

/** Makes the call that [args] name and exits the process with its exit code. */
public fun main(args: Array<String>) {
    exitProcess(runCommandLine(args.toList(), ::println, System.err::println))
}

/** Runs the command line [args] and returns its exit code. Output is passed to [out], error messages to [err]. */
internal fun runCommandLine(args: List<String>, out: (String) -> Unit, err: (String) -> Unit): Int = try {
    if (args == listOf("--version")) {
        out("$PROGRAM_NAME $VERSION")
        ExitCode.OK
    } else {
        parseAndRun(args, out, err)
    }
} catch (e: CommandLineExit) {
    (if (e.exitCode == ExitCode.OK) out else err)(e.text)
    e.exitCode
}

private fun parseAndRun(args: List<String>, out: (String) -> Unit, err: (String) -> Unit): Int {
    val parser = ArgParser(PROGRAM_NAME, strictSubcommandOptionsOrder = true)
    parser.throwOnExit()
    parser.option(ArgType.Boolean, "version", description = "print the version")
    val groups = listOf(
        poolCommands(),
        serviceCommands(),
        teamCommands(),
        instanceCommands(),
        waveCommands(),
        configCommands(),
        rolloutCommands(),
        jobCommands(),
        eventCommands(),
    )
    val status = statusCommand()
    val check = CheckConfig()
    parser.subcommands(*groups.toTypedArray<Subcommand>(), status, check)
    groups.forEach { it.subcommands(*it.calls.toTypedArray()) }
    parser.parse(args.ifEmpty { listOf("--help") }.toTypedArray())
    if (check.chosen) return check.run(out)
    val call = (groups.flatMap { it.calls } + status).find { it.chosen } ?: throwMissingCall(groups)
    return runCall(call, out, err)
}

private fun throwMissingCall(groups: List<CommandGroup>): Nothing {
    val group = groups.find { it.chosen }
    val text =
        if (group == null) {
            "no subcommand is given; see $PROGRAM_NAME --help"
        } else {
            "${group.name}: no subcommand is given; expected one of ${group.calls.joinToString { it.name }}"
        }
    throw CommandLineExit(text, ExitCode.USAGE)
}

private fun runCall(call: CallCommand, out: (String) -> Unit, err: (String) -> Unit): Int {
    configureLogging(call.logFormat)
    val settings = loadSettings(call.config)
    val output = Output(call.outputFormat(settings), out, err)
    return call.run(CallContext(AdminClient(call.clientOptions(settings)), output, settings))
}

private fun loadSettings(path: String?): Settings = when (val result = CliSettings.schema.load(path?.let(::File))) {
    is SettingsResult.Loaded -> result.settings
    is SettingsResult.Rejected -> throw CommandLineExit(result.problems.joinToString("\n"), ExitCode.BAD_SETTINGS)
}

private class CheckConfig : Subcommand("check-config", "check the settings file and exit") {
    private val config by option(ArgType.String, "config", "c", "settings file (INI)")

    var chosen = false
        private set

    override fun execute() {
        chosen = true
    }

    fun run(out: (String) -> Unit): Int {
        loadSettings(config)
        out("$PROGRAM_NAME: settings are correct")
        return ExitCode.OK
    }
}
