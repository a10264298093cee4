// `gypsumturn-bench audit`: reads the log of changes from the platform's table, replays it, and prints the number of
// changes, moves and reboots and all budget breaches.

package org.gypsumturn.bench.audit

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import org.gypsumturn.model.Address
import org.gypsumturn.model.Change
import org.gypsumturn.model.Verdict
import org.gypsumturn.model.ViewVersion
import org.gypsumturn.ports.grpc.PlatformClient
import org.gypsumturn.runtime.program.ExitCode
import org.gypsumturn.view.ViewLog

private const val TABLE_TIMEOUT_MILLIS = 5_000L
private const val CHANGES_PER_PAGE = 200
private const val NAME_WIDTH = 24

/** Runs the audit with [args]. The exit code is 0 only if the log has changes and no budget breach was found. */
internal fun runAudit(args: List<String>, print: (String) -> Unit): Int {
    val parser = ArgParser("gypsumturn-bench audit")
    val platform by parser.option(
        ArgType.String,
        "platform",
        description = "address of the platform: ip:port",
    ).required()
    parser.parse(args.toTypedArray())
    val address = Address(platform.substringBeforeLast(':'), platform.substringAfterLast(':').toInt())
    return PlatformClient(address).use { client ->
        when (val read = readChanges(ViewLog(client.table, TABLE_TIMEOUT_MILLIS))) {
            is Verdict.Ran -> printResult(auditChanges(read.value), print)

            else -> {
                print("the log of changes could not be read, so nothing was audited: $read")
                ExitCode.FAILED
            }
        }
    }
}

private fun readChanges(log: ViewLog): Verdict<List<Change>> {
    val changes = mutableListOf<Change>()
    while (true) {
        val last = changes.lastOrNull()?.version ?: ViewVersion.NONE
        when (val page = log.changesAfter(last, CHANGES_PER_PAGE)) {
            is Verdict.Ran -> if (page.value.isEmpty()) return Verdict.Ran(changes) else changes += page.value
            is Verdict.NotRun -> return page
            is Verdict.MayHaveRun -> return page
        }
    }
}

private fun printResult(result: AuditResult, print: (String) -> Unit): Int {
    fun printLine(name: String, value: Any) = print("${name.padEnd(NAME_WIDTH)} $value")
    printLine("changes replayed", result.changes)
    printLine("moves", result.moves)
    printLine("reboots", result.reboots)
    printLine("budget breaches", result.breaches.size)
    result.breaches.forEach { print("  $it") }
    return if (result.breaches.isEmpty() && result.changes > 0) ExitCode.OK else ExitCode.FAILED
}
