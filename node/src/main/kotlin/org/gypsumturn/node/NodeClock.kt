// The clocks of a process. Decisions get the time as an argument; only the wiring of the node reads it.

package org.gypsumturn.node

import org.gypsumturn.batch.lease.ClockReadings

private const val NANOS_PER_MILLI = 1_000_000L

/** Reads the clocks. */
public object NodeClock {
    /** Steady milliseconds; their origin has no meaning. */
    public fun steadyMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    /** Milliseconds since 1970 by the machine's time of day. */
    public fun wallMillis(): Long = System.currentTimeMillis()

    /** Both clocks. */
    public fun instants(): ClockReadings = ClockReadings(steadyMillis(), wallMillis())
}
