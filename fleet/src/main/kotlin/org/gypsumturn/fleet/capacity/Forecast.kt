// The demand forecast for waves, derived from the state of the capacity decisions.

package org.gypsumturn.fleet.capacity

import org.gypsumturn.fleet.wave.DemandForecast

/**
 * Forecasts that each pool keeps needing the number of instances that it needs now, which includes the rise that its
 * load averages show. A pool without a state is taken to need no instances, so that only its budget limits a wave.
 */
public fun forecastOf(state: CapacityState): DemandForecast {
    val needs = state.pools.associate { it.pool to it.neededInstances }
    return { pool, _, _ -> needs[pool] ?: 0 }
}
