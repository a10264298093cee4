// Decides a command against one view. A change is applied only to the view that it was decided against, so no other
// change can come between the checks of a decision and its mutations.

package org.gypsumturn.fleet.command

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.ViewVersion

/**
 * Decides [command] against [view] at [nowMillis].
 *
 * The result is [CommandDecision.Accepted] with the mutations of one change, or a typed refusal. The function is pure;
 * the caller must record the change on condition that [view] is still the latest version.
 */
public fun decideCommand(view: FleetView, command: FleetCommand, nowMillis: Long): CommandDecision = when (command) {
    is FleetCommand.ApplyConfiguration -> decideConfiguration(view, command, nowMillis)
    is FleetCommand.PutPool -> decidePutPool(view, command)
    is FleetCommand.DeletePool -> decideDeletePool(view, command)
    is FleetCommand.SetBudget -> decideSetBudget(view, command)
    is FleetCommand.PutService -> decidePutService(view, command)
    is FleetCommand.DeleteService -> decideDeleteService(view, command)
    is FleetCommand.PutTeam -> decidePutTeam(view, command)
    is FleetCommand.DeleteTeam -> decideDeleteTeam(view, command)
    is FleetCommand.AddInstance -> decideAddInstance(view, command, nowMillis)
    is FleetCommand.RemoveInstance -> decideRemoveInstance(view, command)
    is FleetCommand.DrainInstance -> decideDrain(view, command, nowMillis)
    is FleetCommand.RebootInstance -> decideReboot(view, command, nowMillis)
    is FleetCommand.MoveInstance -> decideMove(view, command, nowMillis)
    is FleetCommand.ReturnInstance -> decideReturn(view, command, nowMillis)
    is FleetCommand.AdvanceInstance -> decideAdvance(view, command, nowMillis)
    is FleetCommand.StartWave -> decideStartWave(view, command, nowMillis)
    is FleetCommand.PauseWave -> decidePauseWave(view, command)
    is FleetCommand.ResumeWave -> decideResumeWave(view, command)
    is FleetCommand.AbortWave -> decideAbortWave(view, command)
    is FleetCommand.RecordWave -> decideRecordWave(view, command)
    is FleetCommand.JoinNode -> decideJoinNode(view, command)
    is FleetCommand.RemoveNodes -> decideRemoveNodes(view, command)
}

private fun decideJoinNode(view: FleetView, command: FleetCommand.JoinNode): CommandDecision {
    val node = command.node
    val current = view.nodes[node.id]
    if (current?.copy(revision = node.revision) == node) return unchanged("node ${node.id}")
    return accepted("join node ${node.id}", Mutation.PutNode(node))
}

private fun decideRemoveNodes(view: FleetView, command: FleetCommand.RemoveNodes): CommandDecision {
    val present = command.ids.distinct().filter { it in view.nodes }
    if (present.isEmpty()) return unchanged("nodes ${command.ids.joinToString()}")
    return CommandDecision.Accepted(present.map { Mutation.RemoveNode(it) }, "remove nodes ${present.joinToString()}")
}

internal fun accepted(summary: String, vararg mutations: Mutation): CommandDecision =
    CommandDecision.Accepted(mutations.toList(), summary)

internal fun unchanged(what: String): CommandDecision = CommandDecision.Accepted(emptyList(), "$what is unchanged")

internal fun invalid(field: String, problem: String): CommandDecision =
    CommandDecision.Invalid(listOf(FieldProblem(field, problem)))

/**
 * Checks the [expected] revision of a record that must exist against its [current] one, which is null if there is no
 * such record. Returns the refusal, or null if the check passes.
 */
internal fun checkRevision(what: String, expected: ViewVersion?, current: ViewVersion?): CommandDecision? = when {
    current == null -> CommandDecision.NotFound(what)
    expected != null && expected != current -> CommandDecision.Conflict(what, current)
    else -> null
}

/** Like [checkRevision] for a record that is put and may be absent. [ViewVersion.NONE] expects that it is absent. */
internal fun checkPutRevision(what: String, expected: ViewVersion?, current: ViewVersion?): CommandDecision? = when {
    expected == null || expected == (current ?: ViewVersion.NONE) -> null
    current == null -> CommandDecision.NotFound(what)
    else -> CommandDecision.Conflict(what, current)
}
