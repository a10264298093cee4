// Moves instances between serving pools as demand asks for it: estimates demand from the entries' beats and hands the
// moves that the policy decides to the fleet's upkeep.

package org.gypsumturn.control.fleet

import org.gypsumturn.fleet.capacity.CapacitySettings
import org.gypsumturn.fleet.capacity.CapacityState
import org.gypsumturn.fleet.capacity.decideMoves
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.view.HeartbeatObservations

/** Plans moves every [periodMillis]; used by one thread. A period of 0 plans none. */
internal class CapacityPlan(private val settings: CapacitySettings, private val periodMillis: Long) {
    private var demandState = DemandState()
    private var capacityState = CapacityState()
    private var nextAtMillis = 0L

    /** Forgets what was observed, for a process that no longer plans. */
    fun reset() {
        demandState = DemandState()
        capacityState = CapacityState()
    }

    /** The moves to make now. */
    fun moves(now: Now, view: FleetView, observations: HeartbeatObservations): List<FleetCommand> {
        if (periodMillis == 0L || now.monotonicMillis < nextAtMillis) return emptyList()
        nextAtMillis = now.monotonicMillis + periodMillis
        val beats = observations.byNode.values.map { it.heartbeat }.filter { it.node in view.nodes }
        val estimate = estimateDemand(now.monotonicMillis, beats, demandState)
        demandState = estimate.state
        val serving = estimate.demand.filter { isServing(view, it.pool) }
        val decision = decideMoves(now.wallMillis, view, serving, capacityState, settings)
        capacityState = decision.state
        return decision.moves
    }

    private fun isServing(view: FleetView, pool: PoolId): Boolean {
        val role = view.pools[pool]?.role
        return role == PoolRole.SERVING || role == PoolRole.SPARE
    }
}
