// Records which requests and jobs the simulated instances have run, how often, and which of them a reboot interrupted.
// Tests compare it with the verdicts that callers got.

package org.gypsumturn.standin

import org.gypsumturn.schema.platform.Execution
import org.gypsumturn.schema.platform.ExecutionsReply

/** Counts executions by key and records interruptions. Thread-safe. */
internal class ExecutionLog {
    private val requestCounts = HashMap<String, Int>()
    private val jobStartCounts = HashMap<String, Int>()
    private val interruptedKeys = mutableListOf<String>()

    /** Counts one execution of the request [key]. */
    @Synchronized
    fun countRequest(key: String) {
        requestCounts.merge(key, 1, Int::plus)
    }

    /** Counts one start of the job [key]. */
    @Synchronized
    fun countJobStart(key: String) {
        jobStartCounts.merge(key, 1, Int::plus)
    }

    /** Records that a reboot interrupted the request or task [key]. */
    @Synchronized
    fun recordInterruption(key: String) {
        interruptedKeys += key
    }

    /** Everything recorded so far, as the answer to a gRPC request. */
    @Synchronized
    fun toReply(): ExecutionsReply = ExecutionsReply
        .newBuilder()
        .addAllRequests(requestCounts.map { (key, times) -> execution(key, times) })
        .addAllJobs(jobStartCounts.map { (key, times) -> execution(key, times) })
        .addAllInterruptedByReboot(interruptedKeys)
        .build()

    private fun execution(key: String, times: Int) = Execution.newBuilder().setKey(key).setTimes(times).build()
}
