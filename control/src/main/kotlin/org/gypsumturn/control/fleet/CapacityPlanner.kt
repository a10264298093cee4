// Plans moves of instances between serving pools: estimates the demand of each pool from the heartbeats of the entries,
// and returns the moves that the capacity policy decides on to the fleet reconciler.

package org.gypsumturn.control.fleet

import org.gypsumturn.fleet.capacity.CapacitySettings
import org.gypsumturn.fleet.capacity.CapacityState
import org.gypsumturn.fleet.capacity.decideMoves
import org.gypsumturn.fleet.command.FleetCommand
import org.gypsumturn.model.FleetView
import org.gypsumturn.model.PoolId
import org.gypsumturn.model.PoolRole
import org.gypsumturn.view.HeartbeatObservations

/** Plans moves every [periodMillis]; 0 turns planning off. Not thread-safe. */
internal class CapacityPlanner(private val settings: CapacitySettings, private val periodMillis: Long) {
    private var demandState = DemandState()
    private var capacityState = CapacityState()
    private var nextPlanAtMillis = 0L

    /** Discards all observations. Called while another process plans, so that later plans do not use outdated data. */
    fun reset() {
        demandState = DemandState()
        capacityState = CapacityState()
    }

    /** The moves to make now; empty if the period since the latest plan has not passed. */
    fun planMoves(now: CurrentTime, view: FleetView, observations: HeartbeatObservations): List<FleetCommand> {
        if (periodMillis == 0L || now.monotonicMillis < nextPlanAtMillis) return emptyList()
        nextPlanAtMillis = now.monotonicMillis + periodMillis
        val heartbeats = observations.byNode.values.map { it.heartbeat }.filter { it.node in view.nodes }
        val estimate = estimateDemand(now.monotonicMillis, heartbeats, demandState)
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
