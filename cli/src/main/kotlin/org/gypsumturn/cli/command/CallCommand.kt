// Base classes of the subcommands. They define the options that all calls have, such as the servers and the output
// format, and those that all changes have, such as the operation id and the expected revision.

package org.gypsumturn.cli.command

import com.google.protobuf.Message
import kotlinx.cli.ArgType
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.gypsumturn.cli.CliSettings
import org.gypsumturn.cli.client.AdminClient
import org.gypsumturn.cli.client.CallKind
import org.gypsumturn.cli.client.CallResult
import org.gypsumturn.cli.client.ClientOptions
import org.gypsumturn.cli.output.Output
import org.gypsumturn.cli.output.OutputFormat
import org.gypsumturn.runtime.log.LogFormat
import org.gypsumturn.runtime.program.CommandLineExit
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.runtime.settings.HostAndPort
import org.gypsumturn.runtime.settings.Settings
import org.gypsumturn.runtime.settings.parseAddresses
import org.gypsumturn.schema.admin.AdminGrpc.AdminBlockingStub
import org.gypsumturn.schema.admin.Mutating
import java.util.UUID

/** Passed to a [CallCommand] when it runs. [settings] are the defaults of its options. */
internal class CallContext(val client: AdminClient, val output: Output, val settings: Settings)

private object ServersType : ArgType<List<HostAndPort>>(true) {
    override val description: kotlin.String = "{ ip:port[,ip:port...] }"

    override fun convert(value: kotlin.String, name: kotlin.String): List<HostAndPort> = parseAddresses(value)
        ?: throw CommandLineExit(
            "--$name: bad value \"$value\"; allowed: IP addresses with ports, separated by commas",
            ExitCode.USAGE,
        )
}

/** A subcommand that makes exactly one call. */
internal abstract class CallCommand(name: String, description: String) : Subcommand(name, description) {
    val config by option(ArgType.String, "config", "c", "settings file (INI) with defaults for the options")
    val logFormat by option(
        ArgType.Choice<LogFormat>({ LogFormat.valueOf(it.uppercase()) }, { it.name.lowercase() }),
        "log-format",
        description = "log format",
    ).default(LogFormat.TEXT)
    private val servers by option(
        ServersType,
        "server",
        description = "addresses of control processes, tried in this order",
    )
    private val outputFormat by option(
        ArgType.Choice<OutputFormat>({ OutputFormat.valueOf(it.uppercase()) }, { it.name.lowercase() }),
        "output",
        description = "output format",
    )
    private val token by option(ArgType.String, "token", description = "bearer token that authenticates the caller")
    private val caCertificateFile by option(
        ArgType.String,
        "tls-authority-file",
        description = "PEM file with the CA certificates that servers are verified against; without it no TLS is used",
    )
    private val timeoutMillis by option(
        ArgType.Int,
        "timeout-millis",
        description = "time in milliseconds within which each server must answer",
    )

    /** Whether the command line named this call. */
    var chosen = false
        private set

    override fun execute() {
        chosen = true
    }

    /**
     * Returns the options of the client; those on the command line take precedence over [settings].
     *
     * @throws CommandLineEnd if there is no server or the timeout is not positive
     */
    fun clientOptions(settings: Settings): ClientOptions {
        val usedServers = servers ?: settings[CliSettings.servers]
        if (usedServers.isEmpty()) throw CommandLineExit("no server given; use --server ip:port", ExitCode.USAGE)
        val usedTimeoutMillis = timeoutMillis?.toLong() ?: settings[CliSettings.timeoutMillis]
        if (usedTimeoutMillis <= 0) throw CommandLineExit("--timeout-millis: must be at least 1", ExitCode.USAGE)
        val usedCaFile = caCertificateFile ?: settings[CliSettings.caCertificateFile]
        return ClientOptions(usedServers, token ?: settings[CliSettings.token], usedTimeoutMillis, usedCaFile)
    }

    fun outputFormat(settings: Settings): OutputFormat =
        outputFormat ?: OutputFormat.valueOf(settings[CliSettings.output].uppercase())

    /** Makes the call, prints its result and returns the exit code. */
    abstract fun run(context: CallContext): Int
}

/** A call that changes nothing. */
internal class ReadCommand(name: String, description: String, private val send: (AdminBlockingStub) -> Message) :
    CallCommand(name, description) {
    override fun run(context: CallContext): Int =
        context.output.printResult(context.client.call(CallKind.READ, send), null)
}

/** A call that changes something. A repeat with the same operation id has no further effect. */
internal abstract class MutatingCommand(name: String, description: String) : CallCommand(name, description) {
    private val operator by option(ArgType.String, "operator", description = "name under which the change is recorded")
    private val operationId by option(
        ArgType.String,
        "operation-id",
        description = "identifies the change; a repeat with the same id has no further effect (default: a random id)",
    )
    private val expectedRevision by option(
        ArgType.String,
        "expected-revision",
        description = "revision that the record must have for the change to be made; 0: any",
    ).default("0")

    override fun run(context: CallContext): Int {
        val header = buildHeader(context.settings)
        val result: CallResult<Message> = context.client.call(CallKind.MUTATION) { send(it, header) }
        return context.output.printResult(result, header.operationId)
    }

    /** Makes the call with [header]. */
    abstract fun send(stub: AdminBlockingStub, header: Mutating): Message

    private fun buildHeader(settings: Settings): Mutating {
        val revision = expectedRevision.toLongOrNull()?.takeIf { it >= 0 }
            ?: throw CommandLineExit("--expected-revision: must be a whole number, at least 0", ExitCode.USAGE)
        return Mutating
            .newBuilder()
            .setOperationId(operationId ?: UUID.randomUUID().toString())
            .setOperator(operator ?: settings[CliSettings.operator])
            .setExpectedRevision(revision)
            .build()
    }
}

/** A change of the record whose id is the only argument. */
internal class IdCommand(
    name: String,
    description: String,
    private val sendWithId: (AdminBlockingStub, Mutating, String) -> Message,
) : MutatingCommand(name, description) {
    private val id by argument(ArgType.String, "id", "name of the record")

    override fun send(stub: AdminBlockingStub, header: Mutating): Message = sendWithId(stub, header, id)
}

/** A subcommand that only groups other subcommands, such as `pools` in `pools list`. */
internal class CommandGroup(name: String, description: String, val calls: List<CallCommand>) :
    Subcommand(name, description) {
    var chosen = false
        private set

    override fun execute() {
        chosen = true
    }
}
