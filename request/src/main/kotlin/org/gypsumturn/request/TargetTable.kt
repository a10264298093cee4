// The targets that the fleet view contains, how many exchanges this entry runs on each of them, and which of them may
// take new work.

package org.gypsumturn.request

import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId

private const val MAX_PAUSE_DOUBLINGS = 10
private const val LONG_AGO_MILLIS = Long.MIN_VALUE / 2

/** One target with the state that this entry keeps about it. */
internal class Target(var instance: Instance) {
    val id: InstanceId get() = instance.id
    val health = TargetHealth()

    /** Number of exchanges of this entry that are running on the target. */
    var inUse: Int = 0

    /** When the slow start of the target began: when it last came into service, or when its last ejection ends. */
    var slowStartSinceMillis: Long = LONG_AGO_MILLIS

    /** Until when the target gets no exchanges because it refused for lack of slots. */
    var pausedUntilMillis: Long = LONG_AGO_MILLIS

    /** Until when this entry uses no slot of the target beyond its grant, because such a slot was refused. */
    var noBorrowUntilMillis: Long = LONG_AGO_MILLIS

    /** Whether the last ejection was for silent exchanges. */
    var ejectedForSilence: Boolean = false

    /** Whether the latest view shows the target out of service. */
    var outOfService: Boolean = false

    private var consecutiveRefusals = 0

    val inService: Boolean
        get() = instance.state == InstanceState.SERVING || instance.state == InstanceState.WARMING

    /**
     * Records that the target refused for lack of slots. Each consecutive refusal doubles the pause. The refusal of a
     * borrowed slot only stops borrowing for one report interval.
     */
    fun recordRefusal(nowMillis: Long, settings: DispatchSettings, wasBorrowed: Boolean) {
        if (wasBorrowed) {
            noBorrowUntilMillis = nowMillis + settings.peerReportIntervalMillis
            return
        }
        pausedUntilMillis =
            nowMillis + minOf(settings.maxOverloadPauseMillis, settings.overloadPauseMillis shl consecutiveRefusals)
        consecutiveRefusals = minOf(consecutiveRefusals + 1, MAX_PAUSE_DOUBLINGS)
    }

    /** Records that the target ran an exchange. */
    fun recordAcceptance() {
        consecutiveRefusals = 0
    }
}

/**
 * All targets of the view, by pool.
 *
 * @param leavingNoticeMillis time after which a notice that an instance is leaving expires, if no view confirms it
 */
internal class TargetTable(private val leavingNoticeMillis: Long) {
    private val targets = HashMap<InstanceId, Target>()
    private var byPool: Map<PoolId, List<Target>> = emptyMap()
    private var hasSeenInstances = false

    /** When the notice that an instance is leaving arrived. It can name instances that are not in the view yet. */
    private val leavingSinceMillis = HashMap<InstanceId, Long>()

    /** The targets of [pool] that may take new work, ordered by id. */
    fun eligible(pool: PoolId): List<Target> = byPool[pool].orEmpty()

    /** All targets that may take new work, by pool. */
    fun eligibleByPool(): Map<PoolId, List<Target>> = byPool

    /** The targets in [dataCentre] that may take new work. */
    fun inDataCentre(dataCentre: DataCentreId): List<Target> =
        byPool.values.flatten().filter { it.instance.domain.dataCentre == dataCentre }

    fun applyInstances(nowMillis: Long, instances: Collection<Instance>) {
        val present = instances.mapTo(HashSet()) { it.id }
        val removed = targets.keys - present
        targets.keys.removeAll(removed)
        leavingSinceMillis.keys.removeAll(removed)
        instances.forEach { update(nowMillis, it) }
        hasSeenInstances = hasSeenInstances || instances.isNotEmpty()
        rebuild()
    }

    /**
     * Records that [id] is leaving. It gets no new work until the view shows it out of service and then in service
     * again.
     */
    fun markLeaving(nowMillis: Long, id: InstanceId) {
        leavingSinceMillis[id] = nowMillis
        rebuild()
    }

    /** Removes notices of leaving instances that no view has confirmed within the expiry time. */
    fun expireNotices(nowMillis: Long) {
        if (leavingSinceMillis.values.removeIf { nowMillis - it > leavingNoticeMillis }) rebuild()
    }

    private fun update(nowMillis: Long, instance: Instance) {
        val existing = targets[instance.id]
        val target = existing ?: Target(instance).also { targets[instance.id] = it }
        val startsSlowly = existing == null && (hasSeenInstances || instance.state == InstanceState.WARMING)
        target.instance = instance
        if (!target.inService) {
            target.outOfService = true
            return
        }
        if (startsSlowly || target.outOfService) target.slowStartSinceMillis = nowMillis
        if (target.outOfService) leavingSinceMillis.remove(instance.id)
        target.outOfService = false
    }

    private fun rebuild() {
        byPool = targets.values
            .filter { it.inService && it.id !in leavingSinceMillis }
            .sortedBy { it.id }
            .groupBy { it.instance.pool }
    }
}
