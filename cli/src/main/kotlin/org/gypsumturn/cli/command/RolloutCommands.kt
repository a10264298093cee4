// Subcommands that apply a configuration file, show its roll-out, watch events and show the state of a control process.

package org.gypsumturn.cli.command

import com.google.protobuf.Message
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.gypsumturn.cli.client.AdminClient
import org.gypsumturn.cli.client.CallKind
import org.gypsumturn.cli.client.CallResult
import org.gypsumturn.cli.config.ConfigurationFile
import org.gypsumturn.cli.config.ConfigurationResult
import org.gypsumturn.runtime.program.CommandLineExit
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.schema.admin.AdminGrpc.AdminBlockingStub
import org.gypsumturn.schema.admin.Event
import org.gypsumturn.schema.admin.GetRolloutReply
import org.gypsumturn.schema.admin.GetRolloutRequest
import org.gypsumturn.schema.admin.GetStatusRequest
import org.gypsumturn.schema.admin.Mutating
import org.gypsumturn.schema.admin.WatchEventsRequest
import java.io.File
import java.time.Instant
import java.util.concurrent.TimeUnit

private const val POLL_INTERVAL_MILLIS = 100L

internal fun configCommands() = CommandGroup("config", "configuration files", listOf(ApplyConfiguration()))

internal fun rolloutCommands() = CommandGroup("rollout", "roll-out of changes", listOf(RolloutStatus()))

internal fun eventCommands() = CommandGroup("events", "accepted changes", listOf(WatchEvents()))

internal fun statusCommand() = ReadCommand("status", "state of a control process") {
    it.getStatus(GetStatusRequest.getDefaultInstance())
}

private class ApplyConfiguration : MutatingCommand("apply", "apply a file of pools, services, teams and instances") {
    private val file by argument(ArgType.String, "file", "configuration file (INI)")

    override fun send(stub: AdminBlockingStub, header: Mutating): Message = when (
        val result = ConfigurationFile.load(File(file))
    ) {
        is ConfigurationResult.Loaded -> stub.applyConfiguration(result.request.toBuilder().setHeader(header).build())

        is ConfigurationResult.Rejected ->
            throw CommandLineExit(result.problems.joinToString("\n"), ExitCode.BAD_SETTINGS)
    }
}

private class RolloutStatus : CallCommand("status", "show which nodes have a version of the view in force") {
    private val version by option(ArgType.String, "version", description = "version of the view; 0: the newest")
        .default("0")
    private val waitMillis by option(
        ArgType.Int,
        "wait-millis",
        description = "time in milliseconds to wait until the version is in force everywhere; 0: do not wait",
    ).default(0)

    override fun run(context: CallContext): Int {
        val requestedVersion = version.toLongOrNull()?.takeIf { it >= 0 }
            ?: throw CommandLineExit("--version: must be a whole number, at least 0", ExitCode.USAGE)
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis.toLong())
        var result = get(context.client, requestedVersion)
        while (!isInForceEverywhere(result) && System.nanoTime() < deadlineNanos) {
            Thread.sleep(POLL_INTERVAL_MILLIS)
            result = get(context.client, answeredVersion(result) ?: requestedVersion)
        }
        val code = context.output.printResult(result, null)
        return if (waitMillis > 0 && !isInForceEverywhere(result)) ExitCode.FAILED else code
    }

    private fun get(client: AdminClient, version: Long) = client.call(CallKind.READ) {
        it.getRollout(GetRolloutRequest.newBuilder().setVersion(version).build())
    }

    // The command waits for the version that the first answer names, even if newer versions follow in the meantime.
    private fun answeredVersion(result: CallResult<GetRolloutReply>): Long? =
        (result as? CallResult.Answered)?.value?.version

    private fun isInForceEverywhere(result: CallResult<GetRolloutReply>) =
        (result as? CallResult.Answered)?.value?.inForceEverywhere == true
}

private class WatchEvents : CallCommand("watch", "print each accepted change as it happens") {
    private val after by option(
        ArgType.String,
        "after",
        description = "print only changes after this version",
    ).default("0")
    private val count by option(
        ArgType.Int,
        "count",
        description = "end after this number of changes; 0: never",
    ).default(0)

    override fun run(context: CallContext): Int {
        var lastVersion = after.toLongOrNull()
            ?: throw CommandLineExit("--after: must be a whole number", ExitCode.USAGE)
        var printed = 0
        while (true) {
            val printedBefore = printed
            val result =
                context.client.callWithoutDeadline { stub ->
                    val request = WatchEventsRequest.newBuilder().setAfterVersion(lastVersion).build()
                    val events = stub.watchEvents(request)
                    while ((count == 0 || printed < count) && events.hasNext()) {
                        val event = events.next()
                        context.output.printStreamed(event, formatEvent(event))
                        lastVersion = event.version
                        printed++
                    }
                    Event.getDefaultInstance()
                }
            if (count in 1..printed) return ExitCode.OK
            if (printed == printedBefore) return endWithoutNewEvents(context, result)
        }
    }

    private fun endWithoutNewEvents(context: CallContext, result: CallResult<Event>): Int =
        if (result is CallResult.Answered) ExitCode.FAILED else context.output.printResult(result, null)

    private fun formatEvent(event: Event) =
        "${event.version}  ${Instant.ofEpochMilli(event.atMillis)}  ${event.operator}  ${event.summary}"
}
