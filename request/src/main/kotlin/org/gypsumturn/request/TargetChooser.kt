// Chooses the target of an exchange among those that may take one.

package org.gypsumturn.request

import org.apache.commons.rng.UniformRandomProvider
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId
import kotlin.math.ceil

/** Part of its slots that a fresh target gets at first. */
private const val FIRST_SHARE = 0.125

/** Part of its slots that a target gets at most while the view calls it warming. */
private const val WARMING_SHARE = 0.5

/** Slots that nobody is known to use from which on an entry tries one beyond its grant. */
private const val MIN_SPARE = 3

/** Chooses targets by free slots, health and path. */
internal class TargetChooser(
    private val settings: DispatchSettings,
    private val targets: TargetTable,
    private val limits: SlotLimits,
    private val judge: FaultJudge,
    private val random: UniformRandomProvider,
) {
    /** Slots of [target] that this entry may use now; opened step by step after a start, reboot or ejection. */
    fun limit(nowMillis: Long, target: Target): Int {
        val limit = limits.limit(target)
        val share = warmShare(nowMillis, target)
        return if (share >= 1.0) limit else minOf(limit, ceil(limit * share).toInt())
    }

    /** Whether any target of [pool] may take an exchange. */
    fun hasFree(nowMillis: Long, pool: PoolId): Boolean =
        targets.eligible(pool).any { isFree(nowMillis, it) || mayBorrow(nowMillis, it) }

    /** The target that [pending] goes to, or null if none may take it now. */
    fun choose(nowMillis: Long, pending: PendingRequest): Target? {
        val granted = targets.eligible(pending.pool).filter { isFree(nowMillis, it) }
        val free = granted.ifEmpty { targets.eligible(pending.pool).filter { mayBorrow(nowMillis, it) } }
        val preferred = free.firstOrNull { it.id == pending.preferred }
        if (preferred != null) return preferred
        return mostFree(nowMillis, preferable(nowMillis, free, pending.avoided))
    }

    /** The part of [free] on a good path and other than [avoided], as far as there is one. */
    private fun preferable(nowMillis: Long, free: List<Target>, avoided: InstanceId?): List<Target> {
        val onGoodPath = free.filter { !judge.pathSuspected(nowMillis, it) }.ifEmpty { free }
        return onGoodPath.filter { it.id != avoided }.ifEmpty { onGoodPath }
    }

    private fun mostFree(nowMillis: Long, among: List<Target>): Target? {
        val most = among.maxOfOrNull { limit(nowMillis, it) - it.inUse } ?: return null
        val equal = among.filter { limit(nowMillis, it) - it.inUse == most }
        return equal[random.nextInt(equal.size)]
    }

    /**
     * Whether a slot may be tried beyond this entry's grant, because several were last seen unused by anybody. Within
     * a report's age others may take them too; the target then refuses without running anything.
     */
    private fun mayBorrow(nowMillis: Long, target: Target): Boolean = nowMillis >= target.noBorrowUntilMillis &&
        takesWork(nowMillis, target) &&
        warmShare(nowMillis, target) >= 1.0 &&
        limits.spare(target) >= MIN_SPARE

    private fun isFree(nowMillis: Long, target: Target): Boolean =
        takesWork(nowMillis, target) && target.inUse < limit(nowMillis, target)

    private fun takesWork(nowMillis: Long, target: Target): Boolean =
        nowMillis >= target.pausedUntilMillis && !target.health.isEjected(nowMillis)

    private fun warmShare(nowMillis: Long, target: Target): Double {
        val age = nowMillis - target.warmSinceMillis
        val byAge = maxOf(FIRST_SHARE, age.toDouble() / maxOf(settings.slowStartMillis, 1))
        return if (target.instance.state == InstanceState.WARMING) minOf(byAge, WARMING_SHARE) else byAge
    }
}
