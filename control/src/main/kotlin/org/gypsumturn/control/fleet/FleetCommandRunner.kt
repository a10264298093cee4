// Runs fleet commands. Each command is decided against the newest view and recorded as one change.

package org.gypsumturn.control.fleet

import org.gypsumturn.fleet.command.CommandDecision
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.fleet.command.decideCommand
import org.gypsumturn.model.Verdict
import org.gypsumturn.peer.ChangeDecision
import org.gypsumturn.peer.ChangeHeader
import org.gypsumturn.peer.ChangeOutcome
import org.gypsumturn.peer.ChangeRunner

/** Runs fleet commands through [runner]. Calls block while the table is read and written. Thread-safe. */
internal class FleetCommandRunner(private val runner: ChangeRunner) {
    /** Decides on [command] and records the change. A refusal contains the decision that refused the command. */
    fun run(header: ChangeHeader, command: FleetCommand): Verdict<ChangeOutcome<CommandDecision>> =
        runner.run(header) { view ->
            when (val decision = decideCommand(view, command, header.nowMillis)) {
                is CommandDecision.Accepted -> ChangeDecision.Make(decision.mutations, decision.summary)
                else -> ChangeDecision.Refuse(decision)
            }
        }
}
