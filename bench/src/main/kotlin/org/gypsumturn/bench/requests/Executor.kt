// A simulated executor with a fixed number of slots, and the faults that it can have.

package org.gypsumturn.bench.requests

import org.gypsumturn.model.InstanceId

/** How an executor treats the requests that it receives. */
internal enum class ExecutorMode { HEALTHY, FAILING, REFUSING, SILENT, DEAD }

/** One executor. [leavingSinceMicros] is when it announced that it leaves, or -1. */
internal class Executor(val id: InstanceId, val service: Int, val dataCentre: Int) {
    var mode: ExecutorMode = ExecutorMode.HEALTHY
    var runningCount: Int = 0
    var leavingSinceMicros: Long = -1

    /** When the executor last received a new exchange after it announced that it leaves, or -1. */
    var lastNewExchangeMicros: Long = -1

    val hasFreeSlot: Boolean get() = runningCount < SLOTS_PER_EXECUTOR
}
