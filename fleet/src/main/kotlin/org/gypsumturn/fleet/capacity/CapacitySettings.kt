// What capacity decisions weigh: the costs of idle instances, of moves and of late work, and how fast the pools
// react.

package org.gypsumturn.fleet.capacity

import org.gypsumturn.model.PoolId

/**
 * The cost function that decisions minimise, in one currency of the operator's choice.
 *
 * @property bufferPerInstanceHour cost of an instance that a pool other than the spare holds idle for an hour
 * @property perMove cost of one move of an instance between pools
 * @property latePerInstanceHour cost of work, as much as an instance does in an hour, that is done too late
 */
public data class CapacityWeights(
    public val bufferPerInstanceHour: Double,
    public val perMove: Double,
    public val latePerInstanceHour: Double,
)

/**
 * Settings of the capacity decisions.
 *
 * @property maxUtilization part of its slots that a pool should keep busy at most
 * @property leadMillis time from the decision of a move until the instance serves in its new pool
 * @property fastMillis time constant of the load average that follows demand
 * @property slowMillis time constant of the load average from which the trend is taken
 * @property patientMillis patience from which a pool goes by its backlog instead of its arrivals
 * @property expectedGapMillis time between two peaks that is assumed until some were seen
 * @property rolloutFactor moves whose cost must be lost before instances enter a pool in the middle of a roll-out
 * @property latePart part of the time until borrowed instances serve in which demand is already above the rest
 * @property minHoldMillis shortest time for which a pool keeps an instance that it does not need
 */
public data class CapacitySettings(
    public val weights: CapacityWeights,
    public val maxUtilization: Double = 0.9,
    public val leadMillis: Long = 60_000,
    public val fastMillis: Long = 20_000,
    public val slowMillis: Long = 90_000,
    public val patientMillis: Long = 600_000,
    public val expectedGapMillis: Long = 3_600_000,
    public val rolloutFactor: Double = 3.0,
    public val latePart: Double = 0.7,
    public val minHoldMillis: Long = 60_000,
)

/**
 * Demand of one pool since the last report.
 *
 * @property offeredSlots slots that the arrivals of the interval keep busy: their rate times their mean run time
 * @property queuedSlotMillis work that waits, in milliseconds of one slot
 * @property patienceMillis time for which work of the pool may wait without being late
 */
public data class PoolDemand(
    public val pool: PoolId,
    public val offeredSlots: Double,
    public val queuedSlotMillis: Long,
    public val patienceMillis: Long = 0,
)

internal const val MILLIS_PER_HOUR: Double = 3_600_000.0
