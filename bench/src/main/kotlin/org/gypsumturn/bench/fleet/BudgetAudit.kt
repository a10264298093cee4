// Checks every change of the view for budget breaches and double memberships. It counts independently of the code that
// decides commands, so that it also finds faults of that code.

package org.gypsumturn.bench.fleet

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId

/** Counts the changes that were checked and the violations in them, and keeps the text of the first violation. */
internal class BudgetAudit {
    var changes = 0
        private set
    var breaches = 0
        private set
    var doubleMemberships = 0
        private set
    var firstFinding: String? = null
        private set

    /** Describes the current run, such as its seed; [firstFinding] begins with it. */
    var context: String = ""

    /** Checks one change between two views. Only the [affected] instances are compared, or all instances if null. */
    fun checkChange(before: FleetView, after: FleetView, affected: Collection<InstanceId>? = null) {
        if (before.version == after.version) return
        changes++
        val ids = affected ?: after.instances.keys
        val changed = ids.mapNotNull { id -> after.instances[id]?.let { before.instances[id] to it } }
            .filter { (old, new) -> old != new }
        changed.forEach { (old, new) -> checkPool(old, new) }
        changed.filter { (old, new) -> old != null && reducesAvailability(old, new) }
            .flatMap { (_, new) -> listOfNotNull(new.pool, new.reservation?.destination) }
            .distinct()
            .forEach { checkBudget(after, it) }
    }

    /** Records a double membership if entries would send [instance] the work of more than one of [pools]. */
    fun checkRouting(instance: InstanceId, pools: Set<PoolId>) {
        if (pools.size > 1) {
            doubleMemberships++
            recordFinding("$instance is served as a member of $pools")
        }
    }

    /**
     * Whether a planned change makes an instance unavailable or moves it to another pool. Losses are not planned, and
     * may exceed a budget.
     */
    private fun reducesAvailability(old: Instance, new: Instance): Boolean {
        val loss = new.state == InstanceState.LOST || new.state == InstanceState.LEAVING
        val wasUnavailable = old.state != InstanceState.SERVING || old.reservation != null
        val isUnavailable = new.state != InstanceState.SERVING || new.reservation != null
        return !loss && ((isUnavailable && !wasUnavailable) || old.pool != new.pool)
    }

    private fun checkPool(old: Instance?, new: Instance) {
        if (old == null || old.pool == new.pool) return
        val isLegal = old.state == InstanceState.DRAINED &&
            old.reservation?.destination == new.pool &&
            new.state == InstanceState.WARMING
        if (!isLegal) {
            doubleMemberships++
            recordFinding("${new.id} went from ${old.pool} (${old.state}) to ${new.pool} (${new.state})")
        }
    }

    private fun checkBudget(view: FleetView, pool: PoolId) {
        val allowed = view.pools[pool]?.budget?.maxUnavailable ?: return
        val unavailable = view.instances.values
            .count { it.pool == pool && (it.state != InstanceState.SERVING || it.isReserved) }
        val arriving = view.instances.values.count { it.pool != pool && it.reservation?.destination == pool }
        if (unavailable + arriving > allowed) {
            breaches++
            recordFinding("$pool has $unavailable out and $arriving arriving, $allowed allowed")
        }
    }

    private val Instance.isReserved: Boolean get() = reservation != null

    private fun recordFinding(text: String) {
        if (firstFinding == null) firstFinding = "$context: $text"
    }
}
