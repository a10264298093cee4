// Validates single records. Each check returns all problems of a record, not only the first.

package org.gypsumturn.fleet.command

import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.Capacity
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.Service
import org.gypsumturn.model.Team
import org.gypsumturn.model.Wave
import org.gypsumturn.model.WaveState

private const val MAX_PORT = 65_535

/** Collects the problems of one record, whose field names are prefixed with [path]. */
internal class ProblemList(private val path: String) {
    private val found = mutableListOf<FieldProblem>()

    val problems: List<FieldProblem> get() = found

    /** Adds [problem] for [field] unless [holds]. */
    fun require(holds: Boolean, field: String, problem: String) {
        if (!holds) found += FieldProblem("$path.$field", problem)
    }

    fun addAll(others: List<FieldProblem>) {
        found += others
    }
}

private fun validate(path: String, checks: ProblemList.() -> Unit): List<FieldProblem> =
    ProblemList(path).apply(checks).problems

internal fun problemsOf(budget: AvailabilityBudget, path: String): List<FieldProblem> = validate(path) {
    val perDataCentre = budget.maxUnavailablePerDataCentre
    require(budget.maxUnavailable >= 0, "maxUnavailable", "is negative: ${budget.maxUnavailable}")
    require(perDataCentre == null || perDataCentre >= 0, "maxUnavailablePerDataCentre", "is negative: $perDataCentre")
}

internal fun problemsOf(pool: Pool, path: String): List<FieldProblem> = validate(path) {
    require(pool.id.value.isNotBlank(), "id", "is empty")
    require(pool.minInstances >= 0, "minInstances", "is negative: ${pool.minInstances}")
    require(
        pool.minInstances <= pool.maxInstances,
        "minInstances",
        "${pool.minInstances} is above maxInstances ${pool.maxInstances}",
    )
    addAll(problemsOf(pool.budget, "$path.budget"))
}

internal fun problemsOf(service: Service, path: String, pools: Set<PoolId>): List<FieldProblem> = validate(path) {
    require(service.id.value.isNotBlank(), "id", "is empty")
    require(service.pool in pools, "pool", "is unknown: ${service.pool}")
    require(service.timeoutMillis > 0, "timeoutMillis", "is not positive: ${service.timeoutMillis}")
    require(service.maxQueued >= 0, "maxQueued", "is negative: ${service.maxQueued}")
    require(service.maxAnswerBytes > 0, "maxAnswerBytes", "is not positive: ${service.maxAnswerBytes}")
}

internal fun problemsOf(team: Team, path: String): List<FieldProblem> = validate(path) {
    val inFlight = team.maxRequestsInFlight
    val quota = team.jobQuota
    require(team.id.value.isNotBlank(), "id", "is empty")
    require(team.share.isFinite() && team.share > 0, "share", "is not a positive number: ${team.share}")
    require(quota == null || Capacity.ZERO.fitsIn(quota), "jobQuota", "is negative: $quota")
    require(inFlight == null || inFlight > 0, "maxRequestsInFlight", "is not positive: $inFlight")
}

/** Returns the problems of an instance that is not in the fleet yet. */
internal fun problemsOfNew(instance: Instance, path: String, pools: Set<PoolId>): List<FieldProblem> = validate(path) {
    val mayEnter = instance.state == InstanceState.SERVING || instance.state == InstanceState.WARMING
    addAll(problemsOf(instance, path, pools))
    require(mayEnter, "state", "of a new instance is neither SERVING nor WARMING: ${instance.state}")
    require(instance.reservation == null, "reservation", "of a new instance is set")
}

internal fun problemsOf(instance: Instance, path: String, pools: Set<PoolId>): List<FieldProblem> = validate(path) {
    require(instance.id.value.isNotBlank(), "id", "is empty")
    require(instance.pool in pools, "pool", "is unknown: ${instance.pool}")
    require(instance.slots >= 0, "slots", "is negative: ${instance.slots}")
    require(instance.connections >= 0, "connections", "is negative: ${instance.connections}")
    require(Capacity.ZERO.fitsIn(instance.capacity), "capacity", "is negative: ${instance.capacity}")
    require(instance.address.host.isNotBlank(), "address.host", "is empty")
    // An instance without slots serves no requests, so it may have port 0.
    val lowestPort = if (instance.slots > 0) 1 else 0
    require(instance.address.port in lowestPort..MAX_PORT, "address.port", "is out of range: ${instance.address.port}")
}

internal fun problemsOf(wave: Wave, path: String, pools: Set<PoolId>): List<FieldProblem> = validate(path) {
    val unknown = wave.pools.filter { it !in pools }
    require(wave.id.value.isNotBlank(), "id", "is empty")
    require(wave.pools.isNotEmpty(), "pools", "is empty")
    require(wave.pools.distinct().size == wave.pools.size, "pools", "names a pool twice")
    require(unknown.isEmpty(), "pools", "are unknown: ${unknown.joinToString()}")
    require(wave.canaries >= 0, "canaries", "is negative: ${wave.canaries}")
    require(wave.maxParallel > 0, "maxParallel", "is not positive: ${wave.maxParallel}")
    require(wave.maxFailures > 0, "maxFailures", "is not positive: ${wave.maxFailures}")
    require(wave.rebootTimeoutMillis > 0, "rebootTimeoutMillis", "is not positive: ${wave.rebootTimeoutMillis}")
}

/** Returns descriptions of the records that prevent the removal of [pool]. */
internal fun usersOfPool(view: FleetView, pool: PoolId): List<String> {
    val usage = usageOf(view, pool)
    val instances = usage.members.size + usage.inbound.size
    val services = view.services.values.filter { it.pool == pool }.map { "service ${it.id}" }
    val waves = view.waves.values.filter { it.isUnfinished && pool in it.pools }.map { "wave ${it.id}" }
    return listOfNotNull("$instances instances".takeIf { instances > 0 }) + services + waves
}

/** Whether the wave can still reboot instances, now or after it is resumed. */
public val Wave.isUnfinished: Boolean
    get() = state != WaveState.FINISHED && state != WaveState.ABORTED
