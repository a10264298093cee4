// Checks every change for budget breaches and double memberships. It counts on its own, without the code that
// decides, so a mistake there cannot hide here.

package org.gypsumturn.bench.fleet

import org.gypsumturn.model.FleetView
import org.gypsumturn.model.Instance
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.InstanceState
import org.gypsumturn.model.PoolId

/** What an audit has found. */
internal class BudgetAudit {
    var changes = 0
        private set
    var breaches = 0
        private set
    var doubleMemberships = 0
        private set
    var firstFinding: String? = null
        private set

    /** What is running, for the first finding. */
    var context: String = ""

    /** Compares the views around one change of the instances [touched]; all of them if null. */
    fun check(before: FleetView, after: FleetView, touched: Collection<InstanceId>? = null) {
        if (before.version == after.version) return
        changes++
        val ids = touched ?: after.instances.keys
        val changed = ids.mapNotNull { id -> after.instances[id]?.let { before.instances[id] to it } }
            .filter { (old, new) -> old != new }
        changed.forEach { (old, new) -> checkPool(old, new) }
        changed.filter { (old, new) -> old != null && takesOut(old, new) }
            .flatMap { (_, new) -> listOfNotNull(new.pool, new.reservation?.destination) }
            .distinct()
            .forEach { checkBudget(after, it) }
    }

    /** Records that entries would send one instance the work of [pools]. */
    fun checkRouting(instance: InstanceId, pools: Set<PoolId>) {
        if (pools.size > 1) {
            doubleMemberships++
            note("$instance is served as a member of $pools")
        }
    }

    /** A planned step that makes an instance unavailable, or that brings one into a pool. Losses are not planned. */
    private fun takesOut(old: Instance, new: Instance): Boolean {
        val loss = new.state == InstanceState.LOST || new.state == InstanceState.LEAVING
        val wasOut = old.state != InstanceState.SERVING || old.reservation != null
        val isOut = new.state != InstanceState.SERVING || new.reservation != null
        return !loss && ((isOut && !wasOut) || old.pool != new.pool)
    }

    private fun checkPool(old: Instance?, new: Instance) {
        if (old == null || old.pool == new.pool) return
        val legal = old.state == InstanceState.DRAINED &&
            old.reservation?.destination == new.pool &&
            new.state == InstanceState.WARMING
        if (!legal) {
            doubleMemberships++
            note("${new.id} went from ${old.pool} (${old.state}) to ${new.pool} (${new.state})")
        }
    }

    private fun checkBudget(view: FleetView, pool: PoolId) {
        val allowed = view.pools[pool]?.budget?.maxUnavailable ?: return
        val out = view.instances.values.count { it.pool == pool && (it.state != InstanceState.SERVING || it.isHeld) }
        val arriving = view.instances.values.count { it.pool != pool && it.reservation?.destination == pool }
        if (out + arriving > allowed) {
            breaches++
            note("$pool has $out out and $arriving arriving, $allowed allowed")
        }
    }

    private val Instance.isHeld: Boolean get() = reservation != null

    private fun note(text: String) {
        if (firstFinding == null) firstFinding = "$context: $text"
    }
}
