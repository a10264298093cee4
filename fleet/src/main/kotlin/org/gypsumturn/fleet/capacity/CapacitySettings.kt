// Input of the capacity decisions: the costs that they minimise, their time constants and the reported demand.

package org.gypsumturn.fleet.capacity

import org.gypsumturn.model.PoolId

/**
 * The costs that capacity decisions minimise. All three are in the same currency, which the operator chooses.
 *
 * @property idleCostPerInstanceHour cost of an instance that sits idle for an hour in a pool other than a spare pool
 * @property costPerMove cost of moving one instance from one pool to another
 * @property lateCostPerInstanceHour cost of late work, for the amount that one instance does in an hour
 */
public data class CapacityWeights(
    public val idleCostPerInstanceHour: Double,
    public val costPerMove: Double,
    public val lateCostPerInstanceHour: Double,
)

/**
 * Settings of the capacity decisions.
 *
 * @property maxUtilization largest fraction of a pool's instances that the expected load should keep busy
 * @property moveLeadMillis time from the decision to move an instance until it serves in its new pool
 * @property fastAverageMillis time constant of the load average that follows demand
 * @property slowAverageMillis time constant of the load average that is compared with the fast one to find the trend
 * @property backlogSizingPatienceMillis pools whose work may wait at least this long are sized by their backlog, all
 *   others by their arrivals
 * @property expectedIdleMillis idle time that is added to the recorded ones of every rank, so that a rank without
 *   recorded idle times has one
 * @property rolloutShortageFactor a pool in the middle of a roll-out or a wave receives instances once its shortage has
 *   cost this many moves
 * @property lateFraction fraction of the lead time of a move in which demand already exceeds the remaining instances
 * @property minHoldMillis shortest time for which a pool keeps an instance that it does not need
 */
public data class CapacitySettings(
    public val weights: CapacityWeights,
    public val maxUtilization: Double = 0.9,
    public val moveLeadMillis: Long = 60_000,
    public val fastAverageMillis: Long = 20_000,
    public val slowAverageMillis: Long = 90_000,
    public val backlogSizingPatienceMillis: Long = 600_000,
    public val expectedIdleMillis: Long = 3_600_000,
    public val rolloutShortageFactor: Double = 3.0,
    public val lateFraction: Double = 0.7,
    public val minHoldMillis: Long = 60_000,
)

/**
 * Demand of one pool in the interval since the previous report.
 *
 * @property offeredSlots number of slots that the arrivals keep busy: arrival rate times mean run time
 * @property queuedSlotMillis queued work, as the time in milliseconds that one slot takes to do it
 * @property patienceMillis time for which work of the pool may wait before it counts as late
 */
public data class PoolDemand(
    public val pool: PoolId,
    public val offeredSlots: Double,
    public val queuedSlotMillis: Long,
    public val patienceMillis: Long = 0,
)

internal const val MILLIS_PER_HOUR: Double = 3_600_000.0
