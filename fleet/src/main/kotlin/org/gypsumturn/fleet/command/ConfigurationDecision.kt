// Decides a configuration as a whole. Either all of its records are put and removed in one change, or none is and the
// caller gets a list of all problems.

package org.gypsumturn.fleet.command

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.PoolId

internal fun decideConfiguration(
    view: FleetView,
    command: FleetCommand.ApplyConfiguration,
    nowMillis: Long,
): CommandDecision {
    val expected = command.expectedVersion
    if (expected != null && expected != view.version) return CommandDecision.Conflict("view", view.version)
    val problems = ConfigurationCheck(view, command).problems()
    if (problems.isNotEmpty()) return CommandDecision.Invalid(problems)
    val mutations = mutationsOf(view, command, nowMillis)
    if (mutations.isEmpty()) return unchanged("configuration")
    return CommandDecision.Accepted(mutations, "apply configuration of ${mutations.size} records")
}

/** Checks a configuration against the view that it would change. */
private class ConfigurationCheck(private val view: FleetView, private val command: FleetCommand.ApplyConfiguration) {
    private val poolsAfter: Set<PoolId> =
        view.pools.keys + command.pools.map { it.id } - command.removePools.toSet()

    fun problems(): List<FieldProblem> = recordProblems() +
        instanceProblems() +
        duplicateProblems() +
        removalProblems() +
        danglingReferenceProblems()

    private fun recordProblems(): List<FieldProblem> = command.pools.flatMap { problemsOf(it, "pools[${it.id}]") } +
        command.services.flatMap { problemsOf(it, "services[${it.id}]", poolsAfter) } +
        command.teams.flatMap { problemsOf(it, "teams[${it.id}]") }

    private fun instanceProblems(): List<FieldProblem> = command.instances.flatMap { instance ->
        val path = "instances[${instance.id}]"
        val current = view.instances[instance.id]
        when {
            current == null -> problemsOfNew(instance, path, poolsAfter)

            current.pool != instance.pool ->
                problemsOf(instance, path, poolsAfter) +
                    FieldProblem("$path.pool", "is ${instance.pool}, but the instance is in ${current.pool}: move it")

            else -> problemsOf(instance, path, poolsAfter)
        }
    }

    private fun duplicateProblems(): List<FieldProblem> = duplicates("pools", command.pools.map { it.id }) +
        duplicates("services", command.services.map { it.id }) +
        duplicates("teams", command.teams.map { it.id }) +
        instanceDuplicates()

    private fun instanceDuplicates(): List<FieldProblem> =
        command.instances.groupBy { it.id }.filter { it.value.size > 1 }.map { (id, entries) ->
            FieldProblem("instances[$id]", "is given ${entries.size} times, in ${entries.map { it.pool }}")
        }

    private fun <T> duplicates(list: String, ids: List<T>): List<FieldProblem> =
        ids.groupingBy { it }.eachCount().filter { it.value > 1 }.map { (id, count) ->
            FieldProblem("$list[$id]", "is given $count times")
        }

    private fun removalProblems(): List<FieldProblem> =
        removalsOf("removePools", command.removePools, view.pools.keys, command.pools.map { it.id }) +
            removalsOf("removeServices", command.removeServices, view.services.keys, command.services.map { it.id }) +
            removalsOf("removeTeams", command.removeTeams, view.teams.keys, command.teams.map { it.id })

    private fun <T> removalsOf(list: String, ids: List<T>, known: Set<T>, put: List<T>): List<FieldProblem> =
        duplicates(list, ids) +
            ids.filter { it !in known }.map { FieldProblem("$list[$it]", "does not exist") } +
            ids.filter { it in put }.map { FieldProblem("$list[$it]", "is both put and removed") }

    /** Problems of records outside the configuration that still refer to a pool which it removes. */
    private fun danglingReferenceProblems(): List<FieldProblem> {
        val changedServices = command.services.map { it.id }.toSet() + command.removeServices
        return command.removePools.distinct().flatMap { pool ->
            val path = "removePools[$pool]"
            val usage = usageOf(view, pool)
            val services = view.services.values.filter { it.pool == pool && it.id !in changedServices }
            val waves = view.waves.values.filter { it.isUnfinished && pool in it.pools }
            val members = usage.members.size + usage.inbound.size
            listOfNotNull(FieldProblem(path, "still has $members instances").takeIf { members > 0 }) +
                services.map { FieldProblem(path, "is still used by service ${it.id}") } +
                waves.map { FieldProblem(path, "is still used by wave ${it.id}") }
        }
    }
}

private fun mutationsOf(view: FleetView, command: FleetCommand.ApplyConfiguration, nowMillis: Long): List<Mutation> {
    val pools = command.pools.filter { view.pools[it.id]?.copy(revision = it.revision) != it }
    val services = command.services.filter { view.services[it.id]?.copy(revision = it.revision) != it }
    val teams = command.teams.filter { view.teams[it.id]?.copy(revision = it.revision) != it }
    val instances = command.instances.mapNotNull { updatedInstance(view.instances[it.id], it, nowMillis) }
    return pools.map { Mutation.PutPool(it) } +
        services.map { Mutation.PutService(it) } +
        teams.map { Mutation.PutTeam(it) } +
        instances.map { Mutation.PutInstance(it) } +
        command.removeServices.map { Mutation.RemoveService(it) } +
        command.removeTeams.map { Mutation.RemoveTeam(it) } +
        command.removePools.map { Mutation.RemovePool(it) }
}

/** Applies [wanted] to [current] but keeps its state, pool and reservation. Returns null if nothing changes. */
private fun updatedInstance(current: Instance?, wanted: Instance, nowMillis: Long): Instance? {
    if (current == null) return withEntryTimes(wanted, nowMillis)
    val merged = current.copy(
        domain = wanted.domain,
        address = wanted.address,
        capacity = wanted.capacity,
        slots = wanted.slots,
        connections = wanted.connections,
    )
    return merged.takeIf { it != current }
}

/** Sets the times of a new instance. It counts as just maintained, so that a new fleet is not due all at once. */
internal fun withEntryTimes(instance: Instance, nowMillis: Long): Instance = instance.copy(
    stateSinceMillis = nowMillis,
    maintainedAtMillis = if (instance.maintainedAtMillis == 0L) nowMillis else instance.maintainedAtMillis,
)
