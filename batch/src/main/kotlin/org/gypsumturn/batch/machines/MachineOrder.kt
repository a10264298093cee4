// Orders that the control lease holder gives for machines, and the durations that govern them.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.batch.schedule.SchedulerSettings
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

/** An order for a machine. Carrying it out ends [executor], the one on the machine when the order is made, if any. */
public sealed interface MachineOrder {
    public val machine: MachineId
    public val executor: InstanceId?

    /** Takes the machine down for its upkeep, which is planned maintenance, in [wave]. */
    public data class Upkeep(
        override val machine: MachineId,
        override val executor: InstanceId?,
        public val wave: Long,
    ) : MachineOrder

    /** Moves the machine to [pool]. */
    public data class Move(
        override val machine: MachineId,
        override val executor: InstanceId?,
        public val pool: PoolId,
    ) : MachineOrder
}

/**
 * Durations that govern machine orders.
 *
 * @property moveMillis how long a move takes
 * @property upkeepMillis how long the upkeep of a machine takes
 * @property handoverMillis how long a new lease holder gives no order for a machine that an earlier holder has ordered
 * @property noticeMillis time without a run after which a long-running task is noticed to be missing
 */
public data class MachineTimes(
    public val moveMillis: Long,
    public val upkeepMillis: Long,
    public val handoverMillis: Long,
    public val noticeMillis: Long = 4_500,
) {
    /** Age of an executor's report from which on it does not show any more that long-running tasks are at work. */
    public val reportAgeMillis: Long
        get() = (noticeMillis - ORDER_MILLIS).coerceAtMost(LONGEST_REPORT_AGE_MILLIS)

    private companion object {
        /** Time from the decision of an order, which may have to be stored first, until it takes effect. */
        const val ORDER_MILLIS = 2_300L

        /** Two long polls with their timeouts. An executor that answers has reported within this time. */
        const val LONGEST_REPORT_AGE_MILLIS =
            2 * (SchedulerSettings.POLL_WAIT_MILLIS + SchedulerSettings.POLL_TIMEOUT_MILLIS)
    }
}
