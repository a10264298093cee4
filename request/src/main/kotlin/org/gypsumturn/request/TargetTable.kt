// The targets that the view names, how many exchanges this entry runs on each, and which may take new work.

package org.gypsumturn.request

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId

/** One target as this entry knows it. */
internal class Target(var instance: Instance) {
    val id: InstanceId get() = instance.id

    /** Exchanges of this entry that run on the target. */
    var inUse: Int = 0

    /** Time of the platform's notice that the target is leaving, or null. */
    var leavingSinceMillis: Long? = null

    /** Whether the view has shown the target out of service since the notice. */
    var seenOutOfService: Boolean = false

    val inService: Boolean
        get() = instance.state == InstanceState.SERVING || instance.state == InstanceState.WARMING
}

/** All targets of the view, by pool. */
internal class TargetTable {
    private val targets = HashMap<InstanceId, Target>()
    private var byPool: Map<PoolId, List<Target>> = emptyMap()

    fun find(id: InstanceId): Target? = targets[id]

    /** The targets of [pool] that may take new work, in the order of their ids. */
    fun eligible(pool: PoolId): List<Target> = byPool[pool].orEmpty()

    /** All targets that may take new work, by pool. */
    fun eligibleByPool(): Map<PoolId, List<Target>> = byPool

    fun apply(view: FleetView) {
        targets.keys.retainAll(view.instances.keys)
        view.instances.values.forEach { update(it) }
        rebuild()
    }

    /** Notes that [id] is leaving; it gets nothing new until the view shows it back in service. */
    fun markLeaving(nowMillis: Long, id: InstanceId) {
        val target = targets[id] ?: return
        target.leavingSinceMillis = nowMillis
        target.seenOutOfService = false
        rebuild()
    }

    private fun update(instance: Instance) {
        val target = targets.getOrPut(instance.id) { Target(instance) }
        target.instance = instance
        if (!target.inService) {
            target.seenOutOfService = true
            return
        }
        val returned = target.seenOutOfService || instance.state == InstanceState.WARMING
        if (target.leavingSinceMillis != null && returned) target.leavingSinceMillis = null
    }

    private fun rebuild() {
        byPool = targets.values
            .filter { it.inService && it.leavingSinceMillis == null }
            .sortedBy { it.id }
            .groupBy { it.instance.pool }
    }
}
