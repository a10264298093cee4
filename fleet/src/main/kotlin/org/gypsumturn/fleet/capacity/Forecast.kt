// The demand forecast that waves go by, made of what the capacity decisions remember.

package org.gypsumturn.fleet.capacity

import org.gypsumturn.fleet.wave.DemandForecast

/**
 * Forecasts that each pool goes on needing what it needs now, with the rise that its load averages show. A pool without
 * a state needs nothing, so its budget alone bounds a wave.
 */
public fun forecastOf(state: CapacityState): DemandForecast {
    val needs = state.pools.associate { it.pool to it.need }
    return { pool, _, _ -> needs[pool] ?: 0 }
}
