// Replays the log of accepted changes and counts what operators care about: moves between pools, and planned absences
// that broke a pool's availability budget. The fleet's own checks are not used, so the audit can contradict them.

package org.gypsumturn.bench.audit

import org.gypsumturn.model.Change
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.ViewVersion

/** A change after which a pool had more instances out of service than its budget allows. */
public data class BudgetBreach(
    public val version: ViewVersion,
    public val pool: PoolId,
    public val unavailable: Int,
    public val allowed: Int,
)

/** What a replay found. */
public data class AuditResult(
    public val changes: Int = 0,
    public val moves: Int = 0,
    public val reboots: Int = 0,
    public val breaches: List<BudgetBreach> = emptyList(),
)

/** Replays [changes], which start with version 1 and have no gap. */
public fun auditChanges(changes: List<Change>): AuditResult {
    var view = FleetView()
    var result = AuditResult()
    for (change in changes) {
        val next = view.apply(change)
        result = result.after(view, next, change)
        view = next
    }
    return result
}

private fun AuditResult.after(before: FleetView, after: FleetView, change: Change): AuditResult {
    val transitions = change.mutations.filterIsInstance<Mutation.PutInstance>().mapNotNull { put ->
        before.instances[put.instance.id]?.let { Transition(it, put.instance) }
    }
    val poolsAtRisk = transitions.filter { it.takesOut }.map { it.to.pool }.distinct()
    val found = poolsAtRisk.mapNotNull { after.pools[it] }.flatMap { breachesOf(it, after) }
    return copy(
        changes = changes + 1,
        moves = moves + transitions.count { it.from.pool != it.to.pool },
        reboots = reboots + transitions.count { it.isReboot },
        breaches = breaches + found,
    )
}

private data class Transition(val from: Instance, val to: Instance) {
    /** Planned absence begins: a loss is nobody's decision and breaks no budget by itself. */
    val takesOut: Boolean
        get() = from.state == InstanceState.SERVING && to.state != InstanceState.SERVING && to.reservation != null

    val isReboot: Boolean
        get() = from.state != InstanceState.REBOOTING && to.state == InstanceState.REBOOTING
}

private fun breachesOf(pool: Pool, view: FleetView): List<BudgetBreach> {
    val out = view.membersOf(pool.id).filter { it.state != InstanceState.SERVING }
    val whole = breachOf(pool, view, out.size, pool.budget.maxUnavailable)
    val perDataCentre = pool.budget.maxUnavailablePerDataCentre ?: return listOfNotNull(whole)
    val planned = out.filter { it.reservation != null }.groupingBy { it.domain.dataCentre }.eachCount()
    return listOfNotNull(whole) + planned.values.mapNotNull { breachOf(pool, view, it, perDataCentre) }
}

private fun breachOf(pool: Pool, view: FleetView, unavailable: Int, allowed: Int): BudgetBreach? =
    if (unavailable > allowed) BudgetBreach(view.version, pool.id, unavailable, allowed) else null
