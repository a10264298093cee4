// A target with a fixed number of slots, and the faults that it can have.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.InstanceId

/** How an executor treats what it is sent. */
internal enum class ExecutorMode { HEALTHY, FAILING, REFUSING, SILENT, DEAD }

/** One executor. */
internal class Executor(val id: InstanceId, val service: Int, val dataCentre: Int) {
    var mode: ExecutorMode = ExecutorMode.HEALTHY
    var running: Int = 0
    var leavingMicros: Long = -1

    /** When the last new exchange came after the notice that it is leaving. */
    var lastNewMicros: Long = -1

    val hasSlot: Boolean get() = running < SLOTS_PER_EXECUTOR
}
