// Replays the log of accepted changes. It counts moves between pools and reboots, and finds planned absences that broke
// a pool's availability budget. It does not use the checks that admitted the changes, so it can find their mistakes.

package org.gypsumturn.bench.audit

import org.gypsumturn.model.Change
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.Mutation
import org.gypsumturn.model.Pool
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.ViewVersion

/**
 * A change that began a planned absence and left a pool with more instances out of service than its budget allows.
 *
 * @property version version of the view after the change
 * @property unavailable instances out of service in the pool, or planned absences in one data centre
 * @property allowed the budget that [unavailable] exceeds
 */
public data class BudgetBreach(
    public val version: ViewVersion,
    public val pool: PoolId,
    public val unavailable: Int,
    public val allowed: Int,
)

/** Numbers of changes, of moves between pools and of reboots in a replayed log, and the budget breaches in it. */
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
        result = result.withChange(view, next, change)
        view = next
    }
    return result
}

private fun AuditResult.withChange(before: FleetView, after: FleetView, change: Change): AuditResult {
    val transitions = change.mutations.filterIsInstance<Mutation.PutInstance>().mapNotNull { put ->
        before.instances[put.instance.id]?.let { InstanceTransition(it, put.instance) }
    }
    val poolsToCheck = transitions.filter { it.beginsPlannedAbsence }.map { it.to.pool }.distinct()
    val found = poolsToCheck.mapNotNull { after.pools[it] }.flatMap { findBreaches(it, after) }
    return copy(
        changes = changes + 1,
        moves = moves + transitions.count { it.from.pool != it.to.pool },
        reboots = reboots + transitions.count { it.isReboot },
        breaches = breaches + found,
    )
}

private data class InstanceTransition(val from: Instance, val to: Instance) {
    /** Whether a planned absence, one with a reservation, begins. A loss alone is not planned and breaks no budget. */
    val beginsPlannedAbsence: Boolean
        get() = from.state == InstanceState.SERVING && to.state != InstanceState.SERVING && to.reservation != null

    val isReboot: Boolean
        get() = from.state != InstanceState.REBOOTING && to.state == InstanceState.REBOOTING
}

private fun findBreaches(pool: Pool, view: FleetView): List<BudgetBreach> {
    val unavailable = view.membersOf(pool.id).filter { it.state != InstanceState.SERVING }
    val wholePool = breachIfExceeded(pool, view, unavailable.size, pool.budget.maxUnavailable)
    val perDataCentre = pool.budget.maxUnavailablePerDataCentre ?: return listOfNotNull(wholePool)
    val planned = unavailable.filter { it.reservation != null }.groupingBy { it.domain.dataCentre }.eachCount()
    return listOfNotNull(wholePool) + planned.values.mapNotNull { breachIfExceeded(pool, view, it, perDataCentre) }
}

private fun breachIfExceeded(pool: Pool, view: FleetView, unavailable: Int, allowed: Int): BudgetBreach? =
    if (unavailable > allowed) BudgetBreach(view.version, pool.id, unavailable, allowed) else null
