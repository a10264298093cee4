// Sum of the capacity of the runs of one workspace, kept up to date as runs are added and removed.

package org.gypsumturn.batch.state

import org.gypsumturn.batch.model.ResourceAmounts

/** Adds up the capacity that runs hold from the decision to start them until they are known to have ended. */
public class CapacityCounter {
    /** Capacity that the runs hold. */
    public var held: ResourceAmounts = ResourceAmounts.NONE
        private set

    /** Adds a run that holds [size]. */
    public fun add(size: ResourceAmounts) {
        held += size
    }

    /** Removes a run that held [size]. */
    public fun remove(size: ResourceAmounts) {
        held -= size
    }
}
