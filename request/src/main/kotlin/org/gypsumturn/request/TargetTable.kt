// The targets that the view names, how many exchanges this entry runs on each, and which may take new work.

package org.gypsumturn.request

import org.gypsumturn.model.DataCentreId
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId

private const val MAX_PAUSE_DOUBLINGS = 10
private const val LONG_AGO_MILLIS = Long.MIN_VALUE / 2

/** One target as this entry knows it. */
internal class Target(var instance: Instance) {
    val id: InstanceId get() = instance.id
    val health = TargetHealth()

    /** Exchanges of this entry that run on the target. */
    var inUse: Int = 0

    /** Since when the target is in service without a break. */
    var warmSinceMillis: Long = LONG_AGO_MILLIS

    /** Until when the target gets nothing because it refused for lack of slots. */
    var pausedUntilMillis: Long = LONG_AGO_MILLIS

    /** Until when no slot beyond this entry's grant is tried, because one was refused. */
    var noBorrowUntilMillis: Long = LONG_AGO_MILLIS

    /** Whether the last ejection was for silence. */
    var ejectedForSilence: Boolean = false

    /** Whether the view last showed the target out of service. */
    var outOfService: Boolean = false

    private var refusals = 0

    val inService: Boolean
        get() = instance.state == InstanceState.SERVING || instance.state == InstanceState.WARMING

    /** Notes that the target refused for lack of slots; each refusal after another doubles the pause. */
    fun refused(nowMillis: Long, settings: DispatchSettings, wasBorrowed: Boolean) {
        if (wasBorrowed) {
            noBorrowUntilMillis = nowMillis + settings.peerReportIntervalMillis
            return
        }
        pausedUntilMillis =
            nowMillis + minOf(settings.maxOverloadPauseMillis, settings.overloadPauseMillis shl refusals)
        refusals = minOf(refusals + 1, MAX_PAUSE_DOUBLINGS)
    }

    /** Notes that the target ran an exchange. */
    fun accepted() {
        refusals = 0
    }
}

/** All targets of the view, by pool. */
internal class TargetTable(private val leavingNoticeMillis: Long) {
    private val targets = HashMap<InstanceId, Target>()
    private var byPool: Map<PoolId, List<Target>> = emptyMap()
    private var filled = false

    /** Times of the platform's notices, also for instances that the view does not name yet. */
    private val leavingSinceMillis = HashMap<InstanceId, Long>()

    /** The targets of [pool] that may take new work, in the order of their ids. */
    fun eligible(pool: PoolId): List<Target> = byPool[pool].orEmpty()

    /** All targets that may take new work, by pool. */
    fun eligibleByPool(): Map<PoolId, List<Target>> = byPool

    /** The targets in [dataCentre] that may take new work. */
    fun inDataCentre(dataCentre: DataCentreId): List<Target> =
        byPool.values.flatten().filter { it.instance.domain.dataCentre == dataCentre }

    fun apply(nowMillis: Long, instances: Collection<Instance>) {
        val present = instances.mapTo(HashSet()) { it.id }
        val vanished = targets.keys - present
        targets.keys.removeAll(vanished)
        leavingSinceMillis.keys.removeAll(vanished)
        instances.forEach { update(nowMillis, it) }
        filled = filled || instances.isNotEmpty()
        rebuild()
    }

    /** Notes that [id] is leaving; it gets nothing new until the view shows it back in service. */
    fun markLeaving(nowMillis: Long, id: InstanceId) {
        leavingSinceMillis[id] = nowMillis
        rebuild()
    }

    /** Forgets notices that the view did not confirm for very long. */
    fun expireNotices(nowMillis: Long) {
        if (leavingSinceMillis.values.removeIf { nowMillis - it > leavingNoticeMillis }) rebuild()
    }

    private fun update(nowMillis: Long, instance: Instance) {
        val known = targets[instance.id]
        val target = known ?: Target(instance).also { targets[instance.id] = it }
        val isFresh = known == null && (filled || instance.state == InstanceState.WARMING)
        target.instance = instance
        if (!target.inService) {
            target.outOfService = true
            return
        }
        if (isFresh || target.outOfService) target.warmSinceMillis = nowMillis
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
