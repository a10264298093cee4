// The clocks of the process. Code that decides gets the time as an argument, so that tests can set it. Only the code
// around it, which does I/O, reads the clocks here.

package org.gypsumturn.node

import org.gypsumturn.batch.lease.ClockReadings

private const val NANOS_PER_MILLI = 1_000_000L

/** Reads the monotonic clock and the time of day. */
public object NodeClock {
    /** Milliseconds on the monotonic clock. Their origin is arbitrary, so that only differences are meaningful. */
    public fun steadyMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    /** Milliseconds since the Unix epoch by the machine's time of day, which may be set. */
    public fun wallMillis(): Long = System.currentTimeMillis()

    /** Reads both clocks at one moment. */
    public fun readings(): ClockReadings = ClockReadings(steadyMillis(), wallMillis())
}
