// Policies that say how many instances a pool should have. They differ in when they borrow and when they give back.

package org.gypsumturn.fleet.capacity

/**
 * What a policy wants for a pool.
 *
 * @property instances number to aim at
 * @property floor number below which nothing is taken for another pool that is short
 */
public data class PoolWish(public val instances: Int, public val floor: Int)

/** Decides from a pool's load and its state, both up to date, how many instances it should have. */
public typealias MovePolicy = (load: PoolLoad, state: PoolCapacityState, settings: CapacitySettings) -> PoolWish

/** Never moves anything. */
public val STATIC_POLICY: MovePolicy = { load, _, _ -> PoolWish(load.instances, load.instances) }

private const val BUSY = 0.8
private const val IDLE = 0.4

/** Borrows one instance above a utilization of 80 % and gives one back below 40 %, whatever it costs. */
public val THRESHOLD_POLICY: MovePolicy = { load, _, _ ->
    val utilization = if (load.instances == 0) 1.0 else load.offered / load.instances
    val wanted = when {
        utilization > BUSY || load.backlogHours > 0 -> load.instances + 1
        utilization < IDLE -> load.instances - 1
        else -> load.instances
    }
    PoolWish(maxOf(wanted, load.minInstances), load.instances)
}

/** Keeps as many instances as the pool needs, and one more before it gives any back. */
public val TARGET_POLICY: MovePolicy = { load, state, _ ->
    val idle = load.instances - state.need
    PoolWish(if (idle in 0..1) load.instances else state.need, state.need)
}

/**
 * Borrows once the late work of a shortage has cost as much as a move, or will have by the time that help arrives.
 *
 * Gives an instance back once it has idled for as much as giving it back and borrowing again costs: at most twice the
 * cost of the best choice in hindsight, as in the ski rental problem.
 */
public val BREAK_EVEN_POLICY: MovePolicy = { load, state, settings ->
    wishOf(load, state, settings) { number -> breakEvenHours(returnCost(load, state, number, settings), settings) }
}

/**
 * As [BREAK_EVEN_POLICY], but holds an idle instance for the time that would have cost least over the latest idle
 * times of the same rank and [CapacitySettings.expectedGapMillis].
 */
public val LEARNED_HOLD_POLICY: MovePolicy = { load, state, settings ->
    wishOf(load, state, settings) { number ->
        val rank = state.ranks.getOrNull(number - 1) ?: RankState()
        learnedHoldHours(rank, returnCost(load, state, number, settings), settings)
    }
}

/**
 * Cost of giving instance [number] of a pool away and borrowing one when demand returns: two moves, the time in
 * which it is of use to nobody, and late work. A peak of P needs D = P - number + 1 instances back, of which only w
 * are on their way at once, each for a time t. The late work of all is t·D²/2w, so this one adds t·D/w, less what
 * callers can wait and what the rise of the demand itself takes.
 */
internal fun returnCost(load: PoolLoad, state: PoolCapacityState, number: Int, settings: CapacitySettings): Double {
    val leadHours = settings.leadMillis / MILLIS_PER_HOUR
    val weights = settings.weights
    val missing = state.peakLoad - number + 1
    val waves = maxOf(1.0, missing / maxOf(1, load.moveWidth))
    val transit = 2 * leadHours * weights.bufferPerInstanceHour
    val waitHours = leadHours * waves * settings.latePart - load.patienceMillis / MILLIS_PER_HOUR
    return 2 * weights.perMove + transit + maxOf(0.0, waitHours) * weights.latePerInstanceHour
}

private fun breakEvenHours(returnCost: Double, settings: CapacitySettings): Double =
    maxOf(settings.minHoldMillis / MILLIS_PER_HOUR, returnCost / settings.weights.bufferPerInstanceHour)

private fun wishOf(
    load: PoolLoad,
    state: PoolCapacityState,
    settings: CapacitySettings,
    holdHours: (number: Int) -> Double,
): PoolWish {
    val borrows = lateCost(load, state, settings) >= settings.weights.perMove
    if (borrows && state.need > load.instances) return PoolWish(state.need, state.need)
    val floor = maxOf(state.need, load.minInstances)
    var kept = load.instances
    while (kept > floor && idleHours(state, kept) >= holdHours(kept)) kept--
    return PoolWish(kept, state.need)
}

/** Cost of the late work of this shortage so far, and until a borrowed instance would serve. */
private fun lateCost(load: PoolLoad, state: PoolCapacityState, settings: CapacitySettings): Double {
    val missing = maxOf(0.0, state.expectedLoad - load.instances)
    return state.shortageCost + missing * settings.leadMillis / MILLIS_PER_HOUR * settings.weights.latePerInstanceHour
}

private fun idleHours(state: PoolCapacityState, number: Int): Double =
    state.ranks.getOrNull(number - 1)?.idleHours ?: 0.0

/** The hold that would have cost least over the rank's idle times. */
internal fun learnedHoldHours(rank: RankState, returnCost: Double, settings: CapacitySettings): Double {
    val breakEven = breakEvenHours(returnCost, settings)
    val minHold = settings.minHoldMillis / MILLIS_PER_HOUR
    val gaps = rank.gapHours + settings.expectedGapMillis / MILLIS_PER_HOUR
    val candidates = listOf(minHold, breakEven) + gaps.filter { it in minHold..breakEven }
    return candidates.minBy { hold ->
        gaps.sumOf { gap -> costOf(gap, hold, returnCost, settings.weights.bufferPerInstanceHour) }
    }
}

private fun costOf(gapHours: Double, holdHours: Double, returnCost: Double, bufferPerHour: Double): Double =
    if (gapHours <= holdHours) gapHours * bufferPerHour else holdHours * bufferPerHour + returnCost
