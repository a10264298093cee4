// Chooses the target for an exchange among the targets that may take new work.

package org.gypsumturn.request

import org.apache.commons.rng.UniformRandomProvider
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId
import kotlin.math.ceil

/** Share of its slots that a target gets at the beginning of its slow start. */
private const val INITIAL_SHARE = 0.125

/** Largest share of its slots that a target gets while the view shows it as warming. */
private const val WARMING_SHARE = 0.5

/**
 * An entry borrows a slot beyond its grant only if at least this many slots of the target appear unused by all entries.
 */
private const val MIN_UNUSED_SLOTS = 3

/** Chooses targets by free slots, health and network path. */
internal class TargetChooser(
    private val settings: DispatchSettings,
    private val targets: TargetTable,
    private val limits: SlotLimits,
    private val faultDetector: TargetFaultDetector,
    private val random: UniformRandomProvider,
) {
    /**
     * Number of slots of [target] that this entry may use now. It grows gradually after a start, a reboot or an
     * ejection.
     */
    fun limit(nowMillis: Long, target: Target): Int {
        val limit = limits.limit(target)
        val share = slowStartShare(nowMillis, target)
        return if (share >= 1.0) limit else minOf(limit, ceil(limit * share).toInt())
    }

    /** Whether any target of [pool] can take an exchange now. */
    fun hasFreeTarget(nowMillis: Long, pool: PoolId): Boolean =
        targets.eligible(pool).any { hasFreeSlot(nowMillis, it) || mayBorrow(nowMillis, it) }

    /** The target to which [pending] is sent, or null if no target can take it now. */
    fun choose(nowMillis: Long, pending: PendingRequest): Target? {
        val granted = targets.eligible(pending.pool).filter { hasFreeSlot(nowMillis, it) }
        val free = granted.ifEmpty { targets.eligible(pending.pool).filter { mayBorrow(nowMillis, it) } }
        val preferred = free.firstOrNull { it.id == pending.preferred }
        if (preferred != null) return preferred
        return pickMostFree(nowMillis, preferGoodPath(nowMillis, free, pending.avoided))
    }

    /**
     * The targets of [free] that have no suspected path and are not [avoided]. Each condition is dropped if no target
     * meets it.
     */
    private fun preferGoodPath(nowMillis: Long, free: List<Target>, avoided: InstanceId?): List<Target> {
        val onGoodPath = free.filter { !faultDetector.isPathSuspected(nowMillis, it) }.ifEmpty { free }
        return onGoodPath.filter { it.id != avoided }.ifEmpty { onGoodPath }
    }

    private fun pickMostFree(nowMillis: Long, candidates: List<Target>): Target? {
        val most = candidates.maxOfOrNull { limit(nowMillis, it) - it.inUse } ?: return null
        val equal = candidates.filter { limit(nowMillis, it) - it.inUse == most }
        return equal[random.nextInt(equal.size)]
    }

    /**
     * Whether this entry may use a slot beyond its grant, because reports show several unused slots. Other entries may
     * take these slots before their next report; the target then refuses the request without running it.
     */
    private fun mayBorrow(nowMillis: Long, target: Target): Boolean = nowMillis >= target.noBorrowUntilMillis &&
        acceptsWork(nowMillis, target) &&
        slowStartShare(nowMillis, target) >= 1.0 &&
        limits.unusedSlots(target) >= MIN_UNUSED_SLOTS

    private fun hasFreeSlot(nowMillis: Long, target: Target): Boolean =
        acceptsWork(nowMillis, target) && target.inUse < limit(nowMillis, target)

    private fun acceptsWork(nowMillis: Long, target: Target): Boolean =
        nowMillis >= target.pausedUntilMillis && !target.health.isEjected(nowMillis)

    private fun slowStartShare(nowMillis: Long, target: Target): Double {
        val age = nowMillis - target.slowStartSinceMillis
        val byAge = maxOf(INITIAL_SHARE, age.toDouble() / maxOf(settings.slowStartMillis, 1))
        return if (target.instance.state == InstanceState.WARMING) minOf(byAge, WARMING_SHARE) else byAge
    }
}
