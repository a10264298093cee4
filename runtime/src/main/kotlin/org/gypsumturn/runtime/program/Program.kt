// What all programs share on their command line: settings file, log format, check of the settings, version, exit
// codes.

package org.gypsumturn.runtime.program

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.optional
import org.gypsumturn.runtime.log.LogFormat
import org.gypsumturn.runtime.log.configureLogging
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.SettingsResult
import org.gypsumturn.runtime.settings.SettingsSchema
import sun.misc.Signal
import java.io.File
import kotlin.system.exitProcess

/** Exit codes of all programs. */
public object ExitCode {
    /** All went well. */
    public const val OK: Int = 0

    /** The call failed, or a bound was broken. */
    public const val FAILED: Int = 1

    /** The command line is wrong. */
    public const val USAGE: Int = 2

    /** The settings are wrong; nothing was started. */
    public const val BAD_SETTINGS: Int = 3

    /** The call may have taken effect; its answer is not known. */
    public const val MAY_HAVE_RUN: Int = 4
}

/** Version of all programs. */
public const val VERSION: String = "0.1.0"

private const val CHECK_CONFIG = "check-config"
private val ACTIONS = listOf("serve", CHECK_CONFIG)
internal val ACTION_TYPE = ArgType.Choice(ACTIONS, { text -> ACTIONS.single { it == text } })

/** Runs [serve] with checked settings, or ends the process with an exit code that says why not. */
public fun runProgram(name: String, schema: SettingsSchema, args: Array<String>, serve: (Settings) -> Unit) {
    runProgram(name, schema, args) { settings, _ -> serve(settings) }
}

/** The same for programs that read their settings file again; it is null where none was named. */
public fun runProgram(name: String, schema: SettingsSchema, args: Array<String>, serve: (Settings, File?) -> Unit) {
    if ("--version" in args) {
        println("$name $VERSION")
        exitProcess(ExitCode.OK)
    }
    val parser = ArgParser(name)
    parser.throwOnEnd()
    val config by parser.option(ArgType.String, "config", "c", "settings file (INI)")
    val logFormat by parser
        .option(ArgType.Choice<LogFormat>({ LogFormat.valueOf(it.uppercase()) }, { it.name.lowercase() }), "log-format")
        .default(LogFormat.TEXT)
    val action by parser
        .argument(ACTION_TYPE, "action", "serve, or only check the settings")
        .optional()
    parser.option(ArgType.Boolean, "version", description = "print the version")
    parseOrExit(parser, args)
    configureLogging(logFormat)
    val file = config?.let(::File)
    val settings = loadOrExit(schema, file)
    if (action == CHECK_CONFIG) {
        println("$name: settings are correct")
        exitProcess(ExitCode.OK)
    }
    serve(settings, file)
}

private fun parseOrExit(parser: ArgParser, args: Array<String>) {
    try {
        parser.parse(args)
    } catch (e: CommandLineEnd) {
        (if (e.exitCode == ExitCode.OK) System.out else System.err).println(e.text)
        exitProcess(e.exitCode)
    }
}

private fun loadOrExit(schema: SettingsSchema, file: File?): Settings = when (val result = schema.load(file)) {
    is SettingsResult.Loaded -> result.settings

    is SettingsResult.Rejected -> {
        result.problems.forEach { System.err.println(it) }
        exitProcess(ExitCode.BAD_SETTINGS)
    }
}

/** Runs [close] when the process is asked to end (SIGTERM or SIGINT), and blocks until then. */
public fun serveUntilShutdown(close: () -> Unit) {
    Runtime.getRuntime().addShutdownHook(Thread(close, "shutdown"))
    Thread.currentThread().join()
}

/** Calls [reload] when the process is asked to read its settings again (SIGHUP), which would otherwise end it. */
public fun onReload(reload: () -> Unit) {
    Signal.handle(Signal("HUP")) { reload() }
}
