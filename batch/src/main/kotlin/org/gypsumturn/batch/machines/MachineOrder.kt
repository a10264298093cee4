// Orders for machines, and the times that bound them.

package org.gypsumturn.batch.machines

import org.gypsumturn.batch.model.MachineId
import org.gypsumturn.model.InstanceId
import org.gypsumturn.model.PoolId

/** An order for a machine; it ends what runs on [executor]. */
public sealed interface MachineOrder {
    public val machine: MachineId
    public val executor: InstanceId?

    /** Take it down for its upkeep. */
    public data class Upkeep(
        override val machine: MachineId,
        override val executor: InstanceId?,
        public val wave: Long,
    ) : MachineOrder

    /** Let it change its pool. */
    public data class Move(
        override val machine: MachineId,
        override val executor: InstanceId?,
        public val pool: PoolId,
    ) : MachineOrder
}

/**
 * @property moveMillis time that a move takes
 * @property upkeepMillis time that upkeep takes
 * @property handoverMillis time between the orders of two holders for one machine
 */
public data class MachineTimes(
    public val moveMillis: Long,
    public val upkeepMillis: Long,
    public val handoverMillis: Long,
)
