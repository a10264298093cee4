// Command line and process life cycle that all programs share: settings file, check of the settings, log format,
// version, exit codes, shutdown and reload.

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
    /** The program succeeded. */
    public const val OK: Int = 0

    /** The call failed, or a measured value exceeded its limit. */
    public const val FAILED: Int = 1

    /** The command line is invalid. */
    public const val USAGE: Int = 2

    /** The settings are invalid; nothing was started. */
    public const val BAD_SETTINGS: Int = 3

    /** The call may have taken effect; its answer is unknown. */
    public const val MAY_HAVE_RUN: Int = 4
}

/** Version of all programs. */
public const val VERSION: String = "0.1.0"

private const val CHECK_CONFIG = "check-config"
private val ACTIONS = listOf("serve", CHECK_CONFIG)
internal val ACTION_TYPE = ArgType.Choice(ACTIONS, { text -> ACTIONS.single { it == text } })

/**
 * Parses [args], loads and checks the settings, and runs [serve] with them. Ends the process with an [ExitCode] if the
 * command line or the settings are invalid, or if only a check, the version or the help was requested.
 */
public fun runProgram(name: String, schema: SettingsSchema, args: Array<String>, serve: (Settings) -> Unit) {
    runProgram(name, schema, args) { settings, _ -> serve(settings) }
}

/** As above, for programs that reload their settings file; [serve] gets null if the command line names no file. */
public fun runProgram(name: String, schema: SettingsSchema, args: Array<String>, serve: (Settings, File?) -> Unit) {
    if ("--version" in args) {
        println("$name $VERSION")
        exitProcess(ExitCode.OK)
    }
    val parser = ArgParser(name)
    parser.throwOnExit()
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
    } catch (e: CommandLineExit) {
        (if (e.exitCode == ExitCode.OK) System.out else System.err).println(e.text)
        exitProcess(e.exitCode)
    }
}

private fun loadOrExit(schema: SettingsSchema, file: File?): Settings = when (val result = schema.load(file)) {
    is SettingsResult.Loaded -> result.settings.also { settings ->
        settings.notFilled.forEach { System.err.println("placeholder not filled in, the default is in force: $it") }
    }

    is SettingsResult.Rejected -> {
        result.problems.forEach { System.err.println(it) }
        exitProcess(ExitCode.BAD_SETTINGS)
    }
}

/** Blocks until the process is asked to end (SIGTERM or SIGINT), and then runs [close]. */
public fun serveUntilShutdown(close: () -> Unit) {
    serveUntilShutdown({}, close)
}

/**
 * Runs [start], blocks until the process is asked to end (SIGTERM or SIGINT), and then runs [close]. A process that is
 * asked to end while it starts runs [close] too, at the same time as [start].
 */
public fun serveUntilShutdown(start: () -> Unit, close: () -> Unit) {
    Runtime.getRuntime().addShutdownHook(Thread(close, "shutdown"))
    start()
    Thread.currentThread().join()
}

/**
 * Handles SIGHUP, which asks a process to reload its settings. A program that reloads creates it before anything else,
 * because the signal ends a process that does not handle it.
 */
public class ReloadSignal {
    private var reload: (() -> Unit)? = null
    private var isPending = false

    init {
        Signal.handle(Signal("HUP")) { onSignal() }
    }

    /** Calls [reload] on each further signal, and at once if there was a signal before. */
    @Synchronized
    public fun handleWith(reload: () -> Unit) {
        this.reload = reload
        if (isPending) reload()
        isPending = false
    }

    @Synchronized
    private fun onSignal() {
        val handler = reload
        if (handler == null) isPending = true else handler()
    }
}
