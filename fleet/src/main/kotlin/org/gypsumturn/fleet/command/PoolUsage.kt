// Computes how much of a pool's availability budget is in use. Every absence counts, whatever its reason: a
// reservation, a loss, an announced departure, a warm-up, or an instance that is being moved into the pool.

package org.gypsumturn.fleet.command

import org.gypsumturn.model.AvailabilityBudget
import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.ReservationPurpose

/**
 * Members and budget usage of one pool.
 *
 * @property members instances that belong to the pool
 * @property inbound instances of other pools that hold a reservation to move into this one
 */
public data class PoolUsage(
    public val pool: PoolId,
    public val members: List<Instance>,
    public val inbound: List<Instance>,
) {
    /** Members that take work. */
    public val serving: Int = members.count { it.isAvailable }

    /** Absences that count against [AvailabilityBudget.maxUnavailable]. */
    public val unavailable: Int = members.size - serving + inbound.size

    /** Absences in [dataCentre] that count against [AvailabilityBudget.maxUnavailablePerDataCentre]. */
    public fun plannedIn(dataCentre: DataCentreId): Int = members.count {
        it.reservation != null && it.domain.dataCentre == dataCentre
    } + inbound.count { it.domain.dataCentre == dataCentre }
}

/** Whether the instance takes work of its pool and is not reserved. */
public val Instance.isAvailable: Boolean
    get() = state == InstanceState.SERVING && reservation == null

/** The pool that the instance is being moved to, or null. */
public val Instance.inboundTo: PoolId?
    get() = reservation?.destination?.takeIf { it != pool }

/** Returns the usage of [pool] in [view], in one pass over all instances. */
public fun usageOf(view: FleetView, pool: PoolId): PoolUsage = usagesOf(view, setOf(pool)).getValue(pool)

/** Returns the usage of [pools] in [view], in one pass over all instances. */
public fun usagesOf(view: FleetView, pools: Set<PoolId>): Map<PoolId, PoolUsage> {
    val members = pools.associateWith { mutableListOf<Instance>() }
    val inbound = pools.associateWith { mutableListOf<Instance>() }
    view.instances.values.forEach { instance ->
        members[instance.pool]?.add(instance)
        instance.inboundTo?.let { inbound[it]?.add(instance) }
    }
    return pools.associateWith { PoolUsage(it, members.getValue(it), inbound.getValue(it)) }
}

/** Returns the usage of every pool of [view], in one pass over all instances. */
public fun usageByPool(view: FleetView): Map<PoolId, PoolUsage> {
    val members = view.instances.values.groupBy { it.pool }
    val inbound = view.instances.values.filter { it.inboundTo != null }.groupBy { it.inboundTo }
    return view.pools.keys.associateWith { PoolUsage(it, members[it].orEmpty(), inbound[it].orEmpty()) }
}

/**
 * Returns why one more planned absence in [dataCentre] would exceed [budget], as a text, or null if it fits.
 *
 * Every reservation passes this check, so a reservation never raises the absences of a pool above its budget. A later
 * loss can; [reservationsToRelease] then returns the reservations to release.
 */
public fun refusalOf(usage: PoolUsage, budget: AvailabilityBudget, dataCentre: DataCentreId): String? {
    if (usage.unavailable + 1 > budget.maxUnavailable) {
        return "${usage.unavailable} of at most ${budget.maxUnavailable} instances are unavailable"
    }
    val perDataCentre = budget.maxUnavailablePerDataCentre ?: return null
    val planned = usage.plannedIn(dataCentre)
    if (planned + 1 <= perDataCentre) return null
    return "$planned of at most $perDataCentre planned absences are in data centre $dataCentre"
}

/**
 * Returns the instances to return to service because losses have raised the absences of [pool] above its budget. They
 * are draining or drained for a reboot, or for a move out of or into the pool; the latest come first, and no more than
 * the excess are returned. Drains by an operator are kept, since the operator may have disconnected the instance.
 */
public fun reservationsToRelease(view: FleetView, pool: PoolId, nowMillis: Long): List<InstanceId> {
    val budget = view.pools[pool]?.budget ?: return emptyList()
    return reservationsToRelease(usageOf(view, pool), budget, nowMillis)
}

/** Like the overload that takes a view, for a [usage] that is already computed. */
public fun reservationsToRelease(usage: PoolUsage, budget: AvailabilityBudget, nowMillis: Long): List<InstanceId> {
    val excess = usage.unavailable - budget.maxUnavailable
    if (excess <= 0) return emptyList()
    return (usage.members + usage.inbound)
        .filter { it.canReturn && it.reservation?.purpose != ReservationPurpose.OPERATOR_DRAIN }
        .sortedWith(compareBy<Instance> { nowMillis - it.stateSinceMillis }.thenBy { it.id })
        .take(excess)
        .map { it.id }
}

/** Whether the instance is out of service for a reservation and can be returned to service at once. */
internal val Instance.canReturn: Boolean
    get() = reservation != null && (state == InstanceState.DRAINING || state == InstanceState.DRAINED)
