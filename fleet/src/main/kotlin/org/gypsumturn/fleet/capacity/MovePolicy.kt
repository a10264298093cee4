// Policies that decide how many instances a pool should have. They differ in when a pool borrows instances and when it
// returns them.

package org.gypsumturn.fleet.capacity

/**
 * Size that a policy sets for a pool.
 *
 * @property instances number of instances that the pool should have
 * @property donationFloor number of instances that the pool keeps when other pools are short
 */
public data class PoolTarget(public val instances: Int, public val donationFloor: Int)

/** Decides how many instances a pool should have. The state already includes the load. */
public typealias MovePolicy = (load: PoolLoad, state: PoolCapacityState, settings: CapacitySettings) -> PoolTarget

/** Keeps every pool at its present size. */
public val STATIC_POLICY: MovePolicy = { load, _, _ -> PoolTarget(load.instances, load.instances) }

private const val BORROW_UTILIZATION = 0.8
private const val RETURN_UTILIZATION = 0.4

/** Borrows one instance above a utilization of 80 % or with a backlog, returns one below 40 %, and ignores costs. */
public val THRESHOLD_POLICY: MovePolicy = { load, _, _ ->
    val utilization = if (load.instances == 0) 1.0 else load.offeredLoad / load.instances
    val wanted = when {
        utilization > BORROW_UTILIZATION || load.backlogHours > 0 -> load.instances + 1
        utilization < RETURN_UTILIZATION -> load.instances - 1
        else -> load.instances
    }
    PoolTarget(maxOf(wanted, load.minInstances), load.instances)
}

/** Sets the size to the number of needed instances, but keeps one surplus instance to avoid moves back and forth. */
public val TARGET_POLICY: MovePolicy = { load, state, _ ->
    val idle = load.instances - state.neededInstances
    PoolTarget(if (idle in 0..1) load.instances else state.neededInstances, state.neededInstances)
}

/**
 * Borrows once the late work of a shortage costs as much as a move, counted up to the time when a borrowed instance
 * would serve.
 *
 * Returns an instance once its idle time has cost as much as returning it and borrowing another later. As in the ski
 * rental problem, the total is then at most twice the cost of the best choice in hindsight.
 */
public val BREAK_EVEN_POLICY: MovePolicy = { load, state, settings ->
    targetSizeOf(load, state, settings) { number ->
        breakEvenHours(returnCost(load, state, number, settings), settings)
    }
}

/**
 * Like [BREAK_EVEN_POLICY], but keeps an idle instance for the hold time that would have cost least over the recorded
 * idle times of its rank and [CapacitySettings.expectedIdleMillis].
 */
public val LEARNED_HOLD_POLICY: MovePolicy = { load, state, settings ->
    targetSizeOf(load, state, settings) { number ->
        val rank = state.ranks.getOrNull(number - 1) ?: RankState()
        learnedHoldHours(rank, returnCost(load, state, number, settings), settings)
    }
}

/**
 * Returns the cost of returning instance [number] of a pool and borrowing one when demand rises again: two moves, the
 * idle time during both moves, and late work.
 *
 * To serve a peak of P, the pool must borrow D = P - number + 1 instances. At most w move at once and each move takes
 * the time t, so the late work of all of them is t·D²/2w and this instance adds t·D/w. That time is shortened to
 * [CapacitySettings.lateFraction], as demand takes time to rise, and by the time for which callers can wait.
 */
internal fun returnCost(load: PoolLoad, state: PoolCapacityState, number: Int, settings: CapacitySettings): Double {
    val leadHours = settings.moveLeadMillis / MILLIS_PER_HOUR
    val weights = settings.weights
    val missing = state.peakLoad - number + 1
    val rounds = maxOf(1.0, missing / maxOf(1, load.maxInboundMoves))
    val transitCost = 2 * leadHours * weights.idleCostPerInstanceHour
    val lateHours = leadHours * rounds * settings.lateFraction - load.patienceMillis / MILLIS_PER_HOUR
    return 2 * weights.costPerMove + transitCost + maxOf(0.0, lateHours) * weights.lateCostPerInstanceHour
}

private fun breakEvenHours(returnCost: Double, settings: CapacitySettings): Double =
    maxOf(settings.minHoldMillis / MILLIS_PER_HOUR, returnCost / settings.weights.idleCostPerInstanceHour)

private fun targetSizeOf(
    load: PoolLoad,
    state: PoolCapacityState,
    settings: CapacitySettings,
    holdHours: (number: Int) -> Double,
): PoolTarget {
    val pays = lateCost(load, state, settings) >= settings.weights.costPerMove
    if (pays && state.neededInstances > load.instances) return PoolTarget(state.neededInstances, state.neededInstances)
    val floor = maxOf(state.neededInstances, load.minInstances)
    var size = load.instances
    while (size > floor && idleHours(state, size) >= holdHours(size)) size--
    return PoolTarget(size, state.neededInstances)
}

/** Returns the cost of the late work of this shortage up to the time when a borrowed instance would serve. */
private fun lateCost(load: PoolLoad, state: PoolCapacityState, settings: CapacitySettings): Double {
    val missing = maxOf(0.0, state.expectedLoad - load.instances)
    return state.shortageCost +
        missing * settings.moveLeadMillis / MILLIS_PER_HOUR * settings.weights.lateCostPerInstanceHour
}

private fun idleHours(state: PoolCapacityState, number: Int): Double =
    state.ranks.getOrNull(number - 1)?.idleHours ?: 0.0

/** Returns the hold time in hours that would have cost least over the idle times of [rank]. */
internal fun learnedHoldHours(rank: RankState, returnCost: Double, settings: CapacitySettings): Double {
    val breakEven = breakEvenHours(returnCost, settings)
    val minHold = settings.minHoldMillis / MILLIS_PER_HOUR
    val idleTimes = rank.pastIdleHours + settings.expectedIdleMillis / MILLIS_PER_HOUR
    val candidates = listOf(minHold, breakEven) + idleTimes.filter { it in minHold..breakEven }
    return candidates.minBy { hold ->
        idleTimes.sumOf { idleTime -> costOf(idleTime, hold, returnCost, settings.weights.idleCostPerInstanceHour) }
    }
}

private fun costOf(idleHours: Double, holdHours: Double, returnCost: Double, idleCostPerHour: Double): Double =
    if (idleHours <= holdHours) idleHours * idleCostPerHour else holdHours * idleCostPerHour + returnCost
