// Decisions on commands that put or remove one pool, service or team.

package org.gypsumturn.fleet.command

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Mutation

internal fun decidePutPool(view: FleetView, command: FleetCommand.PutPool): CommandDecision {
    val pool = command.pool
    val current = view.pools[pool.id]
    checkPutRevision("pool ${pool.id}", command.expected, current?.revision)?.let { return it }
    val problems = problemsOf(pool, "pool")
    if (problems.isNotEmpty()) return CommandDecision.Invalid(problems)
    if (current?.copy(revision = pool.revision) == pool) return unchanged("pool ${pool.id}")
    return accepted("put pool ${pool.id}", Mutation.PutPool(pool))
}

internal fun decideDeletePool(view: FleetView, command: FleetCommand.DeletePool): CommandDecision {
    val what = "pool ${command.id}"
    checkRevision(what, command.expected, view.pools[command.id]?.revision)?.let { return it }
    val users = usersOfPool(view, command.id)
    if (users.isNotEmpty()) return CommandDecision.WrongState("$what is used by ${users.joinToString()}")
    return accepted("delete $what", Mutation.RemovePool(command.id))
}

internal fun decideSetBudget(view: FleetView, command: FleetCommand.SetBudget): CommandDecision {
    val what = "pool ${command.pool}"
    val current = view.pools[command.pool]
    checkRevision(what, command.expected, current?.revision)?.let { return it }
    val problems = problemsOf(command.budget, "budget")
    if (problems.isNotEmpty()) return CommandDecision.Invalid(problems)
    if (current == null || current.budget == command.budget) return unchanged(what)
    return accepted("set budget of $what", Mutation.PutPool(current.copy(budget = command.budget)))
}

internal fun decidePutService(view: FleetView, command: FleetCommand.PutService): CommandDecision {
    val service = command.service
    val current = view.services[service.id]
    checkPutRevision("service ${service.id}", command.expected, current?.revision)?.let { return it }
    val problems = problemsOf(service, "service", view.pools.keys)
    if (problems.isNotEmpty()) return CommandDecision.Invalid(problems)
    if (current?.copy(revision = service.revision) == service) return unchanged("service ${service.id}")
    return accepted("put service ${service.id}", Mutation.PutService(service))
}

internal fun decideDeleteService(view: FleetView, command: FleetCommand.DeleteService): CommandDecision {
    val what = "service ${command.id}"
    checkRevision(what, command.expected, view.services[command.id]?.revision)?.let { return it }
    return accepted("delete $what", Mutation.RemoveService(command.id))
}

internal fun decidePutTeam(view: FleetView, command: FleetCommand.PutTeam): CommandDecision {
    val team = command.team
    val current = view.teams[team.id]
    checkPutRevision("team ${team.id}", command.expected, current?.revision)?.let { return it }
    val problems = problemsOf(team, "team")
    if (problems.isNotEmpty()) return CommandDecision.Invalid(problems)
    if (current?.copy(revision = team.revision) == team) return unchanged("team ${team.id}")
    return accepted("put team ${team.id}", Mutation.PutTeam(team))
}

internal fun decideDeleteTeam(view: FleetView, command: FleetCommand.DeleteTeam): CommandDecision {
    val what = "team ${command.id}"
    checkRevision(what, command.expected, view.teams[command.id]?.revision)?.let { return it }
    return accepted("delete $what", Mutation.RemoveTeam(command.id))
}
