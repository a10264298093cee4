// How much of a pool's availability budget is in use. Absences count whatever their reason: a reservation, a loss, an
// announced departure, a warm-up, or a place that is held for an instance on its way into the pool.

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
 * Use of one pool.
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

/** Whether the instance takes its share of the pool's work. */
public val Instance.isAvailable: Boolean
    get() = state == InstanceState.SERVING && reservation == null

/** The pool that the instance is on its way to, or null. */
public val Instance.inboundTo: PoolId?
    get() = reservation?.destination?.takeIf { it != pool }

/** The use of [pool] in [view]; one pass over all instances. */
public fun usageOf(view: FleetView, pool: PoolId): PoolUsage = usagesOf(view, setOf(pool)).getValue(pool)

/** The use of [pools] in [view]; one pass over all instances. */
public fun usagesOf(view: FleetView, pools: Set<PoolId>): Map<PoolId, PoolUsage> {
    val members = pools.associateWith { mutableListOf<Instance>() }
    val inbound = pools.associateWith { mutableListOf<Instance>() }
    view.instances.values.forEach { instance ->
        members[instance.pool]?.add(instance)
        instance.inboundTo?.let { inbound[it]?.add(instance) }
    }
    return pools.associateWith { PoolUsage(it, members.getValue(it), inbound.getValue(it)) }
}

/** The use of every pool of [view]; one pass over all instances. */
public fun usageByPool(view: FleetView): Map<PoolId, PoolUsage> {
    val members = view.instances.values.groupBy { it.pool }
    val inbound = view.instances.values.filter { it.inboundTo != null }.groupBy { it.inboundTo }
    return view.pools.keys.associateWith { PoolUsage(it, members[it].orEmpty(), inbound[it].orEmpty()) }
}

/**
 * The bound that one more planned absence in [dataCentre] would exceed, in words, or null if it fits [budget].
 *
 * Planned absences are granted only here, so a grant never raises the pool's absences above its budget. A loss that
 * comes on top of earlier grants may; [reservationsToRelease] then names the grants to give back.
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
 * The instances whose reservations are to be given back, by a return into service, because losses have pushed the
 * absences of [pool] above its budget: those that drain or have drained for a reboot or a move out of or into the
 * pool, the latest first, and no more than the excess. An operator's drain is kept: the instance may be
 * disconnected.
 */
public fun reservationsToRelease(view: FleetView, pool: PoolId, nowMillis: Long): List<InstanceId> {
    val budget = view.pools[pool]?.budget ?: return emptyList()
    return reservationsToRelease(usageOf(view, pool), budget, nowMillis)
}

/** As the function above, for a [usage] that is already at hand. */
public fun reservationsToRelease(usage: PoolUsage, budget: AvailabilityBudget, nowMillis: Long): List<InstanceId> {
    val excess = usage.unavailable - budget.maxUnavailable
    if (excess <= 0) return emptyList()
    return (usage.members + usage.inbound)
        .filter { it.canReturn && it.reservation?.purpose != ReservationPurpose.OPERATOR_DRAIN }
        .sortedWith(compareBy<Instance> { nowMillis - it.stateSinceMillis }.thenBy { it.id })
        .take(excess)
        .map { it.id }
}

/** Whether the instance was taken out of service but can still be put back at once. */
internal val Instance.canReturn: Boolean
    get() = reservation != null && (state == InstanceState.DRAINING || state == InstanceState.DRAINED)
